#pragma once

#include <LibBase/Identifiers.h>
#include <LibHttp/HttpTypes.h>
#include <LibSettings/Generated/Settings.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Dogwoodkeel
{

/** Who sent a request. */
struct Caller
{
    WorkspaceName tenant;
    bool isOperator = false;
};

/** Finds the tenant behind an API key. Without any tenant in the settings, everyone is the tenant "default": a trial. */
class Authenticator
{
public:
    explicit Authenticator(const std::vector<TenantSettings> &tenants);

    /** @return who sent the request ("Authorization: Bearer KEY", RFC 6750), or nothing if the key is not known. */
    std::optional<Caller> authenticate(const HttpHeaders &headers) const;

private:
    std::unordered_map<std::string, Caller> byKeyHash;
};

} // namespace Dogwoodkeel
