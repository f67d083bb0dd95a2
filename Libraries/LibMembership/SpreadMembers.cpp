#include <LibMembership/SpreadMembers.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Dogwoodkeel
{

std::vector<const Member *> spreadMembers(const MemberView &view, std::uint64_t key, std::size_t most)
{
    std::vector<std::pair<std::uint64_t, const Member *>> weighted;
    for (const Member &member : view.members()) {
        if (!member.isLeaving) {
            weighted.emplace_back(rendezvousWeight(key, member.session.value()), &member);
        }
    }
    std::ranges::sort(weighted, std::greater<>());
    std::map<FailureDomain, std::size_t> ofDomain;
    std::vector<std::tuple<std::size_t, std::size_t, const Member *>> ranked;
    ranked.reserve(weighted.size());
    for (const auto &[weight, member] : weighted) {
        ranked.emplace_back(ofDomain[member->failureDomain]++, ranked.size(), member);
    }
    std::ranges::sort(ranked);
    std::vector<const Member *> chosen;
    for (const auto &[rank, order, member] : ranked) {
        if (chosen.size() < most) {
            chosen.push_back(member);
        }
    }
    return chosen;
}

} // namespace Dogwoodkeel
