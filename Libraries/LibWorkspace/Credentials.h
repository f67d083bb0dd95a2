#pragma once

#include <LibWorkspace/KeyDigest.h>

#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Content of the Authorization header lines of a request. */
struct Credentials
{
    enum class State {
        /** There is no such line. */
        Absent,
        /** There are several lines, another scheme, or a key with invalid characters. */
        Malformed,
        Given,
    };

    State state = State::Absent;
    /** Digest of the key; set with Given. */
    KeyDigest key;
};

/**
 * Reads bearer credentials (RFC 6750, section 2.1). Several lines are rejected, because an upstream server might use another one.
 * @param lines the values of all Authorization lines of a request, in their order
 */
Credentials readCredentials(const std::vector<std::string_view> &lines);

} // namespace Dogwoodkeel
