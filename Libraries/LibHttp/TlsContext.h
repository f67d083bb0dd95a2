#pragma once

#include <string>

struct ssl_ctx_st;

namespace Dogwoodkeel
{

/** A server's certificate and key (TLS 1.2 or newer). Read again from its files, it replaces the one in use. */
class TlsContext
{
public:
    /**
     * @param certificateFile PEM, the server's own certificate first, then the chain
     * @param keyFile PEM
     * @throws std::runtime_error if they cannot be read, or the key is not the certificate's
     */
    TlsContext(const std::string &certificateFile, const std::string &keyFile);
    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    TlsContext &operator=(const TlsContext &) = delete;

    /** @return the context, for one more holder, who frees it. */
    ssl_ctx_st *share() const;

private:
    ssl_ctx_st *context;
};

} // namespace Dogwoodkeel
