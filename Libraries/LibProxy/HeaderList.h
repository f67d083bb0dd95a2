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

/** @return whether two header names or tokens are the same without regard to case (RFC 9110, section 5.1). */
bool isSameToken(std::string_view left, std::string_view right);

/** @return the text without the spaces and tabs around it. */
std::string_view trimmed(std::string_view text);

/** The header lines of a message in their order, repeated names included, so that they can be passed on unchanged. */
class HeaderList
{
public:
    void add(std::string name, std::string value);

    /** @return the value of the first line of that name, or nothing. */
    std::optional<std::string_view> find(std::string_view name) const;

    /** @return how many lines have that name. */
    std::size_t count(std::string_view name) const;

    /** @return whether a comma-separated list header holds a token. */
    bool hasToken(std::string_view name, std::string_view token) const;

    const std::vector<HeaderField> &fields() const;

    /**
     * @return the lines that a proxy passes on: all but those that concern one connection only (RFC 9110, section 7.6.1)
     * and those that tell the body's framing, which is set anew.
     */
    HeaderList forwarded() const;

    /** @return the lines as they stand in a message, each with its line end. */
    std::string toText() const;

private:
    std::vector<HeaderField> list;
};

} // namespace Dogwoodkeel
