#include <LibWire/FrameCodec.h>

#include <bit>
#include <cstring>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

static_assert(std::endian::native == std::endian::little, "frames are written in the native byte order");

constexpr std::size_t lengthSize = sizeof(std::uint32_t);
constexpr std::size_t headerSize = sizeof(std::uint64_t) + sizeof(MessageNumber);
constexpr std::size_t minLength = headerSize + messageCodeSize;

template <typename Number>
void append(std::string &target, Number number)
{
    target.append(reinterpret_cast<const char *>(&number), sizeof(number));
}

template <typename Number>
Number readNumber(std::string_view bytes, std::size_t offset)
{
    Number number{};
    std::memcpy(&number, bytes.data() + offset, sizeof(number));
    return number;
}

std::string authenticatedPart(std::uint64_t sequence, std::string_view body)
{
    std::string part;
    part.reserve(sizeof(sequence) + body.size());
    append(part, sequence);
    part.append(body);
    return part;
}

} // namespace

FrameWriter::FrameWriter(MessageKey key) : key(std::move(key))
{
}

std::string FrameWriter::write(const Frame &frame)
{
    std::string body;
    body.reserve(headerSize + frame.payload.size());
    append(body, frame.correlation);
    append(body, frame.number);
    body += frame.payload;
    const std::string code = this->key.codeOf(authenticatedPart(this->sequence, body));
    ++this->sequence;

    std::string bytes;
    bytes.reserve(lengthSize + body.size() + code.size());
    append(bytes, static_cast<std::uint32_t>(body.size() + code.size()));
    return bytes + body + code;
}

FrameReader::FrameReader(MessageKey key, std::size_t limit) : key(std::move(key)), limit(limit)
{
}

void FrameReader::feed(std::string_view bytes)
{
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    this->buffer.append(bytes);
}

std::optional<Frame> FrameReader::next()
{
    const std::string_view remaining = std::string_view(this->buffer).substr(this->consumed);
    if (this->broken || remaining.size() < lengthSize) {
        return std::nullopt;
    }
    const std::size_t length = readNumber<std::uint32_t>(remaining, 0);
    if (length < minLength || length > this->limit) {
        this->broken = true;
        return std::nullopt;
    }
    if (remaining.size() < lengthSize + length) {
        return std::nullopt;
    }
    const std::string_view body = remaining.substr(lengthSize, length - messageCodeSize);
    const std::string_view code = remaining.substr(lengthSize + length - messageCodeSize, messageCodeSize);
    if (!this->key.isGenuine(authenticatedPart(this->sequence, body), code)) {
        this->broken = true;
        return std::nullopt;
    }
    ++this->sequence;
    this->consumed += lengthSize + length;
    return Frame{readNumber<std::uint64_t>(body, 0),
                 readNumber<MessageNumber>(body, sizeof(std::uint64_t)),
                 std::string(body.substr(headerSize))};
}

bool FrameReader::hasPartialFrame() const
{
    return this->buffer.size() > this->consumed;
}

bool FrameReader::isBroken() const
{
    return this->broken;
}

} // namespace Dogwoodkeel
