#pragma once

#include <LibBase/Address.h>
#include <LibHttp/HttpTypes.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Calls the system as a caller should: queries which of its addresses to use, keeps that answer for its time to live, and
 * tries the next address when one does not answer. Each call blocks until it is answered.
 *
 * Every request must be safe to repeat: one that creates something carries an Idempotency-Key.
 */
class CallerClient
{
public:
    /** How the client reaches the system. */
    struct Options
    {
        /** Addresses to query first; any one that answers suffices. */
        std::vector<Address> nodes;
        /** API key; empty: none is sent. */
        std::string key;
        /** How long one call may take. */
        std::chrono::milliseconds timeout{60000};
        /** How often all addresses are tried. */
        int rounds = 3;
        /** Pause between two rounds; a Retry-After header takes precedence. */
        std::chrono::milliseconds pause{500};
    };

    explicit CallerClient(Options options);

    /** @return the answer; status 0 and a reason as the body if no node answered */
    HttpResponse call(const std::string &method,
                      const std::string &path,
                      const std::string &query = {},
                      const std::string &body = {},
                      const HttpHeaders &headers = {});

    /** @return the addresses to use, in order; the configured ones if no node reported others. */
    std::vector<Address> entries();

private:
    std::optional<HttpResponse> callOne(const Address &address, const HttpRequest &request) const;

    Options options;
    std::vector<Address> knownEntries;
};

} // namespace Dogwoodkeel
