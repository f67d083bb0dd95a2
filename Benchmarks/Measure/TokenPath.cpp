// Measures the processor time that one token costs an entry, without sockets: splitting the engine's stream into events,
// parsing an event, and formatting the event for the caller.
#include <Benchmarks/Support/Figures.h>

#include <LibHttp/ServerSentEvents.h>
#include <Services/Entry/Completion.h>

#include <chrono>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used");
DEFINE_int32(tokens, 200000, "number of tokens");

namespace
{

using namespace Dogwoodkeel;
using SteadyClock = std::chrono::steady_clock;

constexpr const char *engineEvent
    = R"({"id":"cmpl-12","object":"chat.completion.chunk","model":"appraisal","choices":[{"index":0,"delta":{"content":"t873 "},"finish_reason":null}]})";

double nanosecondsPerToken(SteadyClock::duration total)
{
    return std::chrono::duration<double, std::nano>(total).count() / FLAGS_tokens;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string chunk = ServerSentEvents::format(engineEvent);
    ServerSentEvents events(1048576);
    std::size_t bytes = 0;
    const auto start = SteadyClock::now();
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += events.feed(chunk).front().size();
    }
    const auto split = SteadyClock::now();
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += CompletionDelta::parse(engineEvent)->text.size();
    }
    const auto parsed = SteadyClock::now();
    const CompletionDelta delta{"t873 ", {}};
    const RequestId id("default/note-1");
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += ServerSentEvents::format(delta.format(CompletionForm::Chat, id, "appraisal")).size();
    }
    const auto formatted = SteadyClock::now();
    printFigure("token.split", nanosecondsPerToken(split - start), "ns");
    printFigure("token.parse", nanosecondsPerToken(parsed - split), "ns");
    printFigure("token.format", nanosecondsPerToken(formatted - parsed), "ns");
    printFigure("token.bytes", static_cast<double>(bytes) / FLAGS_tokens, "B");
    return 0;
}
