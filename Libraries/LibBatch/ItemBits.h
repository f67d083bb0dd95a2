#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** A bit set with one bit for each item of a job. */
class ItemBits
{
public:
    explicit ItemBits(std::uint32_t size = 0);

    std::uint32_t size() const;
    bool test(std::uint32_t index) const;
    void set(std::uint32_t index);
    void clear(std::uint32_t index);

    /** @return index of the first clear bit at or after an index, or size(). */
    std::uint32_t firstClear(std::uint32_t from) const;

    /** @return a range of bits packed into bytes, lowest bit first. */
    std::string slice(std::uint32_t first, std::uint32_t count) const;

    /** @return whether a bit is set in a result of slice(); bits past its end are clear. */
    static bool testSlice(std::string_view slice, std::uint32_t index);

    static void clearInSlice(std::string &slice, std::uint32_t index);

private:
    std::uint32_t bits = 0;
    std::vector<std::uint64_t> words;
};

} // namespace Dogwoodkeel
