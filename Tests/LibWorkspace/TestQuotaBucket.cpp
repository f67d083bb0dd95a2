#include <LibWorkspace/QuotaBucket.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

using std::chrono::milliseconds;

constexpr RequestQuota tenASecond{10, 5};
const SteadyTime begin = SteadyTime(std::chrono::hours(1));

int takeAll(QuotaBucket &bucket, SteadyTime now)
{
    int granted = 0;
    while (!bucket.tryAcquire(now)) {
        ++granted;
    }
    return granted;
}

} // namespace

TEST_CASE("a bucket grants its burst and margin at once, then its rate")
{
    QuotaBucket bucket(begin, tenASecond, 2, 100);
    CHECK(takeAll(bucket, begin) == 7);
    CHECK(takeAll(bucket, begin + milliseconds(500)) == 5);
    CHECK(takeAll(bucket, begin + milliseconds(10500)) == 7);
}

TEST_CASE("each refused request gets a later retry time than those refused before")
{
    QuotaBucket bucket(begin, tenASecond, 0, 0);
    CHECK(*bucket.tryAcquire(begin) == milliseconds(100));
    CHECK(*bucket.tryAcquire(begin) == milliseconds(200));
    CHECK(*bucket.tryAcquire(begin) == milliseconds(300));
    CHECK(*bucket.tryAcquire(begin + milliseconds(90)) == milliseconds(310));
    // The retry times of all refused requests have passed.
    for (int request = 0; request < 5; ++request) {
        CHECK_FALSE(bucket.tryAcquire(begin + milliseconds(2000)));
    }
    CHECK(*bucket.tryAcquire(begin + milliseconds(2000)) == milliseconds(100));
}

TEST_CASE("lowering a quota drops tokens above the new capacity, and raising it adds none at once")
{
    QuotaBucket bucket(begin, tenASecond, 0, 5);
    bucket.setQuota(begin, {2, 1}, 0);
    CHECK(takeAll(bucket, begin) == 1);
    bucket.setQuota(begin, {100, 50}, 0);
    CHECK(takeAll(bucket, begin) == 0);
    CHECK(takeAll(bucket, begin + milliseconds(100)) == 10);
}

TEST_CASE("a zero quota refuses every request and still gives a retry time")
{
    QuotaBucket bucket(begin, {0, 0}, 0, 0);
    CHECK(*bucket.tryAcquire(begin) == std::chrono::seconds(60));
    CHECK(*bucket.tryAcquire(begin + std::chrono::hours(1)) == std::chrono::seconds(60));
}
