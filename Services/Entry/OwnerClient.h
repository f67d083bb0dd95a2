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
     * @param attempt how often it was called before
     */
    template <typename Request>
    void call(const std::string &id,
              Request request,
              std::chrono::milliseconds wait,
              SteadyTime deadline,
              std::function<bool(const typename Request::Response &)> isFinal,
              std::function<void(std::optional<typename Request::Response>)> answered,
              std::uint32_t attempt = 0)
    {
        using Response = typename Request::Response;
        const std::optional<Address> owner = this->targetFor(id, attempt);
        if (this->clock.now() >= deadline) {
            answered(std::nullopt);
            return;
        }
        auto again = [this, id, request, wait, deadline, isFinal, answered, attempt] {
            this->loop.schedule(retryDelay(attempt), [this, id, request, wait, deadline, isFinal, answered, attempt] {
                this->call<Request>(id, request, wait, deadline, isFinal, answered, attempt + 1);
            });
        };
        if (!owner) {
            again();
            return;
        }
        this->peers.call<Request>(*owner,
                                  request,
                                  wait + this->options.callTimeout,
                                  [this, id, owner, again, isFinal, answered](CallResult<Response> result) {
                                      if (result.response && isFinal(*result.response)) {
                                          this->lastServing[this->shardOf(id)] = *owner;
                                          answered(std::move(result.response));
                                          return;
                                      }
                                      again();
                                  });
    }

private:
    /** @return short at first, since a planned change of owner is over in some milliseconds; then bounded. */
    static std::chrono::milliseconds retryDelay(std::uint32_t attempt)
    {
        constexpr std::chrono::milliseconds shortest{4};
        constexpr std::chrono::milliseconds longest{50};
        constexpr std::uint32_t doublings = 4;
        return std::min(longest, shortest * (1U << std::min(attempt, doublings)));
    }

    ShardNumber shardOf(const std::string &id) const;

    /**
     * @return whom to ask: the member that should own the id's shard, and at every second attempt the one that answered for
     * it last. While a shard changes hands, the former owner goes on until every node has heard of the new one.
     */
    std::optional<Address> targetFor(const std::string &id, std::uint32_t attempt) const;

    EventLoop &loop;
    const Clock &clock;
    PeerClient &peers;
    Options options;
    MemberViewPointer view;
    std::map<ShardNumber, Address> lastServing;
};

} // namespace Dogwoodkeel
