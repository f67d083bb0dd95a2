#include <LibWire/MessageKey.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <utility>

namespace Dogwoodkeel
{

MessageKey::MessageKey(std::string secret) : secret(std::move(secret))
{
}

std::string MessageKey::codeOf(std::string_view message) const
{
    std::string code(messageCodeSize, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         this->secret.data(),
         static_cast<int>(this->secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         reinterpret_cast<unsigned char *>(code.data()),
         &length);
    return code;
}

bool MessageKey::isGenuine(std::string_view message, std::string_view code) const
{
    const std::string expected = this->codeOf(message);
    return code.size() == expected.size() && CRYPTO_memcmp(code.data(), expected.data(), expected.size()) == 0;
}

MessageKey MessageKey::derive(std::string_view purpose) const
{
    return MessageKey(this->codeOf(purpose));
}

} // namespace Dogwoodkeel
