#pragma once

#include <LibGateway/ServingConfiguration.h>
#include <LibProxy/HeaderList.h>
#include <LibWorkspace/Credentials.h>

#include <string_view>

namespace Dogwoodkeel
{

/** Whether the configuration in force on this node permits a request. */
enum class AccessOutcome {
    Granted,
    /** This node has no configuration yet, so it cannot decide. */
    NoConfiguration,
    NoRoute,
    NoKey,
    MalformedKey,
    /** No workspace has the key. */
    UnknownKey,
};

/** @return the name of the outcome for logs. */
std::string_view nameOf(AccessOutcome outcome);

/** The result of an access check. Its pointers are valid as long as the configuration exists. */
struct Access
{
    AccessOutcome outcome = AccessOutcome::NoConfiguration;
    /** Null for calls on batch jobs, which have no route of their own. */
    const Route *route = nullptr;
    /** The workspace that sent the request; null if callers need no key, or if the route is public and no known key was given. */
    const Workspace *workspace = nullptr;

    /** @return whether the request is refused and a newer configuration may permit it. */
    bool mayChange() const;
};

/** @return the credentials in the Authorization header lines of a request. */
Credentials credentialsOf(const HeaderList &headers);

/**
 * Decides whether a request to a route is permitted.
 * @param configuration null if this node has none
 */
Access decideAccess(const ServingConfiguration *configuration,
                    std::string_view host,
                    std::string_view path,
                    const Credentials &credentials);

/** Decides whether a call on a batch job is permitted. A job belongs to a workspace, not to a route. */
Access decideJobAccess(const ServingConfiguration *configuration, const Credentials &credentials);

} // namespace Dogwoodkeel
