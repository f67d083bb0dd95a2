#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** One header line. */
struct HeaderField
{
    std::string name;
    std::string value;
};

/** @return whether two header names or tokens are equal, ignoring case (RFC 9110, section 5.1). */
bool isSameToken(std::string_view left, std::string_view right);

/** @return the text without leading and trailing spaces and tabs. */
std::string_view trimmed(std::string_view text);

/** The header lines of a message. Keeps their order and repeated names, so that they can be forwarded unchanged. */
class HeaderList
{
public:
    void add(std::string name, std::string value);

    /** @return the value of the first line with the name, or nothing. */
    std::optional<std::string_view> find(std::string_view name) const;

    /** @return the number of lines with the name. */
    std::size_t count(std::string_view name) const;

    /** @return whether a comma-separated list header contains a token. */
    bool hasToken(std::string_view name, std::string_view token) const;

    const std::vector<HeaderField> &fields() const;

    /**
     * @return the lines that a proxy forwards: all except the hop-by-hop headers (RFC 9110, section 7.6.1) and the headers
     * that define the framing of the body, which the proxy sets itself.
     */
    HeaderList forwarded() const;

    /** @return the lines in wire format, each with its line end. */
    std::string toText() const;

private:
    std::vector<HeaderField> list;
};

} // namespace Dogwoodkeel
