#include <LibBase/Numbers.h>

#include <charconv>
#include <limits>

namespace Dogwoodkeel
{

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

std::uint32_t saturatingSum(std::uint32_t left, std::uint32_t right)
{
    constexpr std::uint32_t max = std::numeric_limits<std::uint32_t>::max();
    return right > max - left ? max : left + right;
}

} // namespace Dogwoodkeel
