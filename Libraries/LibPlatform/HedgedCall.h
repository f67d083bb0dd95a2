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
 * One call by several ways: the next way is tried when the one before has failed, or has not answered for a while. So a way that
 * is dead costs that while and not its whole timeout.
 * @tparam Result what a way answers
 */
template <typename Result>
class HedgedCall : public std::enable_shared_from_this<HedgedCall<Result>>
{
public:
    using Done = std::function<void(Result)>;
    using Route = std::function<void(Done)>;

    /** What an answer of one way means for the call. */
    enum class Meaning {
        /** It is the answer. */
        Final,
        /** Another way may answer better; a way that has not begun may still be tried. */
        Failed,
        /** As Failed, but no further way may be begun: what this one did is not known. */
        Unknown,
    };

    struct Policy
    {
        /** After how long without an answer the next way is tried beside a way; nothing: only once it has failed. */
        std::optional<std::chrono::milliseconds> hedgeDelay;
        std::function<Meaning(const Result &)> meaning;
        /** @return the answer of a call whose ways have all answered, none of them finally. */
        std::function<Result(const std::vector<Result> &)> merge;
    };

    HedgedCall(Scheduler &scheduler, std::vector<Route> routes, Policy policy, Done done)
        : scheduler(scheduler), routes(std::move(routes)), policy(std::move(policy)), done(std::move(done))
    {
    }

    void start()
    {
        this->tryNext();
    }

private:
    void tryNext()
    {
        if (this->next == this->routes.size() || this->isClosed) {
            return;
        }
        const Route route = this->routes[this->next++];
        const auto self = this->shared_from_this();
        if (this->policy.hedgeDelay) {
            this->timer = this->scheduler.schedule(*this->policy.hedgeDelay, [self] {
                self->timer = 0;
                self->tryNext();
            });
        }
        route([self](Result result) {
            self->take(std::move(result));
        });
    }

    void take(Result result)
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
        const bool isLastBegun = this->results.size() == this->next;
        if (isLastBegun && this->next < this->routes.size() && !this->isClosed) {
            this->scheduler.cancel(std::exchange(this->timer, 0));
            this->tryNext();
        } else if (isLastBegun) {
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
    std::size_t next = 0;
    bool isClosed = false;
    TimerId timer = 0;
};

} // namespace Dogwoodkeel
