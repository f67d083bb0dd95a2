#include <Tests/Fakes/FakeEngine.h>
#include <Tests/Fakes/FakePlatform.h>
#include <Tests/Fakes/FakeService.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "where to listen");
DEFINE_uint64(seed, 1, "of the platform's faults");
DEFINE_uint64(capacity, 8, "streams an engine runs side by side");
DEFINE_uint64(step_us, 2000, "an engine's step without streams, in microseconds");
DEFINE_uint64(per_stream_us, 100, "what each stream adds to a step, in microseconds");
DEFINE_uint64(prefill_ms, 5, "an engine's prefill, in milliseconds");
DEFINE_uint64(delay_ms, 0, "a plain service's answer time, in milliseconds");

namespace
{

using namespace Dogwoodkeel;

int serve(const std::string &kind)
{
    EventLoop loop;
    const auto address = Address::parse(FLAGS_listen);
    if (!address) {
        std::fputs("--listen takes an address such as 127.0.0.1:7000\n", stderr);
        return 2;
    }
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<FakeEngine> engine;
    std::unique_ptr<FakeService> service;
    if (kind == "platform") {
        platform = std::make_unique<FakePlatform>(loop, *address, FLAGS_seed);
    } else if (kind == "engine") {
        const FakeEngine::Costs costs{std::chrono::microseconds(FLAGS_step_us),
                                      std::chrono::microseconds(FLAGS_per_stream_us),
                                      std::chrono::milliseconds(FLAGS_prefill_ms)};
        engine = std::make_unique<FakeEngine>(loop, *address, FLAGS_capacity, costs);
    } else if (kind == "service") {
        service = std::make_unique<FakeService>(loop, *address, std::chrono::milliseconds(FLAGS_delay_ms));
    } else {
        std::fputs("usage: dogwoodkeel-fakes platform|engine|service --listen=ADDRESS\n", stderr);
        return 2;
    }
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    return serve(argc > 1 ? argv[1] : "");
}
