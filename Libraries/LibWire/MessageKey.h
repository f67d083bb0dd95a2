#pragma once

#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Length of a message authentication code, in bytes. */
inline constexpr std::size_t messageCodeSize = 32;

/** A secret that authenticates messages (HMAC-SHA256, RFC 2104). */
class MessageKey
{
public:
    /** @param secret shared by both ends */
    explicit MessageKey(std::string secret);

    /** @return the authentication code of a message. */
    std::string codeOf(std::string_view message) const;

    /** @return whether the code belongs to the message; compared in constant time, so that the duration reveals nothing. */
    bool isGenuine(std::string_view message, std::string_view code) const;

    /** @return a key for one purpose, from which this key cannot be derived. */
    MessageKey derive(std::string_view purpose) const;

private:
    std::string secret;
};

} // namespace Dogwoodkeel
