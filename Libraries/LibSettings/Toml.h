#pragma once

#include <stdexcept>

namespace Dogwoodkeel
{

/** The TOML parser met input that it takes for impossible. */
class TomlFault : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @throws TomlFault always */
bool failToml();

} // namespace Dogwoodkeel

// One place that says how toml++ is built: errors come back as results, not exceptions. Its assertions do not hold for all
// input: "[$[" fails one, which would end the process, or be undefined with assertions off. They throw instead, and whoever
// parses reports a finding.
#define TOML_EXCEPTIONS 0
#define TOML_ASSERT(expression) static_cast<void>((expression) || ::Dogwoodkeel::failToml())
#include <toml++/toml.h>
