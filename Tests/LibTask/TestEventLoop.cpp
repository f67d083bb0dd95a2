#include <LibTask/EventGuard.h>
#include <LibTask/Task.h>

#include <doctest/doctest.h>

#include <future>
#include <stdexcept>

using namespace Dogwoodkeel;

// All callers of a node lose their requests at once: the handler of one event throws, the exception leaves the event loop, and
// the process ends with everything else that it was serving.
TEST_CASE("an event whose handler throws is given up, and all others are handled")
{
    const std::uint64_t before = eventsGivenUp();
    Task task("test");
    std::promise<void> afterTimer;
    task.loop().post([&task, &afterTimer] {
        task.loop().schedule(std::chrono::milliseconds(0), [&task, &afterTimer] {
            task.loop().schedule(std::chrono::milliseconds(0), [&afterTimer] {
                afterTimer.set_value();
            });
            throw std::runtime_error("of a timer");
        });
        throw std::runtime_error("of a message");
    });
    afterTimer.get_future().wait();
    bool isHandled = false;
    task.runAndWait([&isHandled] {
        isHandled = true;
    });
    CHECK(isHandled);
    CHECK(eventsGivenUp() == before + 2);
}

TEST_CASE("who waits for an action hears of its exception")
{
    Task task("test");
    CHECK_THROWS_AS(task.runAndWait([] {
        throw std::runtime_error("of the action");
    }),
                    std::runtime_error);
}
