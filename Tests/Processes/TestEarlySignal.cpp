#include <Benchmarks/Support/LocalFleet.h>

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace Dogwoodkeel;
using namespace std::chrono_literals;

namespace
{

/** @return the write end of a named pipe, once a process has opened it for reading; -1 after a timeout. */
int openWhenRead(const std::string &path)
{
    for (int tries = 0; tries < 3000; ++tries) {
        const int end = ::open(path.c_str(), O_WRONLY | O_NONBLOCK);
        if (end >= 0) {
            return end;
        }
        std::this_thread::sleep_for(10ms);
    }
    return -1;
}

} // namespace

// SIGTERM arrives some milliseconds after the start, while the program still reads its settings. If the signal were not blocked
// from the beginning, it would end the process like a crash, without a log line.
TEST_CASE("a node that receives SIGTERM before it has read its settings stops gracefully")
{
    LocalFleet fleet(PROGRAMS_FOLDER);
    const Address own = fleet.nextAddress();
    const std::string path = fleet.writeFile("early.toml", "");
    REQUIRE(::unlink(path.c_str()) == 0);
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    const std::size_t node
        = fleet.start("early", {PROGRAMS_FOLDER "/Programs/dogwoodkeel", "gateway", "--settings=" + path}, own);
    const int settings = openWhenRead(path);
    REQUIRE(settings >= 0);
    fleet.signal(node, SIGTERM);
    const std::string text
        = "[node]\nvm = \"early\"\nfailure_domain = \"one\"\n[listen]\nhttp = \"" + own.ip + ":0\"\n[gateway]\ngrace = \"2s\"\n";
    REQUIRE(::write(settings, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(settings);
    CHECK(fleet.waitEnd(node, 30s) == 0);
}
