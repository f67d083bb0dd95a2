#include <LibGateway/JobLedger.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

ItemResult resultOf(const std::string &output)
{
    return {ItemId("i"), ItemOutcome::Completed, output};
}

JobHead headOf(std::uint32_t total, std::vector<std::uint32_t> listed = {}, std::vector<std::uint32_t> failures = {})
{
    JobHead head;
    head.total = total;
    head.finishedItems = std::move(listed);
    head.failures = std::move(failures);
    return head;
}

} // namespace

// A write gets no answer. While the next one is in flight, the head is read and shows that the first took effect. When the next
// write is confirmed, some of its results are no longer pending. Removing as many pending results as it wrote would remove
// results that were never written, or more than there are.
TEST_CASE("a write that is confirmed after the head was read again removes only listed results")
{
    JobLedger ledger;
    ledger.adopt(headOf(3), 1);
    ledger.add(0, resultOf("a"));
    ledger.add(1, resultOf("b"));
    const JobLedger::Write write = ledger.nextWrite();
    ledger.adopt(headOf(3, {0}), 2);
    CHECK(ledger.unwrittenResults() == 1);
    ledger.add(2, resultOf("c"));
    ledger.confirm(write.head, 3);
    CHECK(ledger.unwrittenResults() == 1);
    CHECK(ledger.hasResult(2));
    CHECK_FALSE(ledger.isListed(2));
}

TEST_CASE("results are appended to the listed ones in the order in which they were added")
{
    JobLedger ledger;
    ledger.adopt(headOf(3, {2}), 1);
    ledger.add(1, resultOf("b"));
    ledger.add(0, resultOf("a"));
    ledger.add(1, resultOf("again"));
    ledger.add(2, resultOf("listed"));
    const JobLedger::Write write = ledger.nextWrite();
    CHECK(write.head.finishedItems == std::vector<std::uint32_t>{2, 1, 0});
    REQUIRE(write.results.size() == 2);
    CHECK(write.results[0].output == "b");
    ledger.confirm(write.head, 2);
    CHECK(ledger.isComplete());
    CHECK_FALSE(ledger.hasUnwrittenChanges());
}

// A runner fails after it counted failures of an item. The next runner must not start at zero, or the item would be sent to more
// replicas than its route permits. A write whose answer was lost must not count a failure twice, or the item would be abandoned
// too early.
TEST_CASE("failures are counted across runners, each of them once")
{
    JobLedger first;
    first.adopt(headOf(2), 1);
    CHECK(first.recordFailure(0) == 1);
    const JobLedger::Write lost = first.nextWrite();
    CHECK(lost.head.failures == std::vector<std::uint32_t>{0});
    first.recordFailedWrite();
    first.adopt(lost.head, 2);
    CHECK(first.nextWrite().head.failures == std::vector<std::uint32_t>{0});
    JobLedger second;
    second.adopt(lost.head, 2);
    CHECK(second.recordFailure(0) == 2);
}

TEST_CASE("a write does not exceed the size of a transaction, and holds at least one result")
{
    JobLedger ledger;
    ledger.adopt(headOf(50), 1);
    ledger.add(0, resultOf(std::string(900'000, 'x')));
    for (std::uint32_t item = 1; item < 50; ++item) {
        ledger.add(item, resultOf("x"));
    }
    const JobLedger::Write first = ledger.nextWrite();
    CHECK(first.results.size() == 1);
    ledger.confirm(first.head, 2);
    CHECK(ledger.nextWrite().results.size() == 20);
}
