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

/** @return a pipe's end for writing, as soon as somebody has opened it for reading. */
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

// A VM is told to stop some milliseconds after it was started, while the program still reads its settings. Were the signal not
// held back from the first, it would end the process as a crash does, without a word in the log.
TEST_CASE("a node that is told to stop before it has read its settings stops as planned")
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
