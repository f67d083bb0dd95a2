#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/MemberView.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
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
        /** First pause before a call is repeated; doubled with each repetition. */
        std::chrono::milliseconds firstPause{20};
        /** Longest pause: an owner that is being replaced is found this late at most, and is not hammered meanwhile. */
        std::chrono::milliseconds longestPause{1000};
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
     * @param answerTimeout how long one answer may take beyond the wait, for an owner that answers from memory; by default
     *                      long enough for one that writes to the platform first
     */
    template <typename Request>
    void call(const std::string &id,
              Request request,
              std::chrono::milliseconds wait,
              SteadyTime deadline,
              std::function<bool(const typename Request::Response &)> isFinal,
              std::function<void(std::optional<typename Request::Response>)> answered,
              std::optional<std::chrono::milliseconds> answerTimeout = {})
    {
        const auto repeated
            = std::make_shared<Repeated<Request>>(Repeated<Request>{id,
                                                                    std::move(request),
                                                                    wait,
                                                                    deadline,
                                                                    std::move(isFinal),
                                                                    std::move(answered),
                                                                    answerTimeout.value_or(this->options.callTimeout)});
        this->attempt<Request>(repeated, this->options.firstPause, false);
    }

private:
    /** A call, over all its repetitions. */
    template <typename Request>
    struct Repeated
    {
        std::string id;
        Request request;
        std::chrono::milliseconds wait;
        SteadyTime deadline;
        std::function<bool(const typename Request::Response &)> isFinal;
        std::function<void(std::optional<typename Request::Response>)> answered;
        std::chrono::milliseconds answerTimeout;
    };

    template <typename Request>
    void attempt(const std::shared_ptr<Repeated<Request>> &call, std::chrono::milliseconds pause, bool asksFormer)
    {
        using Response = typename Request::Response;
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(call->deadline - this->clock.now());
        if (left.count() <= 0) {
            call->answered(std::nullopt);
            return;
        }
        // The former owner, if it is another, is asked at once; only then is there a pause.
        const bool hasFormer = !asksFormer && this->targetFor(call->id, true) != this->targetFor(call->id, false);
        const auto again = [this, call, left, pause, hasFormer] {
            const auto next = hasFormer ? pause : std::min(pause * 2, this->options.longestPause);
            this->loop.schedule(hasFormer ? std::chrono::milliseconds(0) : std::min(left, pause), [this, call, next, hasFormer] {
                this->attempt<Request>(call, next, hasFormer);
            });
        };
        const std::optional<Address> owner = this->targetFor(call->id, asksFormer);
        if (!owner) {
            again();
            return;
        }
        // The call's own deadline bounds the wait for one answer: a lost answer would otherwise be noticed only after it.
        const auto timeout = std::min(left, call->wait + call->answerTimeout);
        this->peers.call<Request>(*owner, call->request, timeout, [this, owner, again, call](CallResult<Response> result) {
            if (result.response && call->isFinal(*result.response)) {
                this->lastServing[this->shardOf(call->id)] = *owner;
                call->answered(std::move(result.response));
                return;
            }
            again();
        });
    }

    ShardNumber shardOf(const std::string &id) const;

    /**
     * @param asksFormer whether to ask the node that answered last for the id's shard, if there is one. While a shard
     *                   changes hands, its former owner goes on until every node has heard of the new one.
     * @return whom to ask, else the member that should own the shard
     */
    std::optional<Address> targetFor(const std::string &id, bool asksFormer) const;

    EventLoop &loop;
    const Clock &clock;
    PeerClient &peers;
    Options options;
    MemberViewPointer view;
    std::map<ShardNumber, Address> lastServing;
};

} // namespace Dogwoodkeel
