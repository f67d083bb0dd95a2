#include <LibSettings/Toml.h>

namespace Dogwoodkeel
{

// Not inline: seen by the compiler inside the library's noexcept functions, the throw would be warned of.
bool failToml()
{
    throw TomlFault("the TOML parser met input that it takes for impossible");
}

} // namespace Dogwoodkeel
