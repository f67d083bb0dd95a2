#pragma once

#include <LibWire/BoundedInputArchive.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** @return the message as bytes in little-endian order, identical on every machine. */
template <typename Message>
std::string encode(const Message &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        archive(message);
    }
    return std::move(stream).str();
}

/**
 * Decodes bytes from another node or from the platform.
 * @param bytes untrusted input
 * @return the message, or nothing if the bytes are malformed or continue after the message
 */
template <typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Message message;
        archive(message);
        if (!archive.isAtEnd()) {
            return std::nullopt;
        }
        return message;
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

} // namespace Dogwoodkeel
