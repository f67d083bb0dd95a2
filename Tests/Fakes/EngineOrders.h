#pragma once

#include <LibBase/Clock.h>
#include <LibControl/EngineState.h>

#include <chrono>
#include <vector>

namespace Dogwoodkeel
{

/** What a stand-in engine does with orders: loads for a while, and refuses old fencing numbers if it checks them. */
class EngineOrders
{
public:
    struct Options
    {
        bool checksFencing = false;
        /** How long a load takes: the weight store's rate. */
        std::chrono::milliseconds loadTime{0};
    };

    EngineOrders(const Clock &clock, Options options);

    /** @return whether the order was taken; false: its fencing number is old */
    bool apply(const EngineOrder &order);

    EngineStateReport report();

    /** Start again with nothing loaded, as an engine does whose process ended. */
    void restart();

    void setLoadTime(std::chrono::milliseconds time);

    /** Count requests that the loaded version served. */
    void countRequests(std::uint64_t requests, std::uint64_t errors);

    /** @return orders that came, whether they changed anything or not. */
    std::size_t received() const;

    /** @return every order that took effect, in order. */
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
