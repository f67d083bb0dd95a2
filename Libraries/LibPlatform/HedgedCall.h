#pragma once

#include <LibBase/Scheduler.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Sends one call over several routes in turn: starts the next route when the previous one has failed or has not answered within
 * a delay. An unreachable route therefore costs that delay and not its whole timeout.
 * @tparam Result the result type of a route
 */
template <typename Result>
class HedgedCall : public std::enable_shared_from_this<HedgedCall<Result>>
{
public:
    using Done = std::function<void(Result)>;
    using Route = std::function<void(Done)>;

    /** What the result of one route means for the call. */
    enum class Meaning {
        /** It is the result of the call. */
        Final,
        /** Another route may succeed; routes that have not been started may still be tried. */
        Failed,
        /** As Failed, but no further route may be started, because the effect of this one is unknown. */
        Unknown,
    };

    struct Policy
    {
        /** Time without an answer after which the next route is started in parallel; nothing: only after a failure. */
        std::optional<std::chrono::milliseconds> hedgeDelay;
        std::function<Meaning(const Result &)> meaning;
        /** @return the result of a call all of whose started routes have answered, none with a final result. */
        std::function<Result(const std::vector<Result> &)> merge;
    };

    HedgedCall(Scheduler &scheduler, std::vector<Route> routes, Policy policy, Done done)
        : scheduler(scheduler), routes(std::move(routes)), policy(std::move(policy)), done(std::move(done))
    {
    }

    void start()
    {
        this->startNext();
    }

private:
    void startNext()
    {
        if (this->nextRoute == this->routes.size() || this->isClosed) {
            return;
        }
        const Route route = this->routes[this->nextRoute++];
        const auto self = this->shared_from_this();
        if (this->policy.hedgeDelay) {
            this->timer = this->scheduler.schedule(*this->policy.hedgeDelay, [self] {
                self->timer = 0;
                self->startNext();
            });
        }
        route([self](Result result) {
            self->handleResult(std::move(result));
        });
    }

    void handleResult(Result result)
    {
        if (!this->done) {
            return;
        }
        const Meaning meaning = this->policy.meaning(result);
        this->results.push_back(std::move(result));
        if (meaning == Meaning::Final) {
            this->finish(this->results.back());
            return;
        }
        this->isClosed = this->isClosed || meaning == Meaning::Unknown;
        const bool haveAllStartedAnswered = this->results.size() == this->nextRoute;
        if (haveAllStartedAnswered && this->nextRoute < this->routes.size() && !this->isClosed) {
            this->scheduler.cancel(std::exchange(this->timer, 0));
            this->startNext();
        } else if (haveAllStartedAnswered) {
            this->finish(this->policy.merge(this->results));
        }
    }

    void finish(Result result)
    {
        this->scheduler.cancel(std::exchange(this->timer, 0));
        const Done reply = std::exchange(this->done, nullptr);
        this->isClosed = true;
        reply(std::move(result));
    }

    Scheduler &scheduler;
    std::vector<Route> routes;
    Policy policy;
    Done done;
    std::vector<Result> results;
    std::size_t nextRoute = 0;
    bool isClosed = false;
    TimerId timer = 0;
};

} // namespace Dogwoodkeel
