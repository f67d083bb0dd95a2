#include <LibBase/ManualClock.h>
#include <LibRouting/TenantLimits.h>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace Dogwoodkeel;
using std::chrono::milliseconds;

namespace
{

const WorkspaceName tenant("t");

TenantLimits::LimitOf fixedLimit(double perSecond, double concurrency)
{
    return [=](const WorkspaceName &, LimitClass) {
        return std::optional(RequestLimit{perSecond, concurrency});
    };
}

/** A site of nodes that report their demands every half second, and the splitter that grants their shares. */
struct Site
{
    Site(std::size_t count, double perSecond) : splitter(clock, milliseconds(2000)), limit{perSecond, 100000}
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<TenantLimits>(this->clock, milliseconds(3000), fixedLimit(perSecond, 100000)));
            this->nodes.back()->setNodes(count);
        }
    }

    /** @return requests admitted within a second, given the number of requests a second sent to each node */
    int second(const std::vector<int> &perNode)
    {
        int admitted = 0;
        for (int tick = 0; tick < 1000; ++tick) {
            for (std::size_t i = 0; i < perNode.size(); ++i) {
                if (perNode[i] > 0 && tick % (1000 / perNode[i]) == 0 && !this->nodes[i]->admit(tenant, LimitClass::Online)) {
                    this->nodes[i]->release(tenant, LimitClass::Online);
                    ++admitted;
                }
            }
            if (tick % 500 == 0) {
                this->exchange();
            }
            this->clock.advance(milliseconds(1));
        }
        return admitted;
    }

    void exchange()
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (const TenantDemand &demand : this->nodes[i]->demands()) {
                const RequestLimit share = this->splitter.split(SessionNumber(i + 1), demand, this->limit);
                this->nodes[i]->grant(tenant, LimitClass::Online, share);
            }
        }
    }

    ManualClock clock;
    LimitSplitter splitter;
    RequestLimit limit;
    std::vector<std::unique_ptr<TenantLimits>> nodes;
};

} // namespace

TEST_CASE("a tenant whose callers use three of eleven nodes gets its full limit and no more")
{
    // With even shares the tenant would get 27 of its 100 requests a second, because its callers
    // keep the entry addresses and stay on three nodes.
    Site site(11, 100);
    const std::vector<int> load{100, 50, 20};
    for (int i = 0; i < 5; ++i) {
        site.second(load);
    }
    const int admitted = site.second(load) + site.second(load) + site.second(load);
    CHECK(admitted >= 270);
    CHECK(admitted <= 330);
}

TEST_CASE("without a splitter, even shares enforce the limit")
{
    Site site(4, 40);
    int admitted = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        for (int request = 0; request < 100; ++request) {
            admitted += site.nodes[i]->admit(tenant, LimitClass::Online) ? 0 : 1;
        }
    }
    CHECK(admitted == 40);
}

TEST_CASE("concurrency is bounded, and a refusal returns a retry delay")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(1000, 2));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK(limits.admit(tenant, LimitClass::Online).value() > milliseconds(0));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Lookup));
    limits.release(tenant, LimitClass::Online);
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
}

TEST_CASE("a rate refusal returns the time after which the next request is admitted")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(2, 100));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
    const auto wait = limits.admit(tenant, LimitClass::Online);
    CHECK(wait.value() == milliseconds(500));
    clock.advance(*wait);
    CHECK_FALSE(limits.admit(tenant, LimitClass::Online));
}

TEST_CASE("nodes far below a limit report no demand")
{
    ManualClock clock;
    TenantLimits limits(clock, milliseconds(3000), fixedLimit(1000, 1000));
    limits.setNodes(10);
    limits.admit(tenant, LimitClass::Online);
    clock.advance(milliseconds(500));
    CHECK(limits.demands().empty());
}
