#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Exit code of the process. */
enum class ExitCode {
    Success = 0,
    /** The operation failed, or no node answered. */
    Failure = 1,
    /** The command line or the settings are wrong; nothing was started. */
    Usage = 2,
    /** The system refused the request and gave a reason. */
    Refused = 3,
};

/** A subcommand of the program. */
struct Command
{
    std::string_view name;
    /** One-line description for the list of commands. */
    std::string_view summary;
    /** Usage text with flags and exit codes. */
    std::string_view help;
    /** @param arguments the arguments after the command's name, without flags */
    ExitCode (*run)(const std::vector<std::string> &arguments);
};

/** @return all subcommands, in the order in which help lists them. */
const std::vector<Command> &commands();

} // namespace Dogwoodkeel
