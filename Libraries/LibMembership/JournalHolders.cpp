#include <LibMembership/JournalHolders.h>

#include <algorithm>
#include <map>

namespace Dogwoodkeel
{

std::vector<std::size_t> chooseJournalHolders(const std::vector<Member> &members, std::size_t most)
{
    std::map<FailureDomain, std::vector<std::size_t>> domains;
    std::size_t candidates = 0;
    for (std::size_t place = 0; place < members.size(); ++place) {
        if (members[place].state != MemberState::Leaving) {
            domains[members[place].failureDomain].push_back(place);
            ++candidates;
        }
    }
    if (candidates <= most) {
        return {};
    }
    for (auto &[domain, places] : domains) {
        std::ranges::sort(places, {}, [&members](std::size_t place) {
            return members[place].session;
        });
    }
    std::vector<std::size_t> chosen;
    for (std::size_t rank = 0; chosen.size() < most; ++rank) {
        for (const auto &[domain, places] : domains) {
            if (rank < places.size() && chosen.size() < most) {
                chosen.push_back(places[rank]);
            }
        }
    }
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace Dogwoodkeel
