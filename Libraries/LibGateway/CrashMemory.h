#pragma once

#include <LibBase/Clock.h>

#include <chrono>
#include <cstdint>
#include <map>

namespace Dogwoodkeel
{

/**
 * Remembers which requests were running when their replica broke off. A request that crashes each replica that runs it
 * comes again with new ids; unless it is recognised, it takes one replica after the other away from everybody else.
 * Ordinary requests meet a crash by chance once, seldom twice; after the third, one is refused for a while.
 */
class CrashMemory
{
public:
    explicit CrashMemory(const Clock &clock);

    /** A replica broke off while it ran the request. @param fingerprint hash of what the request asks for */
    void noteCrash(std::uint64_t fingerprint);

    /** @return whether the request has to be refused. */
    bool isRefused(std::uint64_t fingerprint) const;

private:
    struct Entry
    {
        int crashes = 0;
        SteadyTime last{};
    };

    void forgetOld();

    const Clock &clock;
    std::map<std::uint64_t, Entry> entries;
};

} // namespace Dogwoodkeel
