#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/**
 * Decodes the chunks of a message body (RFC 9112, section 7.1). libevhtp's parser is not used for it: where `char` is unsigned,
 * as on arm64, it takes an invalid size for a valid one. A trailer is rejected, and so is a size line that implementations may
 * read differently.
 */
class ChunkedBodyReader
{
public:
    enum class Progress {
        NeedMore,
        Done,
        Malformed,
    };

    /** Prepares for the body of the next message. */
    void reset();

    /**
     * Decodes received bytes.
     * @param bytes what follows the bytes that were read before
     * @param data receives the decoded data
     * @return Done at the end of the body; bytes that follow it are not read
     */
    Progress read(std::string_view bytes, std::string &data);

    /** @return how many of the bytes passed to the last read() belong to the body. */
    std::size_t consumed() const;

private:
    enum class State {
        FirstSizeDigit,
        Size,
        Extension,
        SizeLineFeed,
        Data,
        DataReturn,
        DataLineFeed,
        EndReturn,
        EndLineFeed,
        Done,
        Malformed,
    };

    std::size_t readData(std::string_view bytes, std::string &data);
    State nextState(char character);
    State readSizeDigit(char character);

    State state = State::FirstSizeDigit;
    std::uint64_t size = 0;
    std::size_t position = 0;
};

} // namespace Dogwoodkeel
