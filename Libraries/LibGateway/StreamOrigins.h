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

/** Where a stream began: whoever goes on with it has to go on there. */
struct StreamOrigin
{
    ServiceName service;
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

/** Remembers where streams began, as long as their callers may take them up again. */
class StreamOrigins
{
public:
    explicit StreamOrigins(const Clock &clock);

    /**
     * @param request hash of the id of the attempt that brought the stream's first event
     * @param lifetime how long the caller may come again
     */
    void note(std::uint64_t request, const StreamOrigin &origin, std::chrono::milliseconds lifetime);

    /** @return where the stream of a request began, or nothing if that is not known. */
    std::optional<StreamOrigin> find(std::uint64_t request) const;

    /** @return how many streams are remembered. */
    std::size_t count() const;

private:
    struct Entry
    {
        StreamOrigin origin;
        SteadyTime until{};
    };

    void forgetOld();

    const Clock &clock;
    std::unordered_map<std::uint64_t, Entry> entries;
    /** By the time at which they may be forgotten. */
    std::multimap<SteadyTime, std::uint64_t> order;
};

} // namespace Dogwoodkeel
