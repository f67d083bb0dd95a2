#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Checks, compares, applies, shows, lists and reverts configuration versions. */
ExitCode runConfig(const std::vector<std::string> &arguments);

/** Usage text of `dogwoodkeel config`. */
extern const char *const configHelp;

} // namespace Dogwoodkeel
