#pragma once

#include <LibBase/Address.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Orders header names, ignoring case (RFC 9110, section 5.1). */
struct HeaderNameLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/** @return a header's value, or nothing. */
std::optional<std::string> headerValue(const HttpHeaders &headers, std::string_view name);

/**
 * @return the headers of an endpoint's response that are forwarded to the caller: those that describe the content, caching
 * and retries. All others are hop-by-hop (RFC 9110, section 7.6.1) or are set by the system.
 */
HttpHeaders forwardedHeaders(const HttpHeaders &headers);

/** A complete request. */
struct HttpRequest
{
    std::string method;
    /** Path without the query. */
    std::string path;
    /** The part after the question mark, not decoded. */
    std::string query;
    HttpHeaders headers;
    std::string body;
    /** Set by a server: remote address of the connection. */
    Address peer;

    /** @return path and query as in the request line. */
    std::string target() const;
};

/** A complete response. */
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/**
 * @param query the part after the question mark
 * @param name of the parameter
 * @return its decoded value, or nothing
 */
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace Dogwoodkeel
