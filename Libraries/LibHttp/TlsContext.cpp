#include <LibHttp/TlsContext.h>

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <stdexcept>

namespace Dogwoodkeel
{

TlsContext::TlsContext(const std::string &certificateFile, const std::string &keyFile) : context(SSL_CTX_new(TLS_server_method()))
{
    SSL_CTX_set_min_proto_version(this->context, TLS1_2_VERSION);
    const bool isRead = SSL_CTX_use_certificate_chain_file(this->context, certificateFile.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(this->context, keyFile.c_str(), SSL_FILETYPE_PEM) == 1
        && SSL_CTX_check_private_key(this->context) == 1;
    if (!isRead) {
        const char *const reason = ERR_reason_error_string(ERR_get_error());
        ERR_clear_error();
        SSL_CTX_free(this->context);
        throw std::runtime_error("cannot use the certificate " + certificateFile + " with the key " + keyFile + ": "
                                 + (reason != nullptr ? reason : "unreadable"));
    }
}

TlsContext::~TlsContext()
{
    SSL_CTX_free(this->context);
}

ssl_ctx_st *TlsContext::share() const
{
    SSL_CTX_up_ref(this->context);
    return this->context;
}

} // namespace Dogwoodkeel
