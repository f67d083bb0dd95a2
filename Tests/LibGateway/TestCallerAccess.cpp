#include <LibGateway/CallerAccess.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace Dogwoodkeel;

namespace
{

ServingConfiguration configuration(bool isKeyed)
{
    ServingConfiguration made;
    made.version = 3;
    Route closed;
    closed.host = "h";
    closed.prefix = "/closed/";
    Route open = closed;
    open.prefix = "/open/";
    open.isPublic = true;
    made.routes = {closed, open};
    if (isKeyed) {
        const auto directory = std::make_shared<WorkspaceDirectory>();
        directory->add({WorkspaceName("a"), 0, {}}, {KeyDigest::of("good")});
        made.workspaces = directory;
    }
    return made;
}

HeaderList withKey(const std::string &line)
{
    HeaderList headers;
    headers.add("authorization", line);
    return headers;
}

Access decide(const ServingConfiguration *configuration, const char *path, const HeaderList &headers)
{
    return decideAccess(configuration, "h", path, credentialsOf(headers));
}

} // namespace

TEST_CASE("access to a route depends on the key and on whether the route is public")
{
    struct Case
    {
        HeaderList headers;
        AccessOutcome onClosedRoute;
        bool isNamed;
    };
    const ServingConfiguration keyed = configuration(true);
    for (const Case &one : {Case{{}, AccessOutcome::NoKey, false},
                            Case{withKey("Basic good"), AccessOutcome::MalformedKey, false},
                            Case{withKey("Bearer bad"), AccessOutcome::UnknownKey, false},
                            Case{withKey("Bearer good"), AccessOutcome::Granted, true}}) {
        const Access closed = decide(&keyed, "/closed/x", one.headers);
        CHECK(closed.outcome == one.onClosedRoute);
        CHECK(closed.route == &keyed.routes[0]);
        CHECK((closed.workspace != nullptr) == one.isNamed);
        const Access open = decide(&keyed, "/open/x", one.headers);
        CHECK(open.outcome == AccessOutcome::Granted);
        CHECK((open.workspace != nullptr) == one.isNamed);
        CHECK(decide(&keyed, "/none/x", one.headers).outcome == AccessOutcome::NoRoute);
        CHECK(decide(nullptr, "/closed/x", one.headers).outcome == AccessOutcome::NoConfiguration);
    }
}

TEST_CASE("without workspaces a request needs no key")
{
    const ServingConfiguration keyless = configuration(false);
    CHECK(decide(&keyless, "/closed/x", {}).outcome == AccessOutcome::Granted);
    CHECK(decide(&keyless, "/closed/x", withKey("nonsense")).outcome == AccessOutcome::Granted);
    CHECK(decide(&keyless, "/closed/x", withKey("Bearer good")).workspace == nullptr);
    CHECK(decideJobAccess(&keyless, {}).outcome == AccessOutcome::Granted);
}

TEST_CASE("a call on a batch job needs a key, even if there are public routes")
{
    const ServingConfiguration keyed = configuration(true);
    CHECK(decideJobAccess(nullptr, credentialsOf(withKey("Bearer good"))).outcome == AccessOutcome::NoConfiguration);
    CHECK(decideJobAccess(&keyed, credentialsOf({})).outcome == AccessOutcome::NoKey);
    CHECK(decideJobAccess(&keyed, credentialsOf(withKey("Bearer bad"))).outcome == AccessOutcome::UnknownKey);
    CHECK(decideJobAccess(&keyed, credentialsOf(withKey("Bearer good"))).workspace->name == WorkspaceName("a"));
}

// Guards against a final 401 or 404 from a node whose configuration is out of date.
TEST_CASE("only a refusal by an existing configuration may change with a newer one")
{
    const ServingConfiguration keyed = configuration(true);
    CHECK(decide(&keyed, "/none/", {}).mayChange());
    CHECK(decide(&keyed, "/closed/x", {}).mayChange());
    CHECK(decide(&keyed, "/closed/x", withKey("Bearer bad")).mayChange());
    CHECK_FALSE(decide(&keyed, "/closed/x", withKey("Bearer good")).mayChange());
    CHECK_FALSE(decide(nullptr, "/closed/x", {}).mayChange());
}

TEST_CASE("a workspace's priority takes precedence over the route's")
{
    Route urgent;
    urgent.priority = 0;
    Route patient;
    patient.priority = 7;
    const Workspace first{WorkspaceName("a"), 0, {}};
    const Workspace second{WorkspaceName("b"), 1, {}};
    CHECK(priorityOf(patient, &first) < priorityOf(urgent, &second));
    CHECK(priorityOf(urgent, &second) < priorityOf(patient, &second));
    CHECK(priorityOf(patient, nullptr) == 7);
}
