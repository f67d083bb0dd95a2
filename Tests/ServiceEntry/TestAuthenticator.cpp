#include <LibBase/Encoding.h>
#include <Services/Entry/Authenticator.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

// Guards against operator rights for every caller where tenants, even operators, were configured but their keys were left out.
TEST_CASE("without keys a caller is an operator only if there are no tenants")
{
    const auto trial = Authenticator({}).authenticate({});
    REQUIRE(trial);
    CHECK(trial->isOperator);
    const auto caller = Authenticator({{.name = "shop"}, {.name = "operators", .isOperator = true}}).authenticate({});
    REQUIRE(caller);
    CHECK(caller->tenant == WorkspaceName("default"));
    CHECK_FALSE(caller->isOperator);
}

// Guards against callers without a known key where one tenant has a key.
TEST_CASE("with one key every caller needs a key")
{
    const Authenticator authenticator(
        {{.name = "shop"}, {.name = "operators", .keyHashes = {hashOfKey("k")}, .isOperator = true}});
    CHECK_FALSE(authenticator.authenticate({}));
    CHECK_FALSE(authenticator.authenticate({{"Authorization", "Bearer other"}}));
    const auto known = authenticator.authenticate({{"Authorization", "Bearer k"}});
    REQUIRE(known);
    CHECK(known->isOperator);
}
