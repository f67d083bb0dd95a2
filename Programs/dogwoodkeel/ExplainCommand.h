#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

inline constexpr std::string_view explainHelp
    = "usage: dogwoodkeel explain ID --log FILE [FILE...]\n"
      "Joins the log lines of several nodes into one report on a request, a batch job or an item: its outcome, the state that\n"
      "its nodes acted on and its age, and what happened to other requests at its replicas. FILE may be - for standard input.\n"
      "exit codes: 0 printed, 1 a file can't be read or no line mentions ID, 2 wrong command line\n";

/**
 * Runs `dogwoodkeel explain`.
 * @param arguments the id, then optional log files in addition to those of --log
 */
ExitCode runExplain(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
