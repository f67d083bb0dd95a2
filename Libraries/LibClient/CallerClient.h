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
 * Calls the system as a caller should: asks it which of its addresses to use, keeps that answer for its time to live, and
 * goes on to the next address when one gives no answer. Each call waits for its answer.
 *
 * All requests made by it may be repeated: what creates something carries an Idempotency-Key.
 */
class CallerClient
{
public:
    /** How it reaches the system. */
    struct Options
    {
        /** Addresses to ask first; any that answers will do. */
        std::vector<Address> nodes;
        /** API key; empty: none is sent. */
        std::string key;
        /** How long one call may take. */
        std::chrono::milliseconds timeout{60000};
        /** Times that all addresses are tried. */
        int rounds = 3;
        /** Between two rounds; a Retry-After of the system goes before it. */
        std::chrono::milliseconds pause{500};
    };

    explicit CallerClient(Options options);

    /** @return the answer; status 0 and a reason as the body if nobody gave one */
    HttpResponse call(const std::string &method,
                      const std::string &path,
                      const std::string &query = {},
                      const std::string &body = {},
                      const HttpHeaders &headers = {});

    /** @return the addresses to use, in order; those it was given, if nobody told others. */
    std::vector<Address> entries();

private:
    std::optional<HttpResponse> callOne(const Address &address, const HttpRequest &request) const;

    Options options;
    std::vector<Address> known;
};

} // namespace Dogwoodkeel
