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
    static constexpr std::chrono::milliseconds retryDelay{50};
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

    const Member *ownerOf(const std::string &id) const;

    EventLoop &loop;
    const Clock &clock;
    PeerClient &peers;
    Options options;
    MemberViewPointer view;
};

} // namespace Dogwoodkeel
