#include <LibGateway/CallerAccess.h>

#include <vector>

namespace Dogwoodkeel
{

namespace
{

/** @return the access of a request to a resource that requires a key. */
Access accessByKey(const WorkspaceDirectory &workspaces, const Credentials &credentials)
{
    switch (credentials.state) {
    case Credentials::State::Absent:
        return {AccessOutcome::NoKey, nullptr, nullptr};
    case Credentials::State::Malformed:
        return {AccessOutcome::MalformedKey, nullptr, nullptr};
    case Credentials::State::Given:
        break;
    }
    const Workspace *const workspace = workspaces.findByKey(credentials.key);
    return {workspace != nullptr ? AccessOutcome::Granted : AccessOutcome::UnknownKey, nullptr, workspace};
}

} // namespace

std::string_view nameOf(AccessOutcome outcome)
{
    switch (outcome) {
    case AccessOutcome::Granted:
        return "granted";
    case AccessOutcome::NoConfiguration:
        return "no configuration";
    case AccessOutcome::NoRoute:
        return "no route";
    case AccessOutcome::NoKey:
        return "no key";
    case AccessOutcome::MalformedKey:
        return "malformed key";
    case AccessOutcome::UnknownKey:
        return "unknown key";
    }
    return "invalid";
}

bool Access::mayChange() const
{
    return this->outcome != AccessOutcome::Granted && this->outcome != AccessOutcome::NoConfiguration;
}

Credentials credentialsOf(const HeaderList &headers)
{
    std::vector<std::string_view> lines;
    for (const HeaderField &field : headers.fields()) {
        if (isSameToken(field.name, "Authorization")) {
            lines.push_back(trimmed(field.value));
        }
    }
    return readCredentials(lines);
}

Access decideAccess(const ServingConfiguration *configuration,
                    std::string_view host,
                    std::string_view path,
                    const Credentials &credentials)
{
    if (configuration == nullptr) {
        return {AccessOutcome::NoConfiguration, nullptr, nullptr};
    }
    const Route *const route = configuration->findRoute(host, path);
    if (route == nullptr) {
        return {AccessOutcome::NoRoute, nullptr, nullptr};
    }
    Access access{AccessOutcome::Granted, route, nullptr};
    if (configuration->workspaces) {
        access = accessByKey(*configuration->workspaces, credentials);
        access.route = route;
    }
    if (route->isPublic) {
        access.outcome = AccessOutcome::Granted;
    }
    return access;
}

Access decideJobAccess(const ServingConfiguration *configuration, const Credentials &credentials)
{
    if (configuration == nullptr) {
        return {AccessOutcome::NoConfiguration, nullptr, nullptr};
    }
    return configuration->workspaces ? accessByKey(*configuration->workspaces, credentials)
                                     : Access{AccessOutcome::Granted, nullptr, nullptr};
}

} // namespace Dogwoodkeel
