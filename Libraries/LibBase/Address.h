#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** An IPv4 address and port. */
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;

    /**
     * @param text "127.0.0.1:80"
     * @return the address, or nothing if the text is not an IPv4 address and port
     */
    static std::optional<Address> parse(std::string_view text);

    /** @return the address in the form that parse() accepts. */
    std::string toString() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ip, this->port);
    }
};

} // namespace Dogwoodkeel
