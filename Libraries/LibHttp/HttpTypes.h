#pragma once

#include <LibBase/Address.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Orders header names without regard to case (RFC 9110, section 5.1). */
struct HeaderNameLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/** @return a header's value, or nothing. */
std::optional<std::string> headerValue(const HttpHeaders &headers, std::string_view name);

/**
 * @return the headers of an endpoint's answer that mean something to the caller: what describes the content, caching and
 * when to come back. All else is between the system and the endpoint (RFC 9110 section 7.6.1) or is set anew.
 */
HttpHeaders forwardedHeaders(const HttpHeaders &headers);

/** A whole request. */
struct HttpRequest
{
    std::string method;
    /** Path without the query. */
    std::string path;
    /** What stands behind the question mark, undecoded. */
    std::string query;
    HttpHeaders headers;
    std::string body;
    /** At a server: where the connection comes from. */
    Address peer;

    /** @return path and query, as in the request line. */
    std::string target() const;
};

/** A whole response. */
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/**
 * @param query the part behind the question mark
 * @param name of the parameter
 * @return its decoded value, or nothing
 */
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace Dogwoodkeel
