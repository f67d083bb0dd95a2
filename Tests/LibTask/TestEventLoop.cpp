#include <LibTask/EventGuard.h>
#include <LibTask/Task.h>

#include <doctest/doctest.h>

#include <chrono>
#include <ctime>
#include <future>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

constexpr std::chrono::milliseconds timerDelay{20};

std::chrono::nanoseconds durationOf(const timespec &time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::nanoseconds read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return durationOf(time);
}

void waitForTick()
{
    const std::chrono::nanoseconds before = read(CLOCK_MONOTONIC_COARSE);
    while (read(CLOCK_MONOTONIC_COARSE) == before) {
        std::this_thread::yield();
    }
}

/** Waits for three quarters of the time between two ticks. */
void waitUntilTickIsNear()
{
    timespec tick{};
    ::clock_getres(CLOCK_MONOTONIC_COARSE, &tick);
    const std::chrono::nanoseconds start = read(CLOCK_MONOTONIC);
    while ((read(CLOCK_MONOTONIC) - start) * 4 < durationOf(tick) * 3) {
        std::this_thread::yield();
    }
}

} // namespace

// Guards against the loss of all requests of a node: the handler of one event throws, the exception leaves the event loop, and
// the process terminates.
TEST_CASE("an event whose handler throws is abandoned, and all others are handled")
{
    const std::uint64_t before = failedEventCount();
    Task task("test");
    std::promise<void> afterTimer;
    task.loop().post([&task, &afterTimer] {
        task.loop().schedule(std::chrono::milliseconds(0), [&task, &afterTimer] {
            task.loop().schedule(std::chrono::milliseconds(0), [&afterTimer] {
                afterTimer.set_value();
            });
            throw std::runtime_error("thrown by a timer");
        });
        throw std::runtime_error("thrown by a message");
    });
    afterTimer.get_future().wait();
    bool isHandled = false;
    task.runAndWait([&isHandled] {
        isHandled = true;
    });
    CHECK(isHandled);
    CHECK(failedEventCount() == before + 2);
}

TEST_CASE("runAndWait rethrows the exception of its action")
{
    Task task("test");
    CHECK_THROWS_AS(task.runAndWait([] {
        throw std::runtime_error("thrown by the action");
    }),
                    std::runtime_error);
}

// Guards against missed one-time checks: a timer that fires early finds its deadline not yet reached, and is not scheduled
// again.
TEST_CASE("a timer does not run before its delay has passed")
{
    constexpr int rounds = 30;
    Task task("test");
    std::vector<std::chrono::nanoseconds> early;
    for (int round = 0; round < rounds; ++round) {
        std::promise<std::chrono::nanoseconds> passed;
        task.loop().post([&task, &passed] {
            // Schedules just before a tick of the clock that the event base uses, and lets the loop wait from just after it.
            waitForTick();
            waitUntilTickIsNear();
            task.loop().schedule(timerDelay, [&passed, scheduled = std::chrono::steady_clock::now()] {
                passed.set_value(std::chrono::steady_clock::now() - scheduled);
            });
            waitForTick();
        });
        const std::chrono::nanoseconds measured = passed.get_future().get();
        if (measured < timerDelay) {
            early.push_back(timerDelay - measured);
        }
    }
    CHECK(early.empty());
}
