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
#include <vector>

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

    /**
     * Call every node that is not dead, once, a bounded number at a time.
     * @param answered gets the responses, and how many nodes gave none
     */
    template <typename Request>
    void callAll(const Request &request, std::function<void(std::vector<typename Request::Response>, std::size_t)> answered)
    {
        const auto round = std::make_shared<Round<Request>>();
        round->request = request;
        round->answered = std::move(answered);
        round->nodes = this->reachableOwners();
        for (std::size_t i = 0; i < callsAtOnce; ++i) {
            ++round->open;
            this->callNext(round);
        }
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

    /** So that a call of all nodes of a large fleet does not fill the connections to them at once. */
    static constexpr std::size_t callsAtOnce = 16;

    /** A call of all nodes. */
    template <typename Request>
    struct Round
    {
        Request request;
        std::vector<Address> nodes;
        std::size_t open = 0;
        std::size_t silent = 0;
        std::vector<typename Request::Response> responses;
        std::function<void(std::vector<typename Request::Response>, std::size_t)> answered;
    };

    template <typename Request>
    void callNext(const std::shared_ptr<Round<Request>> &round)
    {
        if (round->nodes.empty()) {
            if (--round->open == 0) {
                round->answered(std::move(round->responses), round->silent);
            }
            return;
        }
        const Address node = round->nodes.back();
        round->nodes.pop_back();
        this->peers.call<Request>(
            node, round->request, this->options.callTimeout, [this, round](CallResult<typename Request::Response> result) {
                if (result.response) {
                    round->responses.push_back(std::move(*result.response));
                } else {
                    ++round->silent;
                }
                this->callNext(round);
            });
    }

    std::vector<Address> reachableOwners() const;

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
