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
 * Holds or competes for the exclusive right to send orders to the engines of a site. The lease is a row on the platform
 * that its holder renews.
 *
 * Clocks of different nodes are never compared. The holder measures its lease from before it sent the last successful
 * renewal; a candidate measures it from when it first read the current row version. So a takeover happens only after the
 * holder's own lease has expired. The epoch in the row is the fencing number of orders: an engine that checks it refuses
 * orders of a holder that was paused between its own check and the send. For engines that do not check it, the holder stops
 * a margin before its lease expires and a new holder waits for the same margin, which covers orders in flight. An order that
 * arrives even later is corrected, because orders contain the complete intended state and the next report verifies it.
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

    /** Starts reading the row, and acquiring and renewing the lease. */
    void start();

    /** Sets the rank. @param rank rank of this node among the candidates; the first three read the row more often */
    void setRank(std::size_t rank);

    /** Sets a new session of this node; a lease of the former session is no longer held. */
    void setSession(SessionNumber session);

    /** @return whether orders may be sent at this moment; must be checked before each order. */
    bool maySendOrders() const;

    /** @return the fencing number of orders; valid while maySendOrders() is true. */
    std::uint64_t fence() const;

    /** @return the row as it was last read or written. */
    const OrderLeaseRow &row() const;

    /**
     * Requests that the row records a configuration version, before the first order of that version is sent.
     * @return whether the row records this version; false also if it records a newer one, which must not be undone
     */
    bool ensureConfigVersion(std::uint64_t configVersion);

    /** Sets the stopped rollouts, which the next renewal writes to the row. */
    void setStoppedRollouts(std::vector<std::string> rollouts);

    /** Marks the lease as lost, because an engine refused the fencing number and another node holds the lease. */
    void markLost();

    /** Releases the lease and stops competing for it. */
    void release();

private:
    void readRow();
    void writeRelease(const RowResult &result);
    void scheduleRead();
    void onRead(const RowResult &result);
    void acquire(const OrderLeaseRow &current, std::optional<RowVersion> version);
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
    SteadyTime ordersFrom{};
    std::uint64_t requestedVersion = 0;
    std::optional<std::vector<std::string>> requestedStopped;
    bool releasing = false;
    TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
