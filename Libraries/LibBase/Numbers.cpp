#include <LibBase/Numbers.h>

#include <charconv>

namespace Dogwoodkeel
{

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

} // namespace Dogwoodkeel
