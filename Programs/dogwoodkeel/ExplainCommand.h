#pragma once

#include "Command.h"

namespace Dogwoodkeel
{

inline constexpr std::string_view explainHelp
    = "usage: dogwoodkeel explain ID --log FILE [FILE...]\n"
      "Joins the log lines of several nodes into one account of a request, a batch job or an item: what became of it, what\n"
      "its nodes knew and how old that was, and what befell others at its replicas. FILE may be - for standard input.\n"
      "exit codes: 0 told, 1 a file can't be read or no line tells of ID, 2 wrong command line\n";

/** @param arguments the id, and more files */
ExitCode runExplain(const std::vector<std::string> &arguments);

} // namespace Dogwoodkeel
