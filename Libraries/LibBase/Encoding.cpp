#include <LibBase/Encoding.h>

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <stdexcept>

namespace Dogwoodkeel
{

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    std::size_t size = static_cast<std::size_t>(length);
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '=' && size > 0; --i) {
        --size;
    }
    bytes.resize(size);
    return bytes;
}

std::string encodeHex(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto number = static_cast<unsigned char>(byte);
        text.push_back(digits[number >> 4U]);
        text.push_back(digits[number & 0xFU]);
    }
    return text;
}

static_assert(sha256Size == SHA256_DIGEST_LENGTH);

std::array<unsigned char, sha256Size> sha256(std::string_view bytes)
{
    std::array<unsigned char, sha256Size> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

std::string hashOfKey(std::string_view key)
{
    const auto digest = sha256(key);
    return encodeHex(std::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()));
}

std::string randomHex(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1) {
        throw std::runtime_error("the operating system returned no random bytes");
    }
    return encodeHex(bytes);
}

} // namespace Dogwoodkeel
