#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Prints the state of the whole system as reported by the queried node. */
ExitCode runStatus(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
