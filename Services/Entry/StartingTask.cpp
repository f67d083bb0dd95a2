#include <Services/Entry/StartingTask.h>

#include <LibHttp/HttpReply.h>
#include <Services/Entry/ApiErrors.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t bodyBytes = 65536;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds retryAfter{1};

} // namespace

StartingTask::StartingTask(EventLoop &loop, const Address &address, std::string waitingFor)
    : waitingFor(std::move(waitingFor))
    , server(loop, address, {bodyBytes}, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        if (request.path == "/healthz") {
            reply->send(jsonResponse(statusOk, "{\"status\":\"up\"}\n"));
        } else if (request.path == "/readyz") {
            reply->send(notReadyResponse(this->waitingFor));
        } else {
            reply->send(refusalResponse(
                {statusUnavailable, "starting", "this node waits for " + this->waitingFor, RunState::NotRun, retryAfter}));
        }
    })
{
}

void StartingTask::setWaitingFor(std::string waitingFor)
{
    this->waitingFor = std::move(waitingFor);
}

} // namespace Dogwoodkeel
