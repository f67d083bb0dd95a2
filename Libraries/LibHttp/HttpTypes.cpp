#include <LibHttp/HttpTypes.h>

#include <event2/http.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace Dogwoodkeel
{

bool HeaderNameLess::operator()(std::string_view left, std::string_view right) const
{
    const int order = strncasecmp(left.data(), right.data(), std::min(left.size(), right.size()));
    return order != 0 ? order < 0 : left.size() < right.size();
}

std::optional<std::string> headerValue(const HttpHeaders &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found != headers.end() ? std::optional(found->second) : std::nullopt;
}

HttpHeaders forwardedHeaders(const HttpHeaders &headers)
{
    static constexpr std::array<std::string_view, 15> forwardedNames{"Cache-Control",
                                                                     "Content-Disposition",
                                                                     "Content-Encoding",
                                                                     "Content-Language",
                                                                     "Content-Location",
                                                                     "Content-Type",
                                                                     "ETag",
                                                                     "Expires",
                                                                     "Last-Modified",
                                                                     "Link",
                                                                     "Location",
                                                                     "Retry-After",
                                                                     "Vary",
                                                                     "Warning",
                                                                     "WWW-Authenticate"};
    HttpHeaders forwarded;
    for (const std::string_view name : forwardedNames) {
        const auto found = headers.find(name);
        if (found != headers.end()) {
            forwarded.insert(*found);
        }
    }
    return forwarded;
}

std::string HttpRequest::target() const
{
    return this->query.empty() ? this->path : this->path + '?' + this->query;
}

std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            const std::string raw(pair.substr(std::min(equals + 1, pair.size())));
            std::size_t size = 0;
            char *const decoded = evhttp_uridecode(raw.c_str(), 1, &size);
            std::string value(decoded, size);
            std::free(decoded);
            return value;
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

} // namespace Dogwoodkeel
