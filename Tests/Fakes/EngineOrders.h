#pragma once

#include <LibBase/Clock.h>
#include <LibControl/EngineState.h>

#include <chrono>
#include <vector>

namespace Dogwoodkeel
{

/** Handles the orders to a stand-in engine: simulates the time of a load, and rejects old fencing numbers if it checks them. */
class EngineOrders
{
public:
    struct Options
    {
        bool checksFencing = false;
        /** How long a load takes, as given by the rate of the weight store. */
        std::chrono::milliseconds loadTime{0};
    };

    EngineOrders(const Clock &clock, Options options);

    /** @return whether the order was accepted; false if its fencing number is old */
    bool apply(const EngineOrder &order);

    EngineStateReport report();

    /** Resets to nothing loaded, as an engine does after its process ended. */
    void restart();

    void setLoadTime(std::chrono::milliseconds time);

    /** Adds to the counts of requests and errors of the loaded version. */
    void countRequests(std::uint64_t requests, std::uint64_t errors);

    /** @return the number of orders received, with or without effect. */
    std::size_t received() const;

    /** @return the orders that took effect, oldest first. */
    const std::vector<EngineOrder> &appliedOrders() const;

private:
    void finishLoad();

    const Clock &clock;
    Options options;
    EngineStateReport current;
    SteadyTime loadEnd{};
    std::vector<EngineOrder> history;
    std::size_t receivedOrders = 0;
};

} // namespace Dogwoodkeel
