// Stand-ins and checks of this review. "replica ..." runs one replica; "check CASE PROGRAM FOLDER" runs a case: it exits with 1
// if the rule was broken, with 0 if it held, and with 2 if the case could not run.
#include "cases.hpp"

#include <cstdio>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() == 9 && words[0] == "replica") {
        ReplicaOptions options;
        options.listen = words[1];
        options.id = words[2];
        options.slots = std::stoi(words[3]);
        options.queue = std::stoi(words[4]);
        options.events = std::stoi(words[5]);
        options.intervalMs = std::stoi(words[6]);
        options.isUnframed = words[7] == "1";
        options.answerBytes = std::stoi(words[8]);
        return Replica(options).run();
    }
    if (words.size() == 4 && words[0] == "check" && cases().count(words[1]) != 0) {
        const char *const trouble = std::getenv("TROUBLE");
        const std::string self = std::filesystem::absolute(argv[0]);
        std::string scratch = std::filesystem::temp_directory_path() / "review-XXXXXX";
        if (::mkdtemp(scratch.data()) == nullptr) {
            return 2;
        }
        int result = 2;
        World world(self, words[2], scratch);
        if (world.isUsable()) {
            world.startBeats();
            result = cases().at(words[1])(world, trouble == nullptr || std::string(trouble) != "0");
        }
        world.endAll();
        world.recordRuns();
        world.record.write(words[3] + "/record.txt");
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(scratch);
        } else {
            std::printf("logs in %s\n", scratch.c_str());
        }
        std::fflush(stdout);
        // Threads of the stand-ins still run, so nothing is destroyed.
        ::_exit(result);
    }
    std::fputs("usage: standin check CASE PROGRAM FOLDER\n", stderr);
    return 2;
}
