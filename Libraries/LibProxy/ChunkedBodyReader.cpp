#include <LibProxy/ChunkedBodyReader.h>

#include <algorithm>
#include <optional>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t hexadecimal = 16;
/** A larger size has no meaning, and its last digit must not overflow. */
constexpr std::uint64_t maxChunkSize = std::uint64_t(1) << 48U;

std::optional<std::uint64_t> digitOf(char character)
{
    if (character >= '0' && character <= '9') {
        return static_cast<std::uint64_t>(character - '0');
    }
    if (character >= 'a' && character <= 'f') {
        return static_cast<std::uint64_t>(character - 'a') + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return static_cast<std::uint64_t>(character - 'A') + 10;
    }
    return std::nullopt;
}

} // namespace

void ChunkedBodyReader::reset()
{
    this->state = State::FirstSizeDigit;
    this->size = 0;
    this->position = 0;
}

std::size_t ChunkedBodyReader::consumed() const
{
    return this->position;
}

ChunkedBodyReader::Progress ChunkedBodyReader::read(std::string_view bytes, std::string &data)
{
    this->position = 0;
    while (this->position < bytes.size() && this->state != State::Done && this->state != State::Malformed) {
        if (this->state == State::Data) {
            this->position += this->readData(bytes.substr(this->position), data);
        } else {
            this->state = this->nextState(bytes[this->position]);
            ++this->position;
        }
    }
    if (this->state == State::Malformed) {
        return Progress::Malformed;
    }
    return this->state == State::Done ? Progress::Done : Progress::NeedMore;
}

std::size_t ChunkedBodyReader::readData(std::string_view bytes, std::string &data)
{
    const auto read = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), this->size));
    data.append(bytes.substr(0, read));
    this->size -= read;
    this->state = this->size == 0 ? State::DataReturn : State::Data;
    return read;
}

ChunkedBodyReader::State ChunkedBodyReader::nextState(char character)
{
    const auto expect = [character](char expected, State next) {
        return character == expected ? next : State::Malformed;
    };
    switch (this->state) {
    case State::FirstSizeDigit:
        this->size = 0;
        return digitOf(character) ? this->readSizeDigit(character) : State::Malformed;
    case State::Size:
        return this->readSizeDigit(character);
    case State::Extension:
        return character == '\r' ? State::SizeLineFeed : (character == '\n' ? State::Malformed : State::Extension);
    case State::SizeLineFeed:
        return expect('\n', this->size == 0 ? State::EndReturn : State::Data);
    case State::DataReturn:
        return expect('\r', State::DataLineFeed);
    case State::DataLineFeed:
        return expect('\n', State::FirstSizeDigit);
    case State::EndReturn:
        // Anything else begins a trailer.
        return expect('\r', State::EndLineFeed);
    case State::EndLineFeed:
        return expect('\n', State::Done);
    case State::Data:
    case State::Done:
    case State::Malformed:
        break;
    }
    return State::Malformed;
}

ChunkedBodyReader::State ChunkedBodyReader::readSizeDigit(char character)
{
    if (const std::optional<std::uint64_t> digit = digitOf(character)) {
        this->size = this->size * hexadecimal + *digit;
        return this->size <= maxChunkSize ? State::Size : State::Malformed;
    }
    if (character == '\r') {
        return State::SizeLineFeed;
    }
    return character == ';' || character == ' ' || character == '\t' ? State::Extension : State::Malformed;
}

} // namespace Dogwoodkeel
