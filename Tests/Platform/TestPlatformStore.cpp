#include <LibBase/SystemClock.h>
#include <LibPlatform/StoreClock.h>
#include <LibTask/TaskHost.h>
#include <Tests/Fakes/ScriptedEndpoint.h>
#include <platform/PlatformStore.h>

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>

using namespace Dogwoodkeel;

namespace
{

/** A client of a store that answers each call with the same bytes. */
class ScriptedStore
{
public:
    ScriptedStore(EventLoop &loop, std::string answer)
        : endpoint(loop,
                   [answer = std::move(answer)](const std::shared_ptr<ScriptedEndpoint::Exchange> &exchange) {
                       exchange->raw(answer);
                   })
        , pool(loop,
               this->clock,
               4,
               [this](const CutResponse &) {
                   ++this->cuts;
               })
        , store(this->pool, this->endpoint.address(), this->storeClock, this->traffic, std::chrono::seconds(20))
    {
    }

    int cuts = 0;
    SystemClock clock;
    StoreClock storeClock{this->clock};
    TrafficMeter traffic;
    ScriptedEndpoint endpoint;
    OutboundPool pool;
    PlatformStore store;
};

struct ObjectRead
{
    ReadOutcome outcome = ReadOutcome::Failed;
    std::size_t bytes = 0;
    int cuts = 0;
};

std::string contentOf(std::size_t bytes)
{
    std::string content;
    content.resize(bytes, 'x');
    return content;
}

ObjectRead readObject(const std::string &answer)
{
    TaskHost<ScriptedStore> host("store", answer);
    const auto done = std::make_shared<std::promise<ObjectRead>>();
    host.post([done](ScriptedStore &scripted) {
        scripted.store.readObject("o", [done, &scripted](ReadOutcome outcome, const std::string &content) {
            done->set_value({outcome, content.size(), scripted.cuts});
        });
    });
    return done->get_future().get();
}

} // namespace

// The store sends bytes without end, and the node would hold all of them until the call times out.
TEST_CASE("an answer of the store beyond 16 MB is cut, and the largest object is read whole")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const ObjectRead endless = readObject(head + "\r\n" + contentOf(16777217));
    CHECK(endless.outcome == ReadOutcome::Failed);
    CHECK(endless.cuts == 1);
    const ObjectRead stated = readObject(head + "Content-Length: 16777217\r\n\r\n");
    CHECK(stated.outcome == ReadOutcome::Failed);
    CHECK(stated.cuts == 1);
    const ObjectRead largest = readObject(head + "Content-Length: 8388608\r\n\r\n" + contentOf(8388608));
    CHECK(largest.outcome == ReadOutcome::Found);
    CHECK(largest.bytes == 8388608);
    CHECK(largest.cuts == 0);
}
