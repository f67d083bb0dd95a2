#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>
#include <utility>

namespace
{

/** Runs the program. @return its output and its exit status */
std::pair<std::string, int> run(const std::string &arguments)
{
    const std::string command = std::string(PROGRAMS_FOLDER) + "/Programs/dogwoodkeel " + arguments + " 2>&1";
    FILE *const pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::string printed;
    std::array<char, 4096> part{};
    while (const std::size_t read = std::fread(part.data(), 1, part.size(), pipe)) {
        printed.append(part.data(), read);
    }
    return {printed, pclose(pipe)};
}

} // namespace

// --help must list the commands, not the flags of every library that the program is linked with.
TEST_CASE("--help is the same as help, also after a command")
{
    const auto commands = run("help");
    CHECK(commands.second == 0);
    CHECK(commands.first.starts_with("usage: dogwoodkeel COMMAND"));
    CHECK(run("--help") == commands);
    CHECK(run("-h") == commands);
    const auto batch = run("help batch");
    CHECK(batch.second == 0);
    CHECK(batch.first != commands.first);
    CHECK(run("batch --help") == batch);
    CHECK(run("help batch --help") == batch);
}

TEST_CASE("help for an unknown command lists the commands and fails")
{
    const auto unknown = run("nonsense --help");
    CHECK(unknown.second != 0);
    CHECK(unknown.first.find("batch ") != std::string::npos);
}
