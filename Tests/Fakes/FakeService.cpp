#include <Tests/Fakes/FakeService.h>

#include <nlohmann/json.hpp>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t bodyLimit = 1048576;
constexpr int statusOk = 200;

} // namespace

FakeService::FakeService(EventLoop &loop, const Address &address, std::chrono::milliseconds delay)
    : loop(loop)
    , delay(delay)
    , server(loop, address, {bodyLimit}, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        this->serve(request, reply);
    })
{
}

const Address &FakeService::address() const
{
    return this->server.address();
}

void FakeService::serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (request.path == "/runs") {
        reply->send({statusOk, {{"Content-Type", "application/json"}}, nlohmann::json(this->runs).dump()});
        return;
    }
    const std::uint64_t run = ++this->runs[request.target() + ' ' + request.body];
    const nlohmann::json body{{"path", request.target()}, {"echo", request.body}, {"run", run}};
    const HttpResponse response{statusOk, {{"Content-Type", "application/json"}}, body.dump()};
    if (this->delay.count() == 0) {
        reply->send(response);
        return;
    }
    this->loop.schedule(this->delay, [reply, response] {
        reply->send(response);
    });
}

} // namespace Dogwoodkeel
