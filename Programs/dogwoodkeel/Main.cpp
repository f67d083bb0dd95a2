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
    std::puts("\ndogwoodkeel help COMMAND tells how to use one, and its exit codes.");
    return topics.empty() ? ExitCode::Success : ExitCode::Usage;
}

ExitCode run(const std::vector<std::string> &words)
{
    if (words.empty() || words.front() == "help") {
        return help(words.empty() ? words : std::vector<std::string>(words.begin() + 1, words.end()));
    }
    const Command *const command = findCommand(words.front());
    if (command == nullptr) {
        std::fprintf(stderr, "there is no command %s; dogwoodkeel help lists them\n", words.front().c_str());
        return ExitCode::Usage;
    }
    return command->run(std::vector<std::string>(words.begin() + 1, words.end()));
}

/**
 * Found before gflags reads the command line: its own help lists the flags of all libraries, and no commands.
 * @return the words beside --help, or nothing if it isn't asked for
 */
std::optional<std::vector<std::string>> helpTopics(const std::vector<std::string> &words)
{
    const bool isAsked = std::ranges::any_of(words, [](const std::string &word) {
        return word == "--help" || word == "-help" || word == "-h";
    });
    if (!isAsked) {
        return std::nullopt;
    }
    std::vector<std::string> topics;
    std::ranges::copy_if(words, std::back_inserter(topics), [](std::string_view word) {
        return !word.starts_with('-') && word != "help";
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
