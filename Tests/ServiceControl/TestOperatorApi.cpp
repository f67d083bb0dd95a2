#include <LibBase/SystemClock.h>
#include <LibPlatform/EmbeddedPlatform.h>
#include <Services/Control/OperatorApi.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against a mistyped version or limit that is taken for the newest version or the default number of lines.
TEST_CASE("a query parameter that is not a number is refused with 400")
{
    EventLoop loop;
    const SystemClock clock;
    EmbeddedPlatform platform(std::make_shared<EmbeddedStore>(), loop);
    PeerClient peers(loop, {MessageKey(""), 1048576});
    ConfigurationService configuration(
        loop, clock, platform, peers, std::make_shared<const Settings>(), {}, [](std::uint64_t) {});
    const StatusBoard board;
    OperatorApi api(configuration, board, peers, [] {
        return std::vector<Member>();
    });
    for (const auto &[path, query] : {std::pair("/v1/config", "version=newest"), std::pair("/v1/config/log", "limit=5x")}) {
        int status = 0;
        api.serve({{.method = "GET", .path = path, .query = query}, "ana"}, [&status](const HttpResponse &response) {
            status = response.status;
        });
        CHECK(status == 400);
    }
}
