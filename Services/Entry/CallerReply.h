#pragma once

#include <LibHttp/HttpReply.h>
#include <LibWire/Generated/Messages.h>
#include <Services/Entry/ApiErrors.h>
#include <Services/Entry/Completion.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Sends the answer of a durable request to its caller, exactly once, as one response or as a stream. */
class CallerReply
{
public:
    /** @param streamed the completion whose answer is sent as a stream; null for a single response */
    CallerReply(std::shared_ptr<HttpReply> reply, RequestId id, const CompletionRequest *streamed);

    /** @return whether the answer has not been completed yet. */
    bool isOpen() const;

    /** @return whether the answer has not been completed and the caller is still connected. */
    bool isAwaited() const;

    /** Sends the next part of a stream; does nothing if the answer is not streamed. */
    void write(const std::string &text);

    /**
     * Completes the answer.
     * @param answer the final answer of the request
     * @param result "committed" or "pending"
     */
    void finish(const Answer &answer, std::string_view result);

    void refuse(const Refusal &refusal);

private:
    void startStream();
    void finishStream(const Answer &answer, std::string_view result);
    void endStreamWithError(const std::string &event);

    std::shared_ptr<HttpReply> reply;
    RequestId id;
    const CompletionRequest *streamed;
    /** The text sent on the stream until now. */
    std::string sentText;
};

} // namespace Dogwoodkeel
