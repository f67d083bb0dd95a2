#pragma once

#include <LibMembership/MemberView.h>
#include <LibWire/PeerClient.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Sends the same request to every member, a bounded number at once, and reports when each has answered or timed out.
 */
template <typename Request>
class PeerSurvey : public std::enable_shared_from_this<PeerSurvey<Request>>
{
public:
    using Response = typename Request::Response;

    /** The reply of one member. */
    struct Reply
    {
        Member member;
        /** Empty if the member did not answer. */
        std::optional<Response> response;
    };

    using Done = std::function<void(std::vector<Reply>)>;

    /** Starts a survey. @param done called once, with the replies in the order of the members */
    static void start(PeerClient &peers, const std::vector<Member> &members, const Request &request, Done done)
    {
        const auto survey = std::make_shared<PeerSurvey>(peers, members, request, std::move(done));
        if (members.empty()) {
            survey->done({});
            return;
        }
        for (std::size_t i = 0; i < std::min(maxConcurrentQueries, members.size()); ++i) {
            survey->queryNext();
        }
    }

    PeerSurvey(PeerClient &peers, const std::vector<Member> &members, const Request &request, Done done)
        : peers(peers), request(request), done(std::move(done))
    {
        for (const Member &member : members) {
            this->replies.push_back({member, std::nullopt});
        }
    }

private:
    static constexpr std::size_t maxConcurrentQueries = 32;
    static constexpr std::chrono::milliseconds timeout{1000};

    void queryNext()
    {
        if (this->queried == this->replies.size()) {
            return;
        }
        const std::size_t index = this->queried++;
        this->peers.template call<Request>(this->replies[index].member.owner,
                                           this->request,
                                           timeout,
                                           [self = this->shared_from_this(), index](CallResult<Response> result) {
                                               self->replies[index].response = std::move(result.response);
                                               if (++self->answered == self->replies.size()) {
                                                   self->done(std::move(self->replies));
                                                   return;
                                               }
                                               self->queryNext();
                                           });
    }

    PeerClient &peers;
    Request request;
    Done done;
    std::vector<Reply> replies;
    std::size_t queried = 0;
    std::size_t answered = 0;
};

} // namespace Dogwoodkeel
