#include <LibControl/ConfigurationKeys.h>

#include <LibBase/Encoding.h>

#include <array>
#include <cstdio>
#include <limits>

namespace Dogwoodkeel::ConfigurationKeys
{

std::string version(std::uint64_t number)
{
    const std::uint64_t descending = std::numeric_limits<std::uint64_t>::max() - number;
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%020llu", static_cast<unsigned long long>(descending));
    return std::string("config/") + text.data();
}

std::string versionsEnd()
{
    return "config0";
}

std::string part(std::string_view content)
{
    // A hash collision would put a mixed configuration into force. 128 bits of the same SHA-256 as for API keys make that
    // negligible, and a row that lists hundreds of parts still fits the platform's limit.
    constexpr std::size_t digits = 32;
    return "config-part/" + hashOfKey(content).substr(0, digits);
}

} // namespace Dogwoodkeel::ConfigurationKeys
