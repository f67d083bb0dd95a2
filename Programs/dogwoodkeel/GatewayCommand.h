#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Runs a node on a platform that holds configuration, replicas and jobs, until SIGTERM or SIGINT. */
ExitCode runGateway(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
