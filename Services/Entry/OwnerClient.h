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
 * Calls the current owner of a request or job. A call that reached the wrong node, no node, or a node that cannot decide
 * at present is retried until its deadline. All calls to owners are idempotent.
 */
class OwnerClient
{
public:
    /** Number of shards, timeouts and retry delays. */
    struct Options
    {
        std::uint32_t shards = 64;
        std::chrono::milliseconds callTimeout{5000};
        /** Delay before the first retry; doubled with each retry. */
        std::chrono::milliseconds initialRetryDelay{20};
        /** Maximum retry delay: bounds both the time to find a new owner and the retry rate until there is one. */
        std::chrono::milliseconds maxRetryDelay{1000};
    };

    OwnerClient(EventLoop &loop, const Clock &clock, PeerClient &peers, Options options);

    void setView(MemberViewPointer view);

    /**
     * Calls the owner of an id.
     * @param id the request or job
     * @param request the request to send
     * @param wait how long the owner itself may wait before it answers
     * @param deadline when to stop retrying
     * @param isFinal returns whether a response is final; otherwise the call is retried
     * @param answered receives the final response, or nothing if there was none before the deadline
     * @param answerTimeout time limit of one attempt in addition to the wait, for an owner that answers from memory; by default
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
        const auto retriedCall
            = std::make_shared<RetriedCall<Request>>(RetriedCall<Request>{id,
                                                                          std::move(request),
                                                                          wait,
                                                                          deadline,
                                                                          std::move(isFinal),
                                                                          std::move(answered),
                                                                          answerTimeout.value_or(this->options.callTimeout)});
        this->attempt<Request>(retriedCall, this->options.initialRetryDelay, false);
    }

    /**
     * Calls every node that is not dead once, with a bounded number of concurrent calls.
     * @param answered receives the responses, and the number of nodes that gave none
     */
    template <typename Request>
    void callAll(const Request &request, std::function<void(std::vector<typename Request::Response>, std::size_t)> answered)
    {
        const auto broadcast = std::make_shared<Broadcast<Request>>();
        broadcast->request = request;
        broadcast->answered = std::move(answered);
        broadcast->nodes = this->reachableOwners();
        for (std::size_t i = 0; i < maxConcurrentCalls; ++i) {
            ++broadcast->activeCalls;
            this->callNext(broadcast);
        }
    }

private:
    /** A call with all its retries. */
    template <typename Request>
    struct RetriedCall
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
    void attempt(const std::shared_ptr<RetriedCall<Request>> &call, std::chrono::milliseconds retryDelay, bool isFormerOwner)
    {
        using Response = typename Request::Response;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(call->deadline - this->clock.now());
        if (remaining.count() <= 0) {
            call->answered(std::nullopt);
            return;
        }
        // If the shard had another owner before, that node is called without a delay; the delay applies to later retries.
        const bool hasFormerOwner = !isFormerOwner && this->targetFor(call->id, true) != this->targetFor(call->id, false);
        const auto retry = [this, call, remaining, retryDelay, hasFormerOwner] {
            const auto nextDelay = hasFormerOwner ? retryDelay : std::min(retryDelay * 2, this->options.maxRetryDelay);
            this->loop.schedule(hasFormerOwner ? std::chrono::milliseconds(0) : std::min(remaining, retryDelay),
                                [this, call, nextDelay, hasFormerOwner] {
                                    this->attempt<Request>(call, nextDelay, hasFormerOwner);
                                });
        };
        const std::optional<Address> owner = this->targetFor(call->id, isFormerOwner);
        if (!owner) {
            retry();
            return;
        }
        // The timeout of an attempt is shorter than that of the call: a lost answer would otherwise be noticed only at the
        // deadline of the call.
        const auto timeout = std::min(remaining, call->wait + call->answerTimeout);
        this->peers.call<Request>(*owner, call->request, timeout, [this, owner, retry, call](CallResult<Response> result) {
            if (result.response && call->isFinal(*result.response)) {
                this->lastResponders[this->shardOf(call->id)] = *owner;
                call->answered(std::move(result.response));
                return;
            }
            retry();
        });
    }

    /** Limits the load on connections when all nodes of a large fleet are called. */
    static constexpr std::size_t maxConcurrentCalls = 16;

    /** State of a call to all nodes. */
    template <typename Request>
    struct Broadcast
    {
        Request request;
        std::vector<Address> nodes;
        std::size_t activeCalls = 0;
        std::size_t unresponsiveNodes = 0;
        std::vector<typename Request::Response> responses;
        std::function<void(std::vector<typename Request::Response>, std::size_t)> answered;
    };

    template <typename Request>
    void callNext(const std::shared_ptr<Broadcast<Request>> &broadcast)
    {
        if (broadcast->nodes.empty()) {
            if (--broadcast->activeCalls == 0) {
                broadcast->answered(std::move(broadcast->responses), broadcast->unresponsiveNodes);
            }
            return;
        }
        const Address node = broadcast->nodes.back();
        broadcast->nodes.pop_back();
        this->peers.call<Request>(node,
                                  broadcast->request,
                                  this->options.callTimeout,
                                  [this, broadcast](CallResult<typename Request::Response> result) {
                                      if (result.response) {
                                          broadcast->responses.push_back(std::move(*result.response));
                                      } else {
                                          ++broadcast->unresponsiveNodes;
                                      }
                                      this->callNext(broadcast);
                                  });
    }

    std::vector<Address> reachableOwners() const;

    ShardNumber shardOf(const std::string &id) const;

    /**
     * @param isFormerOwner whether to return the node that last answered for the id's shard, if there is one: while a
     *                      shard moves, its former owner serves it until every node knows the new one
     * @return the address to call, by default that of the member that should own the shard; nothing if there is none
     */
    std::optional<Address> targetFor(const std::string &id, bool isFormerOwner) const;

    EventLoop &loop;
    const Clock &clock;
    PeerClient &peers;
    Options options;
    MemberViewPointer view;
    std::map<ShardNumber, Address> lastResponders;
};

} // namespace Dogwoodkeel
