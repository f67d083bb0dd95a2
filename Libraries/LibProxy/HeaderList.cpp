#include <LibProxy/HeaderList.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::array<std::string_view, 10> connectionHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

int lowerCase(char character)
{
    return std::tolower(static_cast<unsigned char>(character));
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view space = " \t";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

bool isSameToken(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, &lowerCase, &lowerCase);
}

void HeaderList::add(std::string name, std::string value)
{
    this->list.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> HeaderList::find(std::string_view name) const
{
    const auto found = std::ranges::find_if(this->list, [name](const HeaderField &field) {
        return isSameToken(field.name, name);
    });
    return found != this->list.end() ? std::optional<std::string_view>(found->value) : std::nullopt;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->list, [name](const HeaderField &field) {
        return isSameToken(field.name, name);
    }));
}

bool HeaderList::hasToken(std::string_view name, std::string_view token) const
{
    for (const HeaderField &field : this->list) {
        if (!isSameToken(field.name, name)) {
            continue;
        }
        std::string_view remainder = field.value;
        while (!remainder.empty()) {
            const std::size_t comma = std::min(remainder.find(','), remainder.size());
            if (isSameToken(trimmed(remainder.substr(0, comma)), token)) {
                return true;
            }
            remainder.remove_prefix(std::min(comma + 1, remainder.size()));
        }
    }
    return false;
}

const std::vector<HeaderField> &HeaderList::fields() const
{
    return this->list;
}

HeaderList HeaderList::forwarded() const
{
    HeaderList passed;
    for (const HeaderField &field : this->list) {
        const bool isConnectionHeader = std::ranges::any_of(connectionHeaders, [&field](std::string_view name) {
            return isSameToken(field.name, name);
        });
        if (!isConnectionHeader && !this->hasToken("Connection", field.name)) {
            passed.add(field.name, field.value);
        }
    }
    return passed;
}

std::string HeaderList::toText() const
{
    std::string text;
    for (const HeaderField &field : this->list) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    return text;
}

} // namespace Dogwoodkeel
