#include <LibTask/EventLoop.h>

#include <LibTask/EventGuard.h>

#include <event2/event.h>
#include <event2/thread.h>

#include <stdexcept>
#include <utility>

namespace Dogwoodkeel
{

struct EventLoop::Timer
{
    EventLoop *loop = nullptr;
    TimerId id = 0;
    event *timeout = nullptr;
    std::chrono::steady_clock::time_point due;
    std::function<void()> action;

    void start(std::chrono::microseconds wait)
    {
        const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
        const timeval time{seconds.count(), (wait - seconds).count()};
        event_add(this->timeout, &time);
    }

    ~Timer()
    {
        event_free(this->timeout);
    }
};

EventLoop::EventLoop()
{
    static const int threads = evthread_use_pthreads();
    this->eventBase = threads == 0 ? event_base_new() : nullptr;
    if (this->eventBase == nullptr) {
        throw std::runtime_error("cannot create an event base");
    }
    this->wake = event_new(this->eventBase, -1, EV_PERSIST, &EventLoop::onWake, this);
}

EventLoop::~EventLoop()
{
    this->timers.clear();
    event_free(this->wake);
    event_base_free(this->eventBase);
}

void EventLoop::run()
{
    this->runPosted();
    event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    this->post([this] {
        event_base_loopbreak(this->eventBase);
    });
}

void EventLoop::post(std::function<void()> action)
{
    {
        const std::lock_guard lock(this->mutex);
        this->posted.push_back(std::move(action));
    }
    event_active(this->wake, EV_READ, 0);
}

TimerId EventLoop::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_unique<Timer>();
    timer->loop = this;
    timer->id = ++this->lastTimer;
    timer->action = std::move(action);
    timer->timeout = event_new(this->eventBase, -1, 0, &EventLoop::onTimer, timer.get());
    timer->due = std::chrono::steady_clock::now() + delay;
    timer->start(delay);
    const TimerId id = timer->id;
    this->timers.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId id)
{
    this->timers.erase(id);
}

event_base *EventLoop::base() const
{
    return this->eventBase;
}

void EventLoop::onWake(int, short, void *self)
{
    static_cast<EventLoop *>(self)->runPosted();
}

void EventLoop::onTimer(int, short, void *timer)
{
    auto *const fired = static_cast<Timer *>(timer);
    // The event base measures from its last reading of a coarse clock, so the timer may fire early by that difference.
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(fired->due - std::chrono::steady_clock::now());
    if (remaining.count() > 0) {
        fired->start(remaining);
        return;
    }
    EventLoop *const loop = fired->loop;
    const std::function<void()> action = std::move(fired->action);
    loop->timers.erase(fired->id);
    runGuarded("timer", action);
}

void EventLoop::runPosted()
{
    std::deque<std::function<void()>> batch;
    {
        const std::lock_guard lock(this->mutex);
        batch.swap(this->posted);
    }
    for (const std::function<void()> &action : batch) {
        runGuarded("message", action);
    }
}

} // namespace Dogwoodkeel
