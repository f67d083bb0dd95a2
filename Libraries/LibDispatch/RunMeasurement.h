#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/** Measures one run at a replica: the times of its events, and what the replica stated when it started to answer. */
class RunMeasurement
{
public:
    /** Starts with a request that is sent now. */
    void start(SteadyTime now);

    /**
     * Records the head of the answer.
     * @param pace stated by the replica in percent of usual; 0: not stated
     * @param isError whether it is an error of the replica's own
     */
    void recordHead(std::uint32_t pace, bool isError);

    /** Records events of a stream that have arrived. */
    void recordEvents(std::uint32_t count, SteadyTime now);

    /** Records the end of a complete answer that is no stream. */
    void recordWholeAnswer(SteadyTime now);

    /** @return the measurement so far. */
    RunTiming timing() const;

private:
    RunTiming measured;
    SteadyTime sent{};
    std::optional<SteadyTime> firstEvent;
};

} // namespace Dogwoodkeel
