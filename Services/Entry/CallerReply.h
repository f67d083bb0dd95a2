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

/** The answer to the caller of a durable request: whole or as a stream, given once. */
class CallerReply
{
public:
    /** @param streamed the completion whose answer goes out as a stream; null for a whole answer */
    CallerReply(std::shared_ptr<HttpReply> reply, RequestId id, const CompletionRequest *streamed);

    /** @return whether the answer is still due. */
    bool isOpen() const;

    /** @return whether the caller is still connected and waits. */
    bool isAwaited() const;

    /** Pass on a part of a stream; does nothing for a whole answer. */
    void write(const std::string &text);

    /**
     * Give the answer.
     * @param answer the one that counts
     * @param result "committed" or "pending"
     */
    void finish(const Answer &answer, std::string_view result);

    void refuse(const Refusal &refusal);

private:
    void startStream();
    void finishStream(const Answer &answer, std::string_view result);
    void breakStream(const std::string &event);

    std::shared_ptr<HttpReply> reply;
    RequestId id;
    const CompletionRequest *streamed;
    /** What the caller has of the stream. */
    std::string shown;
};

} // namespace Dogwoodkeel
