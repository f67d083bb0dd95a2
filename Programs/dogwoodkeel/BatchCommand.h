#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

/** Usage text of `dogwoodkeel batch`. */
extern const char *const batchHelp;

/** Runs `dogwoodkeel batch submit|status|list|results|cancel`. */
ExitCode runBatch(const std::vector<std::string> &arguments);

/** Runs `dogwoodkeel results ID`: prints the stored answer of a request. */
ExitCode runResults(const std::vector<std::string> &arguments);

/** Runs `dogwoodkeel entries`: prints the addresses that callers should connect to. */
ExitCode runEntries(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
