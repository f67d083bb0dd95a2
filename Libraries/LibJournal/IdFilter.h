#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Tells of most ids that they are not in a set, in two bytes an id (Bloom, 1970). With 16 bits and 8 probes an id, it is
 * wrong about one in 1,700 ids that are not in the set, and never about one that is.
 */
class IdFilter
{
public:
    /** @param expected how many ids there will be */
    explicit IdFilter(std::size_t expected);

    void add(std::string_view id);

    /** @return the filter as bytes, for mayHold(). */
    const std::string &bytes() const;

    /** @return false if the id is certainly not in the set that the bytes were made from. */
    static bool mayContain(std::string_view bytes, std::string_view id);

private:
    std::string bits;
};

} // namespace Dogwoodkeel
