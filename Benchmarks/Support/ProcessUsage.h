#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace Dogwoodkeel
{

/** The resources that a process has used so far, as Linux reports them (proc(5)). */
struct ProcessUsage
{
    /** Processor time of all its threads. */
    std::chrono::microseconds processorTime{0};
    /** Resident memory, in bytes. */
    std::uint64_t memoryBytes = 0;

    /** @return the usage of a running process; zeros if it does not exist any more. */
    static ProcessUsage of(pid_t pid);
};

} // namespace Dogwoodkeel
