#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/ReplicaTable.h>
#include <LibRouting/DeadlineQueue.h>
#include <LibSettings/SettingsHandle.h>
#include <LibTask/EventLoop.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace Dogwoodkeel
{

/**
 * Admits requests to the replicas of a model or plain service while there is capacity; queues the others by deadline
 * or refuses them at once. Each model and service has its own queue, so that no request waits behind requests for
 * something else. Batch items are never queued here.
 *
 * An engine accepts whatever it is sent and then serves all of it more slowly. Queueing here instead keeps running
 * requests fast and lets a waiting request go to whichever replica has capacity first.
 */
class Admission
{
public:
    using Ticket = DeadlineQueue::Ticket;

    /** Callbacks of a queued request. Exactly one is called, once, unless the request leaves the queue before. */
    struct Hooks
    {
        /** There is capacity: the request must be sent now. */
        std::function<void()> run;
        /** The request would miss its deadline. @param retryAfter when capacity is expected */
        std::function<void(std::chrono::milliseconds retryAfter)> refuse;
    };

    Admission(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /**
     * Queues a request, or admits or refuses it at once.
     * @param serves the model or plain service
     * @param deadline when the caller stops waiting
     * @param hooks may be called before this function returns
     * @return a ticket for leave()
     */
    Ticket enter(const std::string &serves, SteadyTime deadline, Hooks hooks);

    /** Removes a request from the queue. Ignores one whose hook has already been called. */
    void leave(const std::string &serves, Ticket ticket);

    /** Records that a request left its replica. @param service how long it was there */
    void served(const std::string &serves, std::chrono::microseconds service);

    /** @return the number of requests that wait for a model or service. */
    std::size_t waiting(const std::string &serves) const;

private:
    struct Pool
    {
        Pool(const Clock &clock, DeadlineQueue::Options options);

        DeadlineQueue queue;
        std::unordered_map<Ticket, Hooks> hooks;
        /** Free slots as last counted, less the requests sent since. */
        double freeSlots = 0;
        SteadyTime countedAt{};
    };

    Pool &poolOf(const std::string &serves);
    bool hasCapacity(const std::string &serves, Pool &pool);
    double countFreeSlots(const std::string &serves) const;
    void pump(const std::string &serves);
    void refuse(Pool &pool, Ticket ticket);
    void tick();

    EventLoop &loop;
    const Clock &clock;
    const SettingsHandle &settings;
    ReplicaTable &replicas;
    std::map<std::string, Pool> pools;
    Ticket lastTicket = 0;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
