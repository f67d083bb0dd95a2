#include "Command.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <gflags/gflags.h>

namespace
{

using namespace Dogwoodkeel;

const Command *findCommand(const std::string &name)
{
    const auto found = std::ranges::find(commands(), name, &Command::name);
    return found != commands().end() ? &*found : nullptr;
}

ExitCode help(const std::vector<std::string> &topics)
{
    if (const Command *const command = topics.empty() ? nullptr : findCommand(topics.front())) {
        std::fputs(std::string(command->help).c_str(), stdout);
        return ExitCode::Success;
    }
    std::puts("usage: dogwoodkeel COMMAND [flags]\n");
    for (const Command &command : commands()) {
        std::printf("  %-10s %s\n", std::string(command.name).c_str(), std::string(command.summary).c_str());
    }
    std::puts("\ndogwoodkeel help COMMAND prints the usage and exit codes of a command.");
    return topics.empty() ? ExitCode::Success : ExitCode::Usage;
}

ExitCode run(const std::vector<std::string> &arguments)
{
    if (arguments.empty() || arguments.front() == "help") {
        return help(arguments.empty() ? arguments : std::vector<std::string>(arguments.begin() + 1, arguments.end()));
    }
    const Command *const command = findCommand(arguments.front());
    if (command == nullptr) {
        std::fprintf(stderr, "unknown command %s; dogwoodkeel help lists the commands\n", arguments.front().c_str());
        return ExitCode::Usage;
    }
    return command->run(std::vector<std::string>(arguments.begin() + 1, arguments.end()));
}

/**
 * Finds --help before gflags parses the command line, because the help of gflags lists the flags of all libraries and no
 * commands.
 * @return the command names given along with --help, or nothing if help is not requested
 */
std::optional<std::vector<std::string>> helpTopics(const std::vector<std::string> &arguments)
{
    const bool isRequested = std::ranges::any_of(arguments, [](const std::string &argument) {
        return argument == "--help" || argument == "-help" || argument == "-h";
    });
    if (!isRequested) {
        return std::nullopt;
    }
    std::vector<std::string> topics;
    std::ranges::copy_if(arguments, std::back_inserter(topics), [](std::string_view argument) {
        return !argument.starts_with('-') && argument != "help";
    });
    return topics;
}

} // namespace

int main(int argc, char **argv)
{
    if (const auto topics = helpTopics({argv + 1, argv + argc})) {
        return static_cast<int>(help(*topics));
    }
    gflags::SetUsageMessage("dogwoodkeel help lists the commands");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(run(std::vector<std::string>(argv + 1, argv + argc)));
}
