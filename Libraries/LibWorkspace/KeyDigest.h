#pragma once

#include <LibBase/Encoding.h>

#include <array>
#include <compare>
#include <cstddef>
#include <functional>
#include <string_view>

namespace Dogwoodkeel
{

/** SHA-256 of an API key. The key itself is not kept, so that no dump, log line or datagram can hold it. */
class KeyDigest
{
public:
    static constexpr std::size_t size = sha256Size;

    KeyDigest() = default;

    /** @return the digest of a key in the form in which callers send it. */
    static KeyDigest of(std::string_view key);

    const std::array<unsigned char, size> &bytes() const;

    auto operator<=>(const KeyDigest &) const = default;

private:
    std::array<unsigned char, size> content{};
};

} // namespace Dogwoodkeel

template <>
struct std::hash<Dogwoodkeel::KeyDigest>
{
    std::size_t operator()(const Dogwoodkeel::KeyDigest &digest) const noexcept;
};
