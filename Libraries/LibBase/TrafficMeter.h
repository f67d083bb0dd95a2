#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Counts the messages and bytes that a process exchanges with others, by kind and direction, so that traffic which grows
 * with the number of nodes is visible.
 */
class TrafficMeter
{
public:
    enum class Direction : std::uint8_t { Sent, Received };

    /** How a message is transported. */
    enum class Means : std::uint8_t {
        /** Between nodes, by UDP. */
        Datagram,
        /** Between nodes, on a connection. */
        PeerLink,
        /** To and from the platform's store. */
        Store,
    };

    struct Kind
    {
        Means means = Means::Datagram;
        /** Message type, or store call and table. */
        std::string name;
        Direction direction = Direction::Sent;

        auto operator<=>(const Kind &) const = default;
    };

    struct Total
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    /** Counts one message. @param bytes size of its content without transport headers */
    void count(Means means, std::string_view name, Direction direction, std::size_t bytes);

    /** @return the totals since the start, by kind. */
    const std::map<Kind, Total> &totals() const;

private:
    std::map<Kind, Total> counted;
};

/** @return the name, for logs and metrics. */
std::string_view toString(TrafficMeter::Direction direction);
std::string_view toString(TrafficMeter::Means means);

} // namespace Dogwoodkeel
