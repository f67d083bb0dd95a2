#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** What the process ends with. */
enum class ExitCode {
    Success = 0,
    /** What was asked for could not be done. */
    Failure = 1,
    /** The command line or the settings are wrong; nothing was started. */
    Usage = 2,
    /** The system refused it, and said why. */
    Refused = 3,
};

/** A subcommand of the program. */
struct Command
{
    std::string_view name;
    /** One line, for the list of commands. */
    std::string_view summary;
    /** How to use it, with its flags and exit codes. */
    std::string_view help;
    /** @param arguments what stands behind the command's name, without flags */
    ExitCode (*run)(const std::vector<std::string> &arguments);
};

/** @return all subcommands, in the order help lists them. */
const std::vector<Command> &commands();

} // namespace Dogwoodkeel
