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
 * Asks every member the same question, a bounded number at once, and tells when each has answered or has not in time.
 */
template <typename Request>
class PeerSurvey : public std::enable_shared_from_this<PeerSurvey<Request>>
{
public:
    using Response = typename Request::Response;

    /** What one member said. */
    struct Reply
    {
        Member member;
        /** Nothing: it did not answer. */
        std::optional<Response> response;
    };

    using Done = std::function<void(std::vector<Reply>)>;

    /** Ask. @param done told once, with the replies in the order of the members */
    static void start(PeerClient &peers, const std::vector<Member> &members, const Request &request, Done done)
    {
        const auto survey = std::make_shared<PeerSurvey>(peers, members, request, std::move(done));
        if (members.empty()) {
            survey->done({});
            return;
        }
        for (std::size_t i = 0; i < std::min(atOnce, members.size()); ++i) {
            survey->askNext();
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
    static constexpr std::size_t atOnce = 32;
    static constexpr std::chrono::milliseconds timeout{1000};

    void askNext()
    {
        if (this->asked == this->replies.size()) {
            return;
        }
        const std::size_t index = this->asked++;
        this->peers.template call<Request>(this->replies[index].member.owner,
                                           this->request,
                                           timeout,
                                           [self = this->shared_from_this(), index](CallResult<Response> result) {
                                               self->replies[index].response = std::move(result.response);
                                               if (++self->answered == self->replies.size()) {
                                                   self->done(std::move(self->replies));
                                                   return;
                                               }
                                               self->askNext();
                                           });
    }

    PeerClient &peers;
    Request request;
    Done done;
    std::vector<Reply> replies;
    std::size_t asked = 0;
    std::size_t answered = 0;
};

} // namespace Dogwoodkeel
