#pragma once

#include <LibTask/EventLoop.h>

#include <thread>

namespace Dogwoodkeel
{

/**
 * A thread with its event loop. Objects that a task owns are created, used and destroyed on that thread; other threads
 * access them by posting to the loop.
 */
class Task
{
public:
    /** @param name shown by the operating system for the thread; 15 characters at most */
    explicit Task(const char *name);
    /** Stops the loop and waits for the thread. */
    ~Task();
    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    EventLoop &loop();

    /**
     * Runs an action on the task's thread and waits for it; never called from that thread.
     * @param action what to run
     */
    void runAndWait(const std::function<void()> &action);

private:
    EventLoop eventLoop;
    std::thread thread;
};

} // namespace Dogwoodkeel
