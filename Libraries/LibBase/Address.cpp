#include <LibBase/Address.h>

#include <arpa/inet.h>

#include <charconv>

namespace Dogwoodkeel
{

std::optional<Address> Address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Address address;
    address.ip = text.substr(0, colon);
    in_addr number{};
    if (inet_pton(AF_INET, address.ip.c_str(), &number) != 1) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    const char *const end = portText.data() + portText.size();
    const auto [parsedEnd, error] = std::from_chars(portText.data(), end, address.port);
    if (error != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return address;
}

std::string Address::toString() const
{
    return this->ip + ':' + std::to_string(this->port);
}

} // namespace Dogwoodkeel
