#include <LibWorkspace/KeyDigest.h>

#include <cstring>

namespace Dogwoodkeel
{

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    digest.content = sha256(key);
    return digest;
}

const std::array<unsigned char, KeyDigest::size> &KeyDigest::bytes() const
{
    return this->content;
}

} // namespace Dogwoodkeel

// Any part of a cryptographic digest is uniformly distributed, so its first bytes serve as the hash.
std::size_t std::hash<Dogwoodkeel::KeyDigest>::operator()(const Dogwoodkeel::KeyDigest &digest) const noexcept
{
    std::size_t part = 0;
    std::memcpy(&part, digest.bytes().data(), sizeof(part));
    return part;
}
