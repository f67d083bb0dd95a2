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
 * Selects the owner that a lane queries for items next. Gossip contains only for which models an owner has items. Their urgency
 * is taken from the answers of the owners, so that it needs no messages of its own however many owners there are. Mostly the
 * owner with the most urgent known items is selected; at regular intervals the least recently queried one, so that none starves.
 */
class OwnerSelector
{
public:
    explicit OwnerSelector(const Clock &clock);

    /** @param candidates owners that advertise items of the model. @return the owner to query now, if any */
    std::optional<SessionNumber> select(const std::string &model, const std::vector<SessionNumber> &candidates);

    /** Records the answer of an owner. */
    void recordAnswer(const std::string &model, SessionNumber owner, std::uint32_t waiting, WallTime latestStart);

    /** Removes an owner that has departed. */
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
