#pragma once

#include <LibDispatch/PlacementTypes.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Dogwoodkeel
{

/**
 * The usual time per unit of work of a service, to which its replicas are compared. A unit is an event of a stream, or a whole
 * answer. Online requests and batch items are kept apart, as are streams and whole answers.
 */
class ServiceSpeed
{
public:
    /** The time per unit of work of a run, as a ratio. */
    struct Comparison
    {
        /** To what is usual at present. */
        double toUsual = 1;
        /** To a constant. What is usual changes with the load of the replicas, so it does not show the effect of the load. */
        double toConstant = 1;
    };

    /**
     * Compares a run with what is usual, and adjusts that.
     * @param replicaTime the usual relative time of the replica that ran it at its load, see ReplicaSpeed and ConcurrencyLimit
     * @return its time per unit of work, relative to the service; nothing if the run shows none
     */
    std::optional<Comparison> recordRun(WorkClass work, const RunTiming &timing, double replicaTime);

    /**
     * Compares a node's mean measurements of replicas with what is usual, or with each other if nothing is known yet.
     * @return their times per unit of work, relative to the service, in the same order; 0 for one that shows none
     */
    std::vector<double> compare(const std::vector<ReplicaTiming> &timings);

    /** Multiplies the usual times by a factor. */
    void rescale(double factor);

private:
    /** An average of the logarithms of times, in microseconds. */
    struct Usual
    {
        double logarithm = 0;
        double count = 0;
        /** The logarithm of the first time. */
        std::optional<double> first{};

        void add(double value, double runs);
    };

    /** By the kind of work and of answer. */
    std::array<Usual, 4> usual;
};

} // namespace Dogwoodkeel
