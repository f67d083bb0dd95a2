#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Tells the state of the whole system, as any node sees it. */
ExitCode runStatus(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
