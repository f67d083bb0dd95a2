#pragma once

#include <LibTask/Task.h>

#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace Dogwoodkeel
{

/**
 * A task and the objects (parts) that it owns. The parts are created, used and destroyed on the task's own thread.
 * @tparam Parts constructible from EventLoop & and further arguments
 */
template <typename Parts>
class TaskHost
{
public:
    /**
     * @param name of the thread
     * @param arguments for the parts
     * @throws what the parts' constructor throws
     */
    template <typename... Arguments>
    explicit TaskHost(const char *name, Arguments &&...arguments) : task(name)
    {
        std::exception_ptr failure;
        this->task.runAndWait([&] {
            try {
                this->parts = std::make_unique<Parts>(this->task.loop(), std::forward<Arguments>(arguments)...);
            } catch (const std::exception &) {
                failure = std::current_exception();
            }
        });
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    ~TaskHost()
    {
        this->task.runAndWait([this] {
            this->parts.reset();
        });
    }

    TaskHost(const TaskHost &) = delete;
    TaskHost &operator=(const TaskHost &) = delete;

    /** Runs an action with the parts on the task, in the order of the calls; may be called from any thread. */
    void post(std::function<void(Parts &)> action)
    {
        this->task.loop().post([this, action = std::move(action)] {
            if (this->parts) {
                action(*this->parts);
            }
        });
    }

    /** @return the result of the action, which runs on the task; never called from the task itself. */
    template <typename Result>
    Result ask(const std::function<Result(Parts &)> &action)
    {
        Result result{};
        this->task.runAndWait([&] {
            result = action(*this->parts);
        });
        return result;
    }

private:
    Task task;
    std::unique_ptr<Parts> parts;
};

} // namespace Dogwoodkeel
