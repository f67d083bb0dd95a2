#pragma once

#include <stdexcept>

namespace Dogwoodkeel
{

/** An assertion of the TOML parser failed on its input. */
class TomlAssertionError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @throws TomlAssertionError always */
bool throwTomlAssertionError();

} // namespace Dogwoodkeel

// The only place that configures toml++: errors are returned as results, not thrown. Some malformed input, such as "[$[",
// fails an assertion of the library, which would abort the process, or be undefined behaviour with assertions disabled.
// Assertions throw instead, and the caller of the parser reports a finding.
#define TOML_EXCEPTIONS 0
#define TOML_ASSERT(expression) static_cast<void>((expression) || ::Dogwoodkeel::throwTomlAssertionError())
#include <toml++/toml.h>
