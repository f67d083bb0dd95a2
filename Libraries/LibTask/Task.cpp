#include <LibTask/Task.h>

#include <pthread.h>

#include <exception>
#include <future>

namespace Dogwoodkeel
{

Task::Task(const char *name)
    : thread([this] {
        this->eventLoop.run();
    })
{
    pthread_setname_np(this->thread.native_handle(), name);
}

Task::~Task()
{
    this->eventLoop.stop();
    this->thread.join();
}

EventLoop &Task::loop()
{
    return this->eventLoop;
}

void Task::runAndWait(const std::function<void()> &action)
{
    std::promise<void> done;
    this->eventLoop.post([&] {
        try {
            action();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

} // namespace Dogwoodkeel
