#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Runs a node on a platform whose store holds configuration, replicas and jobs, until SIGTERM or SIGINT. */
ExitCode runGateway(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
