#include <Services/Gateway/ReplicaCall.h>

#include <platform/RequestFormat.h>

#include <utility>

namespace Dogwoodkeel
{

CallHooks hooksFor(const std::shared_ptr<ReplicaAnswerTaker> &taker)
{
    return {
        .onHead =
            [taker](const MessageHead &head) {
                taker->takeHead(head);
            },
        .onBody =
            [taker](std::string_view data) {
                taker->takeBody(data);
            },
        .onEnd =
            [taker](CallEnd end) {
                taker->takeEnd(end);
            },
    };
}

std::function<bool(const MessageHead &)> isAnswerTo(std::string id)
{
    return [id = std::move(id)](const MessageHead &head) {
        const ReplicaAnswer read = decodeReplicaAnswer(head);
        return read.requestId.empty() || read.requestId == id;
    };
}

} // namespace Dogwoodkeel
