#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Help of `dogwoodkeel batch`. */
extern const char *const batchHelp;

/** `dogwoodkeel batch submit|status|list|results|cancel` */
ExitCode runBatch(const std::vector<std::string> &arguments);

/** `dogwoodkeel results ID`: the stored answer of a request. */
ExitCode runResults(const std::vector<std::string> &arguments);

/** `dogwoodkeel entries`: the addresses to use. */
ExitCode runEntries(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
