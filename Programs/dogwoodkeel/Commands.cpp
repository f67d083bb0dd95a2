#include "Command.h"

#include "BatchCommand.h"
#include "ConfigCommand.h"
#include "ExplainCommand.h"
#include "GatewayCommand.h"
#include "ServeCommand.h"
#include "StatusCommand.h"

#include <LibBase/Encoding.h>

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
        std::fputs("no key on standard input\n", stderr);
        return ExitCode::Usage;
    }
    std::puts(hashOfKey(key).c_str());
    return ExitCode::Success;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> list{
        {"serve",
         "run a node",
         "usage: dogwoodkeel serve [--settings=FILE,...] [--platform=http|embedded] [--http=ADDRESS] [--engine=MODEL=ADDRESS]\n"
         "Runs a node until SIGTERM, then does a planned stop.\n"
         "exit codes: 0 planned stop done, 1 could not serve, 2 wrong settings or command line\n",
         runServe},
        {"gateway",
         "run a node on a platform whose store holds configuration, replicas and jobs",
         "usage: dogwoodkeel gateway [--settings=FILE,...]\n"
         "Runs a node until SIGTERM, then does a planned stop. Without --settings, the environment variable\n"
         "DOGWOODKEEL_SETTINGS names the file. SIGHUP checks the file again.\n"
         "exit codes: 0 planned stop done, 1 could not serve, 2 wrong settings or command line\n",
         runGateway},
        {"config", "check, compare, apply, show, list and revert configuration versions", configHelp, runConfig},
        {"status",
         "print the state of all nodes, what is degraded and what to do",
         "usage: dogwoodkeel status [--json] [--node=ADDRESS] [--key_file=FILE]\n"
         "exit codes: 0 printed, 1 no node answered\n",
         runStatus},
        {"batch", "submit, watch, read, list and cancel batch jobs", batchHelp, runBatch},
        {"results",
         "print the stored answer of a request",
         "usage: dogwoodkeel results ID [--nodes=ADDRESS,...] [--key_file=FILE]\n"
         "exit codes: 0 printed, or still running, 1 no node answered, 2 wrong command line, 3 refused or unknown\n",
         runResults},
        {"explain", "explain from logs the outcome of a request, a job or an item", explainHelp, runExplain},
        {"entries",
         "print the addresses that a caller should use",
         "usage: dogwoodkeel entries [--json] [--nodes=ADDRESS,...]\n"
         "exit codes: 0 printed, 1 no node answered, 2 wrong command line, 3 refused\n",
         runEntries},
        {"hash-key",
         "compute the hash of an API key for the settings",
         "usage: dogwoodkeel hash-key < FILE\nexit codes: 0 done, 2 no key given\n",
         runHashKey},
        {"version", "print the version", "usage: dogwoodkeel version\nexit codes: 0\n", runVersion},
    };
    return list;
}

} // namespace Dogwoodkeel
