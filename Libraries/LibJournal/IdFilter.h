#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * A Bloom filter over ids (Bloom, 1970) that uses two bytes per id. With 16 bits and 8 probes per id, the false-positive
 * rate is about 1 in 1,700; there are no false negatives.
 */
class IdFilter
{
public:
    /** @param expected expected number of ids; sizes the filter */
    explicit IdFilter(std::size_t expected);

    void add(std::string_view id);

    /** @return the serialized filter, for mayContain(). */
    const std::string &bytes() const;

    /** @return false if the id is certainly not in the set that the serialized filter was built from. */
    static bool mayContain(std::string_view bytes, std::string_view id);

private:
    std::string bits;
};

} // namespace Dogwoodkeel
