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

/**
 * Maps API keys to tenants. If the settings have no API keys, every caller is the tenant "default". Such a caller has operator
 * rights only if the settings have no tenants either, as in a trial installation: with tenants, operator rights need a key.
 */
class Authenticator
{
public:
    explicit Authenticator(const std::vector<TenantSettings> &tenants);

    /** @return who sent the request ("Authorization: Bearer KEY", RFC 6750), or nothing if the key is unknown. */
    std::optional<Caller> authenticate(const HttpHeaders &headers) const;

private:
    std::unordered_map<std::string, Caller> byKeyHash;
    bool hasTenants;
};

} // namespace Dogwoodkeel
