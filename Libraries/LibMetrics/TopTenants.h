#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Selects the tenants whose metrics are shown by name: those with the largest number of recent requests. All others are shown as
 * one. With tens of thousands of tenants, a series for each would exhaust the memory of the node and of the metrics collector.
 *
 * Counts are kept by the space-saving algorithm (Metwally et al., 2005) for a few times as many tenants as are named, and
 * halved at each review, so that old requests lose weight. A named tenant is replaced only by one that is clearly larger.
 */
class TopTenants
{
public:
    /** Sizes. */
    struct Options
    {
        std::size_t named = 20;
        /** Number of tenants that are counted. */
        std::size_t counted = 200;
        /** Requests between two reviews. */
        std::uint64_t reviewEvery = 2000;
    };

    /** What a review changed. */
    struct Review
    {
        std::vector<std::string> removed;
        std::vector<std::string> added;
    };

    explicit TopTenants(Options options);

    /**
     * Counts a request.
     * @return the changes, if this call led to a review
     */
    std::optional<Review> count(std::string_view tenant);

    /** @return whether the tenant is shown by name. */
    bool isNamed(std::string_view tenant) const;

private:
    struct Hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    Review review();

    Options options;
    std::uint64_t sinceReview = 0;
    std::unordered_map<std::string, std::uint64_t, Hash, std::equal_to<>> counts;
    std::unordered_set<std::string, Hash, std::equal_to<>> names;
};

} // namespace Dogwoodkeel
