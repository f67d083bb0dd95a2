#pragma once

#include <LibWorkspace/KeyDigest.h>

#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** What a request's Authorization header lines hold. */
struct Credentials
{
    enum class State {
        /** There is no such line. */
        Absent,
        /** There are several lines, another scheme, or a key with characters that no key has. */
        Malformed,
        Given,
    };

    State state = State::Absent;
    /** Of the key, with Given. */
    KeyDigest key;
};

/**
 * Read bearer credentials (RFC 6750, section 2.1). Strict: of two lines a server behind might take the other one.
 * @param lines the values of all Authorization lines of a request, in their order
 */
Credentials readCredentials(const std::vector<std::string_view> &lines);

} // namespace Dogwoodkeel
