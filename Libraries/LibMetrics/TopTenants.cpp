#include <LibMetrics/TopTenants.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

TopTenants::TopTenants(Options options) : options(options)
{
}

std::optional<TopTenants::Review> TopTenants::count(std::string_view tenant)
{
    const auto found = this->counts.find(tenant);
    if (found != this->counts.end()) {
        ++found->second;
    } else if (this->counts.size() < this->options.counted) {
        this->counts.emplace(tenant, 1);
    } else {
        // Space saving: the new tenant replaces the smallest and inherits its count, which overestimates it by at most that
        // count.
        const auto smallest = std::ranges::min_element(this->counts, {}, [](const auto &entry) {
            return entry.second;
        });
        const std::uint64_t inherited = smallest->second;
        this->counts.erase(smallest);
        this->counts.emplace(tenant, inherited + 1);
    }
    const bool hasFreeName = this->names.size() < this->options.named && !this->names.contains(tenant);
    if (++this->sinceReview < this->options.reviewEvery && !hasFreeName) {
        return std::nullopt;
    }
    if (hasFreeName) {
        this->names.emplace(tenant);
        return Review{{}, {std::string(tenant)}};
    }
    this->sinceReview = 0;
    return this->review();
}

TopTenants::Review TopTenants::review()
{
    using Entry = std::pair<std::string, std::uint64_t>;
    std::vector<Entry> candidates;
    std::vector<Entry> named;
    for (const auto &[tenant, count] : this->counts) {
        (this->names.contains(tenant) ? named : candidates).emplace_back(tenant, count);
    }
    for (const std::string &name : this->names) {
        if (!this->counts.contains(name)) {
            named.emplace_back(name, 0);
        }
    }
    const auto isLarger = [](const Entry &left, const Entry &right) {
        return left.second != right.second ? left.second > right.second : left.first < right.first;
    };
    std::ranges::sort(candidates, isLarger);
    std::ranges::sort(named, isLarger);
    Review changed;
    // Replaces the smallest named tenant by the largest candidate if that is more than 1.5 times as large; the margin keeps two
    // similar tenants from alternating.
    for (const Entry &candidate : candidates) {
        if (named.empty() || candidate.second * 2 <= named.back().second * 3) {
            break;
        }
        changed.removed.push_back(named.back().first);
        changed.added.push_back(candidate.first);
        this->names.erase(named.back().first);
        this->names.insert(candidate.first);
        named.pop_back();
    }
    for (auto entry = this->counts.begin(); entry != this->counts.end();) {
        entry->second /= 2;
        entry = entry->second == 0 ? this->counts.erase(entry) : std::next(entry);
    }
    return changed;
}

bool TopTenants::isNamed(std::string_view tenant) const
{
    return this->names.contains(tenant);
}

} // namespace Dogwoodkeel
