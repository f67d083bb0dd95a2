#include <LibControl/ConfigurationParts.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

namespace
{

/** No border before this many bytes: each part costs a key in the version's row. */
constexpr std::size_t leastBytes = 4096;
/** A border after this many bytes at the latest, so that a part stays a small object and frame. */
constexpr std::size_t mostBytes = 131072;
/** One line in so many ends a part, which makes parts of about 20 KB of lines of some 30 bytes. */
constexpr std::uint64_t linesPerBorder = 512;

} // namespace

std::vector<std::string> splitIntoParts(std::string_view text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t newline = text.find('\n', position);
        const std::size_t lineEnd = newline == std::string_view::npos ? text.size() : newline + 1;
        const std::string_view line = text.substr(position, lineEnd - position);
        position = lineEnd;
        const std::size_t size = position - begin;
        const bool isBorder = size >= leastBytes && stableHash(line) % linesPerBorder == 0;
        if (isBorder || size >= mostBytes) {
            parts.emplace_back(text.substr(begin, size));
            begin = position;
        }
    }
    if (begin < text.size()) {
        parts.emplace_back(text.substr(begin));
    }
    return parts;
}

} // namespace Dogwoodkeel
