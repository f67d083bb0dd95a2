#include <LibBase/ManualClock.h>
#include <LibRouting/Quarantine.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

const ContentFingerprint poison(1);
const ContentFingerprint bystander(2);

EndpointLoss lossAt(const char *endpoint, const char *domain, SteadyTime sent, SteadyTime seen)
{
    return {EndpointName(endpoint), FailureDomain(domain), sent, seen};
}

} // namespace

TEST_CASE("a request that is resent after each loss reaches at most two endpoints")
{
    // The first endpoint is lost, and the retry takes down another one. The caller resends the request under a new id
    // with the same content; it is refused instead of taking down further endpoints.
    ManualClock clock;
    Quarantine quarantine(clock, {});
    CHECK(quarantine.recordLoss(poison, lossAt("a", "one", clock.now(), clock.now())) == QuarantineStatus::Suspect);
    clock.advance(std::chrono::milliseconds(10));
    CHECK(quarantine.recordLoss(poison, lossAt("b", "one", clock.now(), clock.now())) == QuarantineStatus::Quarantined);
    CHECK(quarantine.remaining(poison) == Quarantine::Options().duration);
    clock.advance(Quarantine::Options().duration);
    CHECK(quarantine.status(poison) == QuarantineStatus::Clear);
}

TEST_CASE("a loss reported repeatedly by other nodes counts once")
{
    ManualClock clock;
    Quarantine quarantine(clock, {});
    const EndpointLoss loss = lossAt("a", "one", clock.now(), clock.now() + std::chrono::milliseconds(5));
    CHECK(quarantine.recordLoss(poison, loss) == QuarantineStatus::Suspect);
    clock.advance(std::chrono::milliseconds(100));
    CHECK(quarantine.recordLoss(poison, loss) == QuarantineStatus::Suspect);
}

TEST_CASE("a popular request that ran on several endpoints of a lost failure domain is not quarantined")
{
    ManualClock clock;
    Quarantine quarantine(clock, {});
    const SteadyTime sent = clock.now();
    clock.advance(std::chrono::milliseconds(50));
    CHECK(quarantine.recordLoss(bystander, lossAt("a", "one", sent, clock.now())) == QuarantineStatus::Suspect);
    clock.advance(std::chrono::milliseconds(1));
    CHECK(quarantine.recordLoss(bystander, lossAt("b", "one", sent, clock.now())) == QuarantineStatus::Suspect);
}

TEST_CASE("a suspected request is cleared by its first success, and a later loss counts as the first")
{
    ManualClock clock;
    Quarantine quarantine(clock, {});
    quarantine.recordLoss(bystander, lossAt("a", "one", clock.now(), clock.now()));
    CHECK(quarantine.recordSuccess(bystander));
    clock.advance(std::chrono::milliseconds(10));
    CHECK(quarantine.recordLoss(bystander, lossAt("b", "two", clock.now(), clock.now())) == QuarantineStatus::Suspect);
}

TEST_CASE("a suspicion expires, and the number of records is bounded")
{
    ManualClock clock;
    Quarantine quarantine(clock, {.maxRecords = 3});
    for (std::uint64_t i = 10; i < 20; ++i) {
        quarantine.recordLoss(ContentFingerprint(i), lossAt("a", "one", clock.now(), clock.now()));
        clock.advance(std::chrono::milliseconds(1));
    }
    CHECK(quarantine.size() <= 3);
    CHECK(quarantine.status(ContentFingerprint(19)) == QuarantineStatus::Suspect);
    clock.advance(Quarantine::Options().duration);
    CHECK(quarantine.status(ContentFingerprint(19)) == QuarantineStatus::Clear);
}

TEST_CASE("the fingerprint is independent of length and batch form but depends on the model")
{
    const std::string online = R"({"model":"m","prompt":"a trail","stream":true})";
    const std::string item = R"({"prompt":"a trail","max_tokens":5})";
    CHECK(contentFingerprint("m", online) == contentFingerprint("m", item));
    CHECK(contentFingerprint("m", online) != contentFingerprint("other", online));
    CHECK(contentFingerprint("s", "plain one") != contentFingerprint("s", "plain two"));
}
