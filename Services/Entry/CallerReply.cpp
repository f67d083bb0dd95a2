#include <Services/Entry/CallerReply.h>

#include <LibHttp/ServerSentEvents.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view streamEnd = "[DONE]";
constexpr int statusOk = 200;

} // namespace

CallerReply::CallerReply(std::shared_ptr<HttpReply> reply, RequestId id, const CompletionRequest *streamed)
    : reply(std::move(reply)), id(std::move(id)), streamed(streamed)
{
}

bool CallerReply::isOpen() const
{
    return this->reply != nullptr;
}

bool CallerReply::isAwaited() const
{
    return this->reply != nullptr && this->reply->isConnected();
}

void CallerReply::startStream()
{
    if (!this->reply->isStarted()) {
        this->reply->start(
            statusOk,
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}, {"Dogwoodkeel-Request-Id", this->id.value()}});
    }
}

void CallerReply::write(const std::string &text)
{
    if (!this->isOpen() || this->streamed == nullptr || text.empty()) {
        return;
    }
    this->startStream();
    this->sentText += text;
    const CompletionDelta delta{text, {}};
    this->reply->write(ServerSentEvents::format(delta.format(this->streamed->form, this->id, this->streamed->model)));
}

void CallerReply::finish(const Answer &answer, std::string_view result)
{
    if (!this->isOpen()) {
        return;
    }
    if (this->streamed != nullptr && (answer.status == statusOk || this->reply->isStarted())) {
        this->finishStream(answer, result);
    } else {
        this->reply->send({answer.status,
                           {{"Content-Type", answer.contentType},
                            {"Dogwoodkeel-Request-Id", this->id.value()},
                            {"Dogwoodkeel-Result", std::string(result)}},
                           answer.body});
    }
    this->reply = nullptr;
}

void CallerReply::finishStream(const Answer &answer, std::string_view result)
{
    CompletionDelta last = CompletionDelta::parse(answer.body).value_or(CompletionDelta());
    if (answer.status != statusOk || !last.text.starts_with(this->sentText)) {
        // The result of another run was committed first. The text streamed until now is not the beginning of that
        // answer, so the stream must end with an error.
        const nlohmann::json event{
            {"error", {{"reason", "superseded"}, {"message", "another run's answer counts; read it by its id"}}}};
        this->endStreamWithError(event.dump());
        return;
    }
    last.text.erase(0, this->sentText.size());
    this->startStream();
    this->reply->write(ServerSentEvents::format(last.format(this->streamed->form, this->id, this->streamed->model)));
    this->reply->write(": result " + std::string(result) + "\n\n");
    this->reply->write(ServerSentEvents::format(streamEnd));
    this->reply->finish();
}

void CallerReply::endStreamWithError(const std::string &event)
{
    this->reply->write(ServerSentEvents::format(event));
    this->reply->finish();
}

void CallerReply::refuse(const Refusal &refusal)
{
    if (!this->isOpen()) {
        return;
    }
    HttpResponse response = refusalResponse(refusal);
    if (this->reply->isStarted()) {
        response.body.pop_back();
        this->endStreamWithError(response.body);
    } else {
        response.headers["Dogwoodkeel-Request-Id"] = this->id.value();
        this->reply->send(response);
    }
    this->reply = nullptr;
}

} // namespace Dogwoodkeel
