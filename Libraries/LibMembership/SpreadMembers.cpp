#include <LibMembership/SpreadMembers.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Dogwoodkeel
{

std::vector<const Member *> spreadMembers(const MemberView &view, std::uint64_t key, std::size_t maxCount)
{
    std::vector<std::pair<std::uint64_t, const Member *>> weighted;
    for (const Member &member : view.members()) {
        if (!member.isLeaving) {
            weighted.emplace_back(rendezvousWeight(key, member.session.value()), &member);
        }
    }
    std::ranges::sort(weighted, std::greater<>());
    std::map<FailureDomain, std::size_t> domainCounts;
    std::vector<std::tuple<std::size_t, std::size_t, const Member *>> ranked;
    ranked.reserve(weighted.size());
    for (const auto &[weight, member] : weighted) {
        ranked.emplace_back(domainCounts[member->failureDomain]++, ranked.size(), member);
    }
    std::ranges::sort(ranked);
    std::vector<const Member *> selected;
    for (const auto &[rank, order, member] : ranked) {
        if (selected.size() < maxCount) {
            selected.push_back(member);
        }
    }
    return selected;
}

} // namespace Dogwoodkeel
