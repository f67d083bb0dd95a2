#pragma once

#include <LibGateway/ServingConfiguration.h>
#include <LibProxy/HeaderList.h>
#include <LibWorkspace/Credentials.h>

#include <string_view>

namespace Dogwoodkeel
{

/** Whether a request is served, by the configuration in force on this node. */
enum class AccessOutcome {
    Granted,
    /** This node has none, so it can't tell. */
    NoConfiguration,
    NoRoute,
    NoKey,
    MalformedKey,
    /** No workspace has the key. */
    UnknownKey,
};

/** @return the outcome's name, for logs. */
std::string_view nameOf(AccessOutcome outcome);

/** Who may do what. Pointers are valid as long as the configuration. */
struct Access
{
    AccessOutcome outcome = AccessOutcome::NoConfiguration;
    /** Null for calls on batch jobs, which have no route of their own. */
    const Route *route = nullptr;
    /** Whose request it is; null if callers need no key, or the route is public and no known key was given. */
    const Workspace *workspace = nullptr;

    /** @return whether a newer configuration may allow what this one refuses. */
    bool mayChange() const;
};

/** @return what the Authorization lines of a request hold. */
Credentials credentialsOf(const HeaderList &headers);

/**
 * Decide about a request to a route.
 * @param configuration null if this node has none
 */
Access decideAccess(const ServingConfiguration *configuration,
                    std::string_view host,
                    std::string_view path,
                    const Credentials &credentials);

/** Decide about a call on a batch job, which belongs to a workspace and not to a route. */
Access decideJobAccess(const ServingConfiguration *configuration, const Credentials &credentials);

} // namespace Dogwoodkeel
