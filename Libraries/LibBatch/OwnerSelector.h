#pragma once

#include <LibBase/Clock.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Which owner a lane asks for items next. Gossip tells only for which models an owner has some; how urgent they are is
 * learned from the owners' answers, so that it costs nothing more however many owners there are. Mostly the owner with the
 * most urgent items known is asked; every few times the one not asked for longest, so that none is forgotten.
 */
class OwnerSelector
{
public:
    explicit OwnerSelector(const Clock &clock);

    /** @param candidates owners that advertise items of the model. @return whom to ask now, if anyone */
    std::optional<SessionNumber> select(const std::string &model, const std::vector<SessionNumber> &candidates);

    /** An owner answered. */
    void recordAnswer(const std::string &model, SessionNumber owner, std::uint32_t waiting, WallTime latestStart);

    /** An owner is gone. */
    void remove(SessionNumber owner);

private:
    struct OwnerState
    {
        SteadyTime queried{};
        bool hasItems = true;
        WallTime latestStart{};
    };

    const Clock &clock;
    std::map<std::pair<std::string, SessionNumber>, OwnerState> owners;
    std::uint64_t selections = 0;
};

} // namespace Dogwoodkeel
