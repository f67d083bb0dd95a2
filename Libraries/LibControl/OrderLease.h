#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibPlatform/Platform.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * The right to give orders to the engines of a site: a row on the platform that its holder renews.
 *
 * No clocks are compared between nodes. The holder counts its lease from before it sent the renewal that took effect;
 * a node that wants it counts from when it first saw the row unchanged. So whoever takes over does so after the holder's
 * own lease has ended. The epoch in the row is the orders' fencing number: an engine that checks it refuses a holder that
 * was paused between its check and its send. For engines that do not check, the holder stops a margin before its lease
 * ends and a new one waits that margin, which covers orders on their way; one that is later still is corrected, because
 * orders state the whole intended state and are verified by the next report.
 */
class OrderLease
{
public:
    struct Options
    {
        std::string site;
        std::chrono::milliseconds lease{10000};
        std::chrono::milliseconds margin{2000};
    };

    OrderLease(Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber self, Options options);
    ~OrderLease();
    OrderLease(const OrderLease &) = delete;
    OrderLease &operator=(const OrderLease &) = delete;

    /** Begin to look at the row, and to take and renew it. */
    void start();

    /** @param rank place of this node among those that might hold it; the first three look often */
    void setRank(std::size_t rank);

    /** Another session of this node: what the former held is gone. */
    void setSession(SessionNumber session);

    /** @return whether orders may be sent at this moment; asked again before each one. */
    bool maySendOrders() const;

    /** @return the fencing number of orders, while mayOrder(). */
    std::uint64_t fence() const;

    /** @return the row as it was seen last. */
    const OrderLeaseRow &row() const;

    /**
     * Have the row say that orders are given by a version, before the first one is.
     * @return whether it does; false also if orders were given by a newer one, which this must not undo
     */
    bool ensureConfigVersion(std::uint64_t configVersion);

    /** Have the row remember which rollouts are stopped, from its next renewal on. */
    void setStoppedRollouts(std::vector<std::string> rollouts);

    /** An engine refused the fencing number: someone else holds the lease. */
    void lost();

    /** Give it up, as planned. */
    void release();

private:
    void look();
    void writeRelease(const RowResult &result);
    void lookLater();
    void onRead(const RowResult &result);
    void take(const OrderLeaseRow &current, std::optional<RowVersion> version);
    void renew(RowVersion version);
    void write(const OrderLeaseRow &row, std::optional<RowVersion> version);

    Platform &platform;
    Scheduler &scheduler;
    const Clock &clock;
    SessionNumber self;
    Options options;
    std::size_t rank = 0;
    OrderLeaseRow current;
    std::optional<RowVersion> seenVersion;
    SteadyTime seenSince{};
    bool held = false;
    SteadyTime validUntil{};
    SteadyTime orderFrom{};
    std::uint64_t wantedVersion = 0;
    std::optional<std::vector<std::string>> wantedStopped;
    bool releasing = false;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
