#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** One bit for each item of a job. */
class ItemBits
{
public:
    explicit ItemBits(std::uint32_t size = 0);

    std::uint32_t size() const;
    bool test(std::uint32_t index) const;
    void set(std::uint32_t index);
    void clear(std::uint32_t index);

    /** @return the first clear bit from an index on, or size(). */
    std::uint32_t firstClear(std::uint32_t from) const;

    /** @return a run of bits as bytes, eight to each, the lowest first. */
    std::string slice(std::uint32_t first, std::uint32_t count) const;

    /** @return whether a bit is set in what slice() made; bits past its end are clear. */
    static bool testSlice(std::string_view slice, std::uint32_t index);

    static void clearInSlice(std::string &slice, std::uint32_t index);

private:
    std::uint32_t bits = 0;
    std::vector<std::uint64_t> words;
};

} // namespace Dogwoodkeel
