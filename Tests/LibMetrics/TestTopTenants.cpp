#include <LibMetrics/NodeMetrics.h>
#include <LibMetrics/TopTenants.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

using namespace Dogwoodkeel;

namespace
{

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("The largest of many tenants are named, in whatever order requests arrive")
{
    TopTenants top({.named = 5, .counted = 100, .reviewEvery = 1000});
    std::mt19937_64 random(1);
    for (int i = 0; i < 200000; ++i) {
        // Five tenants send a tenth each, 38,000 others the remainder.
        const auto draw = random() % 10;
        top.count(draw < 5 ? "large-" + std::to_string(draw) : "small-" + std::to_string(random() % 38000));
    }
    for (int i = 0; i < 5; ++i) {
        CHECK(top.isNamed("large-" + std::to_string(i)));
    }
}

TEST_CASE("A tenant that grows replaces one that stopped sending")
{
    TopTenants top({.named = 2, .counted = 10, .reviewEvery = 100});
    for (int i = 0; i < 1000; ++i) {
        top.count(i % 2 == 0 ? "early-1" : "early-2");
    }
    CHECK(top.isNamed("early-1"));
    for (int i = 0; i < 2000; ++i) {
        top.count(i % 2 == 0 ? "early-1" : "late");
    }
    CHECK(top.isNamed("early-1"));
    CHECK(top.isNamed("late"));
    CHECK(!top.isNamed("early-2"));
}

TEST_CASE("Two equally large tenants do not alternate")
{
    TopTenants top({.named = 1, .counted = 10, .reviewEvery = 50});
    std::size_t changes = 0;
    for (int i = 0; i < 10000; ++i) {
        const auto review = top.count(i % 2 == 0 ? "a" : "b");
        changes += review ? review->removed.size() : 0;
    }
    CHECK(changes == 0);
}

TEST_CASE("The size of the metrics text is bounded for any number of tenants")
{
    NodeMetrics metrics;
    for (int i = 0; i < 20000; ++i) {
        const WorkspaceName tenant("tenant-" + std::to_string(i));
        metrics.countRequest(tenant);
        metrics.observeTotal(tenant, std::chrono::milliseconds(1));
        metrics.countAnswer("online", "result-" + std::to_string(i));
    }
    const std::string text = metrics.text();
    CHECK(countOf(text, "dogwoodkeel_tenant_total_seconds_count{") <= 21);
    CHECK(countOf(text, "dogwoodkeel_tenant_total_seconds_count{tenant=\"(others)\"}") == 1);
    CHECK(countOf(text, "dogwoodkeel_answers_total{") <= 257);
    CHECK(countOf(text, "process_resident_memory_bytes ") >= 1);
}
