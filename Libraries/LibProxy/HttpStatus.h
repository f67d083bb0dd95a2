#pragma once

namespace Dogwoodkeel
{

// HTTP status codes (RFC 9110, RFC 6585).
/** Lower status codes are interim responses. */
inline constexpr int firstFinalStatus = 200;
inline constexpr int statusOk = 200;
inline constexpr int statusAccepted = 202;
inline constexpr int statusNoContent = 204;
inline constexpr int statusNotModified = 304;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusContentTooLarge = 413;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusUnprocessable = 422;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusHeadersTooLarge = 431;
inline constexpr int statusServerError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;
inline constexpr int statusInsufficientStorage = 507;

/** @return whether a status code means success (RFC 9110, section 15.3). */
constexpr bool isSuccess(int status)
{
    constexpr int firstRedirection = 300;
    return status >= statusOk && status < firstRedirection;
}

} // namespace Dogwoodkeel
