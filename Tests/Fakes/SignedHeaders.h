#pragma once

#include <LibProxy/CallerExchange.h>

#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** @return the headers of an answer signed by a replica. */
inline HeaderList signedHeaders(const std::shared_ptr<CallerExchange> &exchange)
{
    HeaderList headers;
    headers.add("X-Request-Id", std::string(exchange->head().headers.find("X-Request-Id").value_or("")));
    headers.add("X-Server-Signature", "sig");
    return headers;
}

} // namespace Dogwoodkeel
