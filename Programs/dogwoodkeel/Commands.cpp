#include "Command.h"

#include "Flags.h"
#include "ServeCommand.h"

#include <LibBase/Encoding.h>
#include <LibBase/Findings.h>

#include <cstdio>
#include <iostream>

namespace Dogwoodkeel
{

namespace
{

ExitCode runVersion(const std::vector<std::string> &)
{
    std::puts("dogwoodkeel " DOGWOODKEEL_VERSION);
    return ExitCode::Success;
}

ExitCode runHashKey(const std::vector<std::string> &)
{
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        std::fputs("give the key on standard input\n", stderr);
        return ExitCode::Usage;
    }
    std::puts(hashOfKey(key).c_str());
    return ExitCode::Success;
}

ExitCode runConfig(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1 || arguments.front() != "check") {
        std::fputs("usage: dogwoodkeel config check --settings=FILE,...\n", stderr);
        return ExitCode::Usage;
    }
    Findings findings;
    if (!loadServeSettings(findings)) {
        std::fputs(findings.toString().c_str(), stderr);
        return ExitCode::Usage;
    }
    std::puts("the settings are in order");
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> list{
        {"serve",
         "run a node",
         "usage: dogwoodkeel serve [--settings=FILE,...] [--platform=http|embedded] [--http=ADDRESS] [--engine=MODEL=ADDRESS]\n"
         "Runs a node until SIGTERM, then stops it as planned.\n"
         "exit codes: 0 stopped as planned, 1 could not serve, 2 wrong settings or command line\n",
         runServe},
        {"config",
         "check settings files",
         "usage: dogwoodkeel config check --settings=FILE,...\n"
         "Reports every mistake with its file, line and column.\n"
         "exit codes: 0 in order, 2 mistakes\n",
         runConfig},
        {"hash-key",
         "make the hash of an API key for the settings",
         "usage: dogwoodkeel hash-key < FILE\nexit codes: 0 done, 2 no key given\n",
         runHashKey},
        {"version", "print the version", "usage: dogwoodkeel version\nexit codes: 0\n", runVersion},
    };
    return list;
}

} // namespace Dogwoodkeel
