#include <LibBase/ManualClock.h>
#include <LibDispatch/WaitingQueue.h>
#include <LibDispatch/WorkspaceShares.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Work beyond what every workspace may get ahead of its share, in requests of cost 1. */
constexpr int manyRequests = 20;
constexpr int workspaceCount = 38000;

void serve(WorkspaceShares &shares, const WorkspaceName &workspace, double cost = 1, double weight = 1)
{
    shares.addWaiting(workspace, weight);
    shares.recordService(workspace, shares.startTag(workspace, shares.currentTag()), cost);
}

/** A queue of online requests, and the order in which it serves them. */
class QueueFixture
{
public:
    void add(std::uint64_t number, const std::string &workspace, std::uint32_t priority = 0, WorkClass work = WorkClass::Online)
    {
        this->add(number, workspace, std::chrono::seconds(1), priority, work);
    }

    void add(std::uint64_t number,
             const std::string &workspace,
             std::chrono::milliseconds slack,
             std::uint32_t priority,
             WorkClass work)
    {
        PlacementRequest request;
        request.id = {SessionNumber(1), number};
        request.work = work;
        request.priority = priority;
        request.arrived = this->clock.now();
        request.due = this->clock.now() + slack;
        request.workspace = WorkspaceName(workspace);
        request.cost = 1;
        this->queue.add(request, this->clock.now());
    }

    std::vector<std::uint64_t> served(std::size_t count, WorkClass work = WorkClass::Online)
    {
        std::vector<std::uint64_t> numbers;
        while (numbers.size() < count && !this->queue.of(work).empty()) {
            const TicketId id = this->queue.of(work).begin()->second.request.id;
            numbers.push_back(id.number);
            this->queue.removePlaced(id);
        }
        return numbers;
    }

    ManualClock clock;
    WaitingQueue queue{this->clock};
};

} // namespace

// Guards against accounts that remain: their number would grow with the workspaces that were ever seen.
TEST_CASE("38,000 workspaces that wait together and then send now and then leave few accounts")
{
    WorkspaceShares shares;
    const WorkspaceName flooder("flooder");
    shares.addWaiting(flooder, 1);
    const auto name = [](int workspace) {
        return WorkspaceName("w" + std::to_string(workspace));
    };
    for (int workspace = 0; workspace < workspaceCount; ++workspace) {
        shares.addWaiting(name(workspace), 1);
    }
    CHECK(shares.waiting() == workspaceCount + 1);
    for (int workspace = 0; workspace < workspaceCount; ++workspace) {
        shares.recordService(name(workspace), shares.startTag(name(workspace), shares.currentTag()), 1);
    }
    CHECK(shares.waiting() == 1);
    // Half of what is served is the flooder's, as long as it has many waiting.
    std::size_t most = 0;
    for (int workspace = 0; workspace < workspaceCount; ++workspace) {
        serve(shares, name(workspace));
        serve(shares, flooder);
        most = workspace < workspaceCount / 2 ? 0 : std::max(most, shares.size());
    }
    MESSAGE("accounts at most ", most);
    CHECK(most < workspaceCount / 100);
}

// Guards against a debt that outlasts the work of the others, and against one that is forgotten at once.
TEST_CASE("the debt of a workspace remains until the others have got as much")
{
    WorkspaceShares shares;
    const WorkspaceName flooder("flooder");
    shares.addWaiting(WorkspaceName("other"), 1);
    for (int request = 0; request < manyRequests; ++request) {
        shares.addWaiting(flooder, 1);
        shares.recordService(flooder, 0, 1);
    }
    CHECK(shares.debtOf(flooder) > 0);
    shares.removeWaiting(WorkspaceName("other"));
    for (int request = 0; request < 3 * manyRequests; ++request) {
        serve(shares, WorkspaceName("other"));
    }
    CHECK(shares.debtOf(flooder) == 0);
    CHECK(shares.size() == 1);
}

// Guards against workspaces that state too little work, and against paying for a run that a replica rejected.
TEST_CASE("the charge of a run is corrected, also if its workspace was forgotten")
{
    WorkspaceShares shares;
    serve(shares, WorkspaceName("other"));
    const WorkspaceName workspace("w");
    const double startTag = shares.currentTag();
    serve(shares, workspace);
    for (int request = 0; request < manyRequests; ++request) {
        serve(shares, WorkspaceName("other" + std::to_string(request)));
    }
    shares.correct(workspace, 1, startTag, 1, 1);
    CHECK(shares.debtOf(workspace) == 0);
    shares.correct(workspace, 1, startTag, 1, 1000);
    const double debt = shares.debtOf(workspace);
    CHECK(debt > 900);
    shares.correct(workspace, 1, startTag, 1, 0);
    CHECK(shares.debtOf(workspace) == doctest::Approx(debt - 1));
}

// Guards against withdrawn requests that still cost their workspace its turn, and against a changed order within a workspace.
TEST_CASE("withdrawn requests cost nothing, and a workspace's order is by arrival")
{
    QueueFixture fixture;
    for (std::uint64_t number = 1; number <= std::uint64_t{2} * manyRequests; ++number) {
        fixture.add(number, "a");
    }
    fixture.add(100, "b");
    for (std::uint64_t number = 1; number <= manyRequests; ++number) {
        fixture.queue.remove({SessionNumber(1), number});
    }
    // Four requests ahead of its share and the one that it is due, then the other workspace's.
    CHECK(fixture.served(8) == std::vector<std::uint64_t>{21, 22, 23, 24, 25, 100, 26, 27});
}

// Guards against work of one priority that counts against a workspace's requests of another.
TEST_CASE("shares hold within a priority, and a more urgent priority comes first")
{
    QueueFixture fixture;
    for (std::uint64_t number = 1; number <= manyRequests; ++number) {
        fixture.add(number, "a", 0);
    }
    fixture.add(101, "a", 1);
    fixture.add(102, "b", 1);
    fixture.served(manyRequests);
    CHECK(fixture.served(2) == std::vector<std::uint64_t>{101, 102});
}

// Guards against a debt that makes an item late: it would wait for items that have much more time.
TEST_CASE("an item with little slack does not wait for one with much, whatever its workspace has got")
{
    QueueFixture fixture;
    for (std::uint64_t number = 1; number <= std::uint64_t{10} * manyRequests; ++number) {
        fixture.add(number, "flooder", std::chrono::seconds(8), 0, WorkClass::Batch);
    }
    fixture.add(1001, "flooder", std::chrono::seconds(1), 0, WorkClass::Batch);
    fixture.add(1002, "other", std::chrono::seconds(2), 0, WorkClass::Batch);
    fixture.add(1003, "other", std::chrono::milliseconds(8500), 0, WorkClass::Batch);
    const std::vector<std::uint64_t> order = fixture.served(10, WorkClass::Batch);
    CHECK(order.at(0) == 1001);
    CHECK(order.at(1) == 1002);
    // An item of another workspace with about the same slack comes before most of the many.
    CHECK(std::ranges::find(order, 1003U) != order.end());
}

// Guards against a changed order in deployments without workspaces.
TEST_CASE("without workspaces, the order is that of arrival")
{
    QueueFixture fixture;
    for (std::uint64_t number = 1; number <= manyRequests; ++number) {
        fixture.add(number, "");
        fixture.clock.advance(std::chrono::milliseconds(1));
    }
    CHECK_FALSE(fixture.queue.isShared());
    CHECK(fixture.served(3) == std::vector<std::uint64_t>{1, 2, 3});
}
