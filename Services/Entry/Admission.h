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
 * Lets requests go to the replicas of a model or plain service while there is room, and makes the others wait, by
 * deadline, or refuses them at once. Each model and service has a queue of its own, so that nothing waits behind requests
 * for something else; batch items never stand in one.
 *
 * An engine takes whatever it is sent and then serves all of it more slowly. Waiting here in place of there keeps what
 * was begun fast, and leaves a waiting request free to go to whichever replica has room first.
 */
class Admission
{
public:
    using Ticket = DeadlineQueue::Ticket;

    /** What a request that entered is told, once, unless it leaves the queue before. */
    struct Hooks
    {
        /** There is room: send it now. */
        std::function<void()> run;
        /** It would be late. @param retryAfter when there should be room */
        std::function<void(std::chrono::milliseconds retryAfter)> refuse;
    };

    Admission(EventLoop &loop, const Clock &clock, const SettingsHandle &settings, ReplicaTable &replicas);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /**
     * @param serves the model or plain service
     * @param deadline until when its caller waits
     * @param hooks may be called from inside
     * @return a ticket to leave by
     */
    Ticket enter(const std::string &serves, SteadyTime deadline, Hooks hooks);

    /** A request no longer waits. One that has been told already is ignored. */
    void leave(const std::string &serves, Ticket ticket);

    /** A request left its replica. @param service how long it was there */
    void served(const std::string &serves, std::chrono::microseconds service);

    /** @return requests that wait for a model or service. */
    std::size_t waiting(const std::string &serves) const;

private:
    struct Pool
    {
        Pool(const Clock &clock, DeadlineQueue::Options options);

        DeadlineQueue queue;
        std::unordered_map<Ticket, Hooks> hooks;
        /** Free places as last counted, less what was sent since. */
        double room = 0;
        SteadyTime counted{};
    };

    Pool &poolOf(const std::string &serves);
    bool hasRoom(const std::string &serves, Pool &pool);
    double countRoom(const std::string &serves) const;
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
