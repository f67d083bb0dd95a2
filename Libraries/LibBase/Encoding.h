#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Dogwoodkeel
{

/** @return the bytes as base64 with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);

/** @return the bytes that base64 text encodes, or nothing if it is malformed. */
std::optional<std::string> decodeBase64(std::string_view text);

/** @return the bytes as lower-case hexadecimal digits. */
std::string encodeHex(std::string_view bytes);

/** Size of a SHA-256 digest in bytes. */
inline constexpr std::size_t sha256Size = 32;

/** @return the SHA-256 of some bytes. */
std::array<unsigned char, sha256Size> sha256(std::string_view bytes);

/** @return the SHA-256 of an API key as hexadecimal digits. The settings store this instead of the key. */
std::string hashOfKey(std::string_view key);

/**
 * @param count how many bytes
 * @return random bytes from the operating system's generator, as hexadecimal digits
 */
std::string randomHex(std::size_t count);

} // namespace Dogwoodkeel
