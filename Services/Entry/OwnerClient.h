#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Dogwoodkeel
{

/**
 * Calls the owner of a request or job, whoever that is by then. A call that met the wrong node, no node, or a node that
 * cannot decide now is repeated until its deadline; all calls to owners may be repeated safely.
 */
class OwnerClient
{
public:
    /** Sizes and times. */
    struct Options
    {
        std::uint32_t shards = 64;
        std::chrono::milliseconds callTimeout{5000};
    };

    OwnerClient(EventLoop &loop, const Clock &clock, PeerClient &peers, Options options);

    void setView(MemberViewPointer view);

    /**
     * Call the owner of an id.
     * @param id the request or job
     * @param request what to ask
     * @param wait how long the owner itself may wait before it answers
     * @param deadline when to give up
     * @param isFinal whether a response counts, or the call is to be repeated
     * @param answered gets the response, or nothing if none counted before the deadline
     */
    template <typename Request>
    void call(const std::string &id,
              Request request,
              std::chrono::milliseconds wait,
              SteadyTime deadline,
              std::function<bool(const typename Request::Response &)> isFinal,
              std::function<void(std::optional<typename Request::Response>)> answered)
    {
        using Response = typename Request::Response;
        const Member *const owner = this->ownerOf(id);
        if (this->clock.now() >= deadline) {
            answered(std::nullopt);
            return;
        }
        auto again = [this, id, request, wait, deadline, isFinal, answered] {
            this->loop.schedule(retryDelay, [this, id, request, wait, deadline, isFinal, answered] {
                this->call<Request>(id, request, wait, deadline, isFinal, answered);
            });
        };
        if (owner == nullptr) {
            again();
            return;
        }
        this->peers.call<Request>(
            owner->owner, request, wait + this->options.callTimeout, [again, isFinal, answered](CallResult<Response> result) {
                if (result.response && isFinal(*result.response)) {
                    answered(std::move(result.response));
                    return;
                }
                again();
            });
    }

private:
    static constexpr std::chrono::milliseconds retryDelay{50};

    const Member *ownerOf(const std::string &id) const;

    EventLoop &loop;
    const Clock &clock;
    PeerClient &peers;
    Options options;
    MemberViewPointer view;
};

} // namespace Dogwoodkeel
