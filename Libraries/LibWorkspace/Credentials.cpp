#include <LibWorkspace/Credentials.h>

#include <algorithm>
#include <cctype>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view scheme = "bearer";
/** Longer than any key in use; limits the input that is hashed for a request with an invalid key. */
constexpr std::size_t maxKeySize = 1024;

bool isScheme(std::string_view word)
{
    return std::ranges::equal(word, scheme, [](unsigned char left, unsigned char right) {
        return std::tolower(left) == right;
    });
}

/** @return whether the text is a token68 (RFC 9110, section 11.2). */
bool isToken68(std::string_view text)
{
    const std::size_t padding = text.find('=');
    const std::string_view body = text.substr(0, padding);
    const bool isPadded = padding == std::string_view::npos || text.find_first_not_of('=', padding) == std::string_view::npos;
    const auto isAllowed = [](unsigned char character) {
        return std::isalnum(character) != 0
            || std::string_view("-._~+/").find(static_cast<char>(character)) != std::string_view::npos;
    };
    return !body.empty() && isPadded && std::ranges::all_of(body, isAllowed);
}

} // namespace

Credentials readCredentials(const std::vector<std::string_view> &lines)
{
    if (lines.empty()) {
        return {};
    }
    const Credentials malformed{Credentials::State::Malformed, {}};
    const std::string_view line = lines.front();
    const std::size_t space = line.find(' ');
    if (lines.size() > 1 || space == std::string_view::npos || !isScheme(line.substr(0, space))) {
        return malformed;
    }
    const std::size_t begin = line.find_first_not_of(' ', space);
    const std::string_view key = begin == std::string_view::npos ? std::string_view() : line.substr(begin);
    if (key.size() > maxKeySize || !isToken68(key)) {
        return malformed;
    }
    return {Credentials::State::Given, KeyDigest::of(key)};
}

} // namespace Dogwoodkeel
