#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Runs a node until SIGTERM or SIGINT. */
ExitCode runServe(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
