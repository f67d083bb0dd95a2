#pragma once

#include <LibTask/EventLoop.h>

#include <thread>

namespace Dogwoodkeel
{

/**
 * A thread with its event loop. What a task owns is made, used and destroyed on that thread; others reach it
 * by posting to the loop.
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
     * Run an action on the task's thread and wait for it; never called from that thread.
     * @param action what to run
     */
    void runAndWait(const std::function<void()> &action);

private:
    EventLoop eventLoop;
    std::thread thread;
};

} // namespace Dogwoodkeel
