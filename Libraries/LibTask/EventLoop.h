#pragma once

#include <LibBase/Scheduler.h>

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

struct event_base;
struct event;

namespace Dogwoodkeel
{

/**
 * Owns an event base and the queue of actions posted to it. All functions except post() and stop() are called on the loop's
 * own thread.
 */
class EventLoop final : public Scheduler
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop() is called. */
    void run();

    /** Makes run() return; may be called from any thread. */
    void stop();

    /**
     * Runs an action on the loop's thread, in the order of the calls; may be called from any thread.
     * @param action what to run
     */
    void post(std::function<void()> action);

    TimerId schedule(std::chrono::milliseconds delay, std::function<void()> action) override;
    void cancel(TimerId id) override;

    /** @return the event base, for libraries that register their sockets with it. */
    event_base *base() const;

private:
    struct Timer;

    static void onWake(int descriptor, short what, void *self);
    static void onTimer(int descriptor, short what, void *timer);
    void runPosted();

    event_base *eventBase = nullptr;
    event *wake = nullptr;
    std::mutex mutex;
    std::deque<std::function<void()>> posted;
    TimerId lastTimer = 0;
    std::unordered_map<TimerId, std::unique_ptr<Timer>> timers;
};

} // namespace Dogwoodkeel
