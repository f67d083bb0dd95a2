#include <Services/Entry/Authenticator.h>

#include <LibBase/Encoding.h>

namespace Dogwoodkeel
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

}

Authenticator::Authenticator(const std::vector<TenantSettings> &tenants) : hasTenants(!tenants.empty())
{
    for (const TenantSettings &tenant : tenants) {
        for (const std::string &hash : tenant.keyHashes) {
            this->byKeyHash[hash] = {WorkspaceName(tenant.name), tenant.isOperator};
        }
    }
}

std::optional<Caller> Authenticator::authenticate(const HttpHeaders &headers) const
{
    if (this->byKeyHash.empty()) {
        return Caller{WorkspaceName("default"), !this->hasTenants};
    }
    const std::string credentials = headerValue(headers, "Authorization").value_or(std::string());
    if (!credentials.starts_with(scheme)) {
        return std::nullopt;
    }
    // Looks up the hash instead of the key, so that the lookup time reveals nothing about the key.
    const auto found = this->byKeyHash.find(hashOfKey(credentials.substr(scheme.size())));
    return found != this->byKeyHash.end() ? std::optional(found->second) : std::nullopt;
}

} // namespace Dogwoodkeel
