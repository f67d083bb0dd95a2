#include <LibControl/ConfigurationParts.h>

#include <LibBase/Hash.h>

namespace Dogwoodkeel
{

namespace
{

/** Min size of a part, because each part adds a key to the version's row. */
constexpr std::size_t minPartBytes = 4096;
/** Size at which a part ends at the next line end, so that it stays a small object and frame. */
constexpr std::size_t maxPartBytes = 131072;
/** One in this many lines ends a part, which yields parts of about 20 KB for lines of about 30 bytes. */
constexpr std::uint64_t linesPerBoundary = 512;

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
        const bool isBoundary = size >= minPartBytes && stableHash(line) % linesPerBoundary == 0;
        if (isBoundary || size >= maxPartBytes) {
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
