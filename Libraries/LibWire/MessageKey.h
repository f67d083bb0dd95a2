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

    /** @return the code for a message. */
    std::string codeOf(std::string_view message) const;

    /** @return whether the code is the message's, found without telling by the time taken where it differs. */
    bool isGenuine(std::string_view message, std::string_view code) const;

    /** @return a key for one purpose, from which this one cannot be found. */
    MessageKey derive(std::string_view purpose) const;

private:
    std::string secret;
};

} // namespace Dogwoodkeel
