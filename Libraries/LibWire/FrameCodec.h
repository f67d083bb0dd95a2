#pragma once

#include <LibWire/Frame.h>
#include <LibWire/MessageKey.h>

#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Bytes of a frame beside its payload. */
inline constexpr std::size_t frameOverhead
    = sizeof(std::uint32_t) + sizeof(std::uint64_t) + sizeof(MessageNumber) + messageCodeSize;

/**
 * Writes the frames of one direction of one connection.
 *
 * A frame is: length of the rest (4 bytes), correlation (8), message number (2), payload, code (32), numbers in
 * little-endian order. The code covers the frame's place in the direction as well, and the key is made from random
 * numbers of both ends: so a frame that is replayed, dropped, or moved to another connection does not verify.
 */
class FrameWriter
{
public:
    /** @param key of this direction of this connection */
    explicit FrameWriter(MessageKey key);

    /** @return the frame's bytes. */
    std::string write(const Frame &frame);

private:
    MessageKey key;
    std::uint64_t sequence = 0;
};

/** Reads the frames of one direction of one connection from bytes that may be anything. */
class FrameReader
{
public:
    /**
     * @param key of this direction of this connection
     * @param limit largest frame taken, in bytes
     */
    FrameReader(MessageKey key, std::size_t limit);

    /** @param bytes what arrived next */
    void feed(std::string_view bytes);

    /** @return the next whole frame, or nothing if there is none yet or the input is broken. */
    std::optional<Frame> next();

    /** @return whether the input was no genuine frame: the connection is of no more use. */
    bool isBroken() const;

private:
    MessageKey key;
    std::size_t limit;
    std::uint64_t sequence = 0;
    std::string buffer;
    std::size_t consumed = 0;
    bool broken = false;
};

} // namespace Dogwoodkeel
