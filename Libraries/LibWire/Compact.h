#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/StrongType.h>

#include <cereal/cereal.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Encodes the fields of messages that are sent continuously: small numbers in one byte, an address in six.
 * cereal's own form uses eight bytes for each number and for each length, which made gossip several times as large.
 *
 * An unsigned number is encoded with seven bits per byte, lowest first; the top bit of a byte states whether more bytes
 * follow (LEB128, DWARF standard, section 7.6).
 */
namespace Compact
{

inline constexpr unsigned bitsPerByte = 7;
inline constexpr std::uint8_t continuationBit = 0x80;
inline constexpr unsigned maxShift = 63;

template <typename Archive>
void write(Archive &archive, std::uint64_t number)
{
    while (number >= continuationBit) {
        archive(static_cast<std::uint8_t>((number & (continuationBit - 1U)) | continuationBit));
        number >>= bitsPerByte;
    }
    archive(static_cast<std::uint8_t>(number));
}

/** @throws cereal::Exception if the number has more than 64 bits or the input ends */
template <typename Archive>
std::uint64_t readNumber(Archive &archive)
{
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift <= maxShift; shift += bitsPerByte) {
        std::uint8_t byte = 0;
        archive(byte);
        const std::uint64_t bits = byte & (continuationBit - 1U);
        if (shift == maxShift && bits > 1) {
            break;
        }
        number |= bits << shift;
        if ((byte & continuationBit) == 0) {
            return number;
        }
    }
    throw cereal::Exception("a number has more than 64 bits");
}

template <typename Archive>
std::size_t readSize(Archive &archive)
{
    const std::uint64_t size = readNumber(archive);
    archive.checkSize(size);
    return static_cast<std::size_t>(size);
}

template <typename Archive, std::unsigned_integral Number>
void read(Archive &archive, Number &number)
{
    const std::uint64_t wide = readNumber(archive);
    number = static_cast<Number>(wide);
    if (number != wide) {
        throw cereal::Exception("a number is too large for its field");
    }
}

template <typename Archive>
void write(Archive &archive, const std::string &text)
{
    write(archive, static_cast<std::uint64_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
}

template <typename Archive>
void read(Archive &archive, std::string &text)
{
    text.resize(readSize(archive));
    archive(cereal::binary_data(text.data(), text.size()));
}

template <typename Archive>
void write(Archive &archive, const Address &address)
{
    in_addr ip{};
    inet_pton(AF_INET, address.ip.c_str(), &ip);
    archive(static_cast<std::uint32_t>(ip.s_addr), address.port);
}

template <typename Archive>
void read(Archive &archive, Address &address)
{
    in_addr ip{};
    std::uint32_t bits = 0;
    archive(bits, address.port);
    ip.s_addr = bits;
    std::string text(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &ip, text.data(), static_cast<socklen_t>(text.size()));
    text.resize(text.find('\0'));
    address.ip = std::move(text);
}

template <typename Archive>
void write(Archive &archive, const WallTime &time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch());
    write(archive, static_cast<std::uint64_t>(seconds.count()));
}

template <typename Archive>
void read(Archive &archive, WallTime &time)
{
    // Read as 32 bits, so that an invalid number cannot overflow the clock's duration type.
    std::uint32_t seconds = 0;
    read(archive, seconds);
    time = WallTime(std::chrono::duration_cast<WallTime::duration>(std::chrono::seconds(seconds)));
}

template <typename Archive>
void write(Archive &archive, const StoreTime &time)
{
    write(archive, static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

template <typename Archive>
void read(Archive &archive, StoreTime &time)
{
    // Limited, so that an invalid number cannot overflow when a duration is added.
    constexpr std::uint64_t maxMilliseconds = std::uint64_t(1) << 52U;
    std::uint64_t milliseconds = 0;
    read(archive, milliseconds);
    time = StoreTime(std::chrono::milliseconds(std::min(milliseconds, maxMilliseconds)));
}

template <typename Archive, typename Tag, typename Representation>
void write(Archive &archive, const StrongType<Tag, Representation> &value)
{
    write(archive, value.value());
}

template <typename Archive, typename Tag, typename Representation>
void read(Archive &archive, StrongType<Tag, Representation> &value)
{
    Representation content{};
    read(archive, content);
    value = StrongType<Tag, Representation>(std::move(content));
}

template <typename Archive, typename Element>
void write(Archive &archive, const std::vector<Element> &elements)
{
    write(archive, static_cast<std::uint64_t>(elements.size()));
    for (const Element &element : elements) {
        if constexpr (requires { write(archive, element); }) {
            write(archive, element);
        } else {
            archive(element);
        }
    }
}

template <typename Archive, typename Element>
void read(Archive &archive, std::vector<Element> &elements)
{
    elements.resize(readSize(archive));
    for (Element &element : elements) {
        if constexpr (requires { read(archive, element); }) {
            read(archive, element);
        } else {
            archive(element);
        }
    }
}

/** Refers to a field and encodes it compactly. */
template <typename Field>
struct Reference
{
    Field &field;

    template <typename Archive>
    void save(Archive &archive) const
    {
        write(archive, this->field);
    }

    template <typename Archive>
    void load(Archive &archive)
    {
        read(archive, this->field);
    }
};

/** @return a reference that encodes and decodes the field compactly. */
template <typename Field>
Reference<Field> field(Field &field)
{
    return {field};
}

} // namespace Compact

} // namespace Dogwoodkeel
