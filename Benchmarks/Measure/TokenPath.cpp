// What one token costs an entry in processor time, without sockets: splitting the engine's stream into events, reading
// an event, and writing the caller's.
#include <Benchmarks/Support/Figures.h>

#include <LibHttp/ServerSentEvents.h>
#include <Services/Entry/Completion.h>

#include <chrono>

#include <gflags/gflags.h>

DEFINE_string(programs, "build", "not used");
DEFINE_int32(tokens, 200000, "how many");

namespace
{

using namespace Dogwoodkeel;
using Watch = std::chrono::steady_clock;

constexpr const char *engineEvent
    = R"({"id":"cmpl-12","object":"chat.completion.chunk","model":"appraisal","choices":[{"index":0,"delta":{"content":"t873 "},"finish_reason":null}]})";

double nanosecondsEach(Watch::duration all)
{
    return std::chrono::duration<double, std::nano>(all).count() / FLAGS_tokens;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string chunk = ServerSentEvents::format(engineEvent);
    ServerSentEvents events(1048576);
    std::size_t bytes = 0;
    const auto start = Watch::now();
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += events.feed(chunk).front().size();
    }
    const auto split = Watch::now();
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += CompletionDelta::parse(engineEvent)->text.size();
    }
    const auto parsed = Watch::now();
    const CompletionDelta delta{"t873 ", {}};
    const RequestId id("default/note-1");
    for (int i = 0; i < FLAGS_tokens; ++i) {
        bytes += ServerSentEvents::format(delta.format(CompletionForm::Chat, id, "appraisal")).size();
    }
    const auto formatted = Watch::now();
    printFigure("token.split", nanosecondsEach(split - start), "ns");
    printFigure("token.parse", nanosecondsEach(parsed - split), "ns");
    printFigure("token.format", nanosecondsEach(formatted - parsed), "ns");
    printFigure("token.bytes", static_cast<double>(bytes) / FLAGS_tokens, "B");
    return 0;
}
