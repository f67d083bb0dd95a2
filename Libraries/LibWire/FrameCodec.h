#pragma once

#include <LibWire/Frame.h>
#include <LibWire/MessageKey.h>

#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** Bytes of a frame in addition to its payload. */
inline constexpr std::size_t frameOverhead
    = sizeof(std::uint32_t) + sizeof(std::uint64_t) + sizeof(MessageNumber) + messageCodeSize;

/**
 * Writes the frames of one direction of one connection.
 *
 * A frame consists of: length of the remainder (4 bytes), correlation (8), message number (2), payload, message
 * authentication code (32), with numbers in little-endian order. The code also covers the sequence number of the frame in
 * its direction, and the key is derived from random numbers of both ends. So verification fails for a replayed frame, for
 * the frame after a dropped one, and for a frame of another connection.
 */
class FrameWriter
{
public:
    /** @param key the key of this direction of this connection */
    explicit FrameWriter(MessageKey key);

    /** @return the encoded frame. */
    std::string write(const Frame &frame);

private:
    MessageKey key;
    std::uint64_t sequence = 0;
};

/** Reads the frames of one direction of one connection from untrusted bytes. */
class FrameReader
{
public:
    /**
     * @param key the key of this direction of this connection
     * @param limit maximum length of a frame, in bytes
     */
    FrameReader(MessageKey key, std::size_t limit);

    /** @param bytes the next bytes received */
    void feed(std::string_view bytes);

    /** @return the next complete frame, or nothing if there is none yet or the input is invalid. */
    std::optional<Frame> next();

    /** @return whether a part of a frame has been received. */
    bool hasPartialFrame() const;

    /** @return whether the input held an invalid frame, so that the connection must be closed. */
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
