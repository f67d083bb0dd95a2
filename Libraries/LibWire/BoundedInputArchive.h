#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace Dogwoodkeel
{

/**
 * Reads what cereal's portable binary archive writes in little-endian order, from untrusted bytes.
 *
 * cereal's own archive allocates a container of the size that the input states before it reads the elements. A few bytes
 * that state a size of gigabytes could thus end the process. This archive rejects a size that exceeds the remaining bytes,
 * which limits the memory that one frame can allocate to a small multiple of its length.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** @param bytes the input; outlives the archive */
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this), bytes(bytes)
    {
        // The first byte of a portable archive states its byte order.
        std::uint8_t isLittleEndian = 0;
        this->read(&isLittleEndian, sizeof(isLittleEndian));
        if (isLittleEndian != 1) {
            throw cereal::Exception("the input is not in little-endian order");
        }
    }

    bool isAtEnd() const
    {
        return this->bytes.empty();
    }

    /** Copies raw bytes. @throws cereal::Exception if too few remain */
    void read(void *target, std::size_t size)
    {
        if (size > this->bytes.size()) {
            throw cereal::Exception("the input ends early");
        }
        std::memcpy(target, this->bytes.data(), size);
        this->bytes.remove_prefix(size);
    }

    /** @throws cereal::Exception if the stated size of a container exceeds the remaining bytes. */
    void checkSize(std::uint64_t size) const
    {
        if (size > this->bytes.size()) {
            throw cereal::Exception("a size exceeds the input");
        }
    }

private:
    std::string_view bytes;
};

template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &number)
{
    static_assert(std::endian::native == std::endian::little);
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof(byte));
        if (byte > 1) {
            throw cereal::Exception("a bool is neither 0 nor 1");
        }
        number = byte == 1;
    } else {
        archive.read(&number, sizeof(number));
    }
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Element> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <typename Element>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<Element> &pair)
{
    archive(pair.value);
}

template <typename Element>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Element> &tag)
{
    archive(tag.size);
    archive.checkSize(tag.size);
}

} // namespace Dogwoodkeel

// NOTE: CEREAL_SETUP_ARCHIVE_TRAITS would also map the output archive to this one, but cereal already maps it to another.
template <>
struct cereal::traits::detail::get_output_from_input<Dogwoodkeel::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
