#include <LibJournal/IdFilter.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <cstdint>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t bytesPerId = 2;
constexpr unsigned probes = 8;
constexpr std::uint64_t firstSeed = 11;
constexpr std::uint64_t secondSeed = 12;
constexpr unsigned bitsPerByte = 8;

/** Generates the bit positions of an id from two hashes by double hashing (Kirsch and Mitzenmacher, 2006). */
class Probes
{
public:
    Probes(std::string_view id, std::size_t bytes)
        : position(stableHash(id, firstSeed)), step(stableHash(id, secondSeed) | 1U), bits(bytes * bitsPerByte)
    {
    }

    std::size_t next()
    {
        this->position += this->step;
        return static_cast<std::size_t>(this->position % this->bits);
    }

private:
    std::uint64_t position;
    std::uint64_t step;
    std::uint64_t bits;
};

} // namespace

IdFilter::IdFilter(std::size_t expected) : bits(std::max<std::size_t>(expected * bytesPerId, 1), '\0')
{
}

void IdFilter::add(std::string_view id)
{
    Probes positions(id, this->bits.size());
    for (unsigned i = 0; i < probes; ++i) {
        const std::size_t bit = positions.next();
        const auto byte = static_cast<unsigned char>(this->bits[bit / bitsPerByte]);
        this->bits[bit / bitsPerByte] = static_cast<char>(byte | (1U << (bit % bitsPerByte)));
    }
}

const std::string &IdFilter::bytes() const
{
    return this->bits;
}

bool IdFilter::mayContain(std::string_view bytes, std::string_view id)
{
    if (bytes.empty()) {
        return false;
    }
    Probes positions(id, bytes.size());
    for (unsigned i = 0; i < probes; ++i) {
        const std::size_t bit = positions.next();
        const auto byte = static_cast<unsigned char>(bytes[bit / bitsPerByte]);
        if ((byte & (1U << (bit % bitsPerByte))) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace Dogwoodkeel
