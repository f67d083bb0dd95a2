#include <LibGateway/ServingConfiguration.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

TEST_CASE("the route of the host with the longest matching prefix is found")
{
    ServingConfiguration configuration;
    configuration.routes.push_back({.name = "short", .host = "h", .prefix = "/a/"});
    configuration.routes.push_back({.name = "long", .host = "h", .prefix = "/a/b/"});
    configuration.routes.push_back({.name = "other", .host = "g", .prefix = "/a/b/c/"});
    CHECK(configuration.findRoute("h", "/a/b/c/d")->name == "long");
    CHECK(configuration.findRoute("h", "/a/x")->name == "short");
    CHECK(configuration.findRoute("h", "/ab") == nullptr);
    CHECK(configuration.findRoute("x", "/a/b") == nullptr);
}

TEST_CASE("targets are selected in proportion to their weights, and never with weight zero")
{
    Route route;
    route.targets = {{ServiceName("a"), 90}, {ServiceName("b"), 0}, {ServiceName("c"), 10}};
    CHECK(selectTarget(route, 0)->service == ServiceName("a"));
    CHECK(selectTarget(route, 0.899)->service == ServiceName("a"));
    CHECK(selectTarget(route, 0.9)->service == ServiceName("c"));
    CHECK(selectTarget(route, 0.999)->service == ServiceName("c"));
    route.targets.clear();
    CHECK(selectTarget(route, 0.5) == nullptr);
}
