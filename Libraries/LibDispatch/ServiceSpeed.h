#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Dogwoodkeel
{

/**
 * The usual time per unit of work of a service, to which its replicas are compared. A unit is an event of a stream, or a whole
 * answer. Online requests and batch items are kept apart, as are streams and whole answers.
 */
class ServiceSpeed
{
public:
    /**
     * Compares a run with what is usual, and adjusts that.
     * @param replicaTime the usual relative time of the replica that ran it, see ReplicaSpeed
     * @return its time per unit of work, relative to the service; nothing if the run shows none
     */
    std::optional<double> recordRun(WorkClass work, const RunTiming &timing, double replicaTime);

    /** @return a node's mean measurements of a replica, relative to the service; nothing if there is nothing to compare with. */
    std::optional<double> compare(const ReplicaTiming &timing);

private:
    /** An average of the logarithms of times, in microseconds. */
    struct Usual
    {
        double logarithm = 0;
        double count = 0;

        void add(double value, double runs);
    };

    /** By the kind of work and of answer. */
    std::array<Usual, 4> usual;
};

} // namespace Dogwoodkeel
