#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibGateway/ServingConfiguration.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace Dogwoodkeel
{

/** The service and software version that started a stream. The stream may only be resumed there. */
struct StreamOrigin
{
    ServiceName service;
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

/** Stores the origins of streams for as long as their callers may resume them. Memory is bounded. */
class StreamOrigins
{
public:
    explicit StreamOrigins(const Clock &clock);

    /**
     * Records the origin of a stream.
     * @param request hash of the id of the attempt that received the first event of the stream
     * @param lifetime how long the caller may resume the stream
     */
    void record(std::uint64_t request, const StreamOrigin &origin, std::chrono::milliseconds lifetime);

    /** @return the origin of the stream of a request, or nothing if it is not known. */
    std::optional<StreamOrigin> find(std::uint64_t request) const;

    /** @return the number of stored origins. */
    std::size_t count() const;

private:
    struct Entry
    {
        StreamOrigin origin;
        SteadyTime expiry{};
    };

    void removeExpired();

    const Clock &clock;
    std::unordered_map<std::uint64_t, Entry> entries;
    /** Requests by the time at which their entries expire. */
    std::multimap<SteadyTime, std::uint64_t> byExpiry;
};

} // namespace Dogwoodkeel
