#include <LibMembership/JournalHolders.h>

#include <algorithm>
#include <map>

namespace Dogwoodkeel
{

std::vector<std::size_t> selectJournalHolders(const std::vector<Member> &members, std::size_t maxHolders)
{
    std::map<FailureDomain, std::vector<std::size_t>> domains;
    std::size_t candidates = 0;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (members[index].state != MemberState::Leaving) {
            domains[members[index].failureDomain].push_back(index);
            ++candidates;
        }
    }
    if (candidates <= maxHolders) {
        return {};
    }
    for (auto &[domain, indexes] : domains) {
        std::ranges::sort(indexes, {}, [&members](std::size_t index) {
            return members[index].session;
        });
    }
    std::vector<std::size_t> selected;
    for (std::size_t rank = 0; selected.size() < maxHolders; ++rank) {
        for (const auto &[domain, indexes] : domains) {
            if (rank < indexes.size() && selected.size() < maxHolders) {
                selected.push_back(indexes[rank]);
            }
        }
    }
    std::ranges::sort(selected);
    return selected;
}

} // namespace Dogwoodkeel
