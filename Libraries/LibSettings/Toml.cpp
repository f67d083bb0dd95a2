#include <LibSettings/Toml.h>

namespace Dogwoodkeel
{

// Not inline: the compiler would warn of a throw inside the noexcept functions of the library.
bool throwTomlAssertionError()
{
    throw TomlAssertionError("an assertion of the TOML parser failed on the input");
}

} // namespace Dogwoodkeel
