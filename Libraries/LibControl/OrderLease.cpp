#include <LibControl/OrderLease.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t candidateCount = 3;
/** Interval at which nodes that are not candidates read the row, in lease durations. */
constexpr int leasesPerRareRead = 3;
constexpr int renewalsPerLease = 3;

std::string keyOf(const std::string &site)
{
    return "orders/" + site;
}

} // namespace

OrderLease::OrderLease(Platform &platform, Scheduler &scheduler, const Clock &clock, SessionNumber self, Options options)
    : platform(platform), scheduler(scheduler), clock(clock), self(self), options(std::move(options))
{
}

OrderLease::~OrderLease()
{
    *this->alive = false;
    this->scheduler.cancel(this->timer);
}

void OrderLease::start()
{
    this->readRow();
}

void OrderLease::setRank(std::size_t rank)
{
    this->rank = rank;
}

void OrderLease::setSession(SessionNumber session)
{
    this->self = session;
    this->held = false;
    this->releasing = false;
    this->scheduleRead();
}

bool OrderLease::maySendOrders() const
{
    const SteadyTime now = this->clock.now();
    return this->held && !this->releasing && now >= this->ordersFrom && now < this->validUntil - this->options.margin;
}

std::uint64_t OrderLease::fence() const
{
    return this->current.epoch;
}

const OrderLeaseRow &OrderLease::row() const
{
    return this->current;
}

bool OrderLease::ensureConfigVersion(std::uint64_t configVersion)
{
    if (configVersion > this->requestedVersion) {
        this->requestedVersion = configVersion;
        this->readRow();
    }
    return this->current.configVersion == configVersion;
}

void OrderLease::setStoppedRollouts(std::vector<std::string> rollouts)
{
    this->requestedStopped = std::move(rollouts);
}

void OrderLease::markLost()
{
    this->held = false;
}

void OrderLease::release()
{
    this->releasing = true;
    if (!std::exchange(this->held, false)) {
        return;
    }
    this->platform.tables().read(keyOf(this->options.site), [this, alive = this->alive](const RowResult &result) {
        if (*alive) {
            this->writeRelease(result);
        }
    });
}

void OrderLease::writeRelease(const RowResult &result)
{
    auto row = result.outcome == ReadOutcome::Found ? decode<OrderLeaseRow>(result.row.value) : std::nullopt;
    if (!row || row->holder != this->self) {
        return;
    }
    row->holder = SessionNumber(0);
    const std::string key = keyOf(this->options.site);
    this->platform.tables().transact({{{key, result.row.version}}, {{key, encode(*row)}}}, [](WriteOutcome) {});
}

void OrderLease::readRow()
{
    this->platform.tables().read(keyOf(this->options.site), [this, alive = this->alive](const RowResult &result) {
        if (*alive && !this->releasing) {
            this->onRead(result);
        }
    });
}

void OrderLease::scheduleRead()
{
    const auto renewalInterval = this->options.lease / renewalsPerLease;
    const bool isCandidate = this->held || this->rank < candidateCount;
    this->scheduler.cancel(this->timer);
    this->timer = this->scheduler.schedule(isCandidate ? renewalInterval : this->options.lease * leasesPerRareRead, [this] {
        this->readRow();
    });
}

void OrderLease::onRead(const RowResult &result)
{
    this->scheduleRead();
    if (result.outcome == ReadOutcome::Failed) {
        // Nothing is known about the row. A holder's lease expires by its own clock.
        return;
    }
    if (result.outcome == ReadOutcome::Absent) {
        this->acquire({}, std::nullopt);
        return;
    }
    const auto row = decode<OrderLeaseRow>(result.row.value);
    if (!row) {
        log(LogLevel::Error, "lease of orders cannot be decoded, not acquiring it", {{"site", this->options.site}});
        return;
    }
    const SteadyTime now = this->clock.now();
    if (this->seenVersion != result.row.version) {
        this->seenVersion = result.row.version;
        this->seenSince = now;
    }
    this->current = *row;
    const bool isOwn = row->holder == this->self;
    if (!isOwn) {
        this->held = false;
    }
    if (isOwn && this->held) {
        this->renew(result.row.version);
        return;
    }
    // If the row names this session but the lease is not held, the response to the acquiring write was lost. The lease is
    // acquired again with the next epoch, after the lease that the lost write may have started has expired.
    const bool hasExpired = now - this->seenSince >= this->options.lease;
    if (row->holder == SessionNumber(0) || hasExpired) {
        this->acquire(*row, result.row.version);
    }
}

void OrderLease::acquire(const OrderLeaseRow &current, std::optional<RowVersion> version)
{
    OrderLeaseRow row = current;
    row.holder = this->self;
    row.renewals = 0;
    ++row.epoch;
    this->write(row, version);
}

void OrderLease::renew(RowVersion version)
{
    OrderLeaseRow row = this->current;
    ++row.renewals;
    row.configVersion = std::max(row.configVersion, this->requestedVersion);
    row.stopped = this->requestedStopped.value_or(row.stopped);
    this->write(row, version);
}

void OrderLease::write(const OrderLeaseRow &row, std::optional<RowVersion> version)
{
    const SteadyTime sent = this->clock.now();
    const std::string key = keyOf(this->options.site);
    const bool isAcquiring = row.renewals == 0;
    const auto done = [this, row, sent, isAcquiring, alive = this->alive](WriteOutcome outcome) {
        if (!*alive || this->releasing) {
            return;
        }
        if (outcome == WriteOutcome::Refused) {
            this->held = false;
        }
        if (outcome != WriteOutcome::Done || row.holder != this->self) {
            return;
        }
        this->current = row;
        this->validUntil = sent + this->options.lease;
        if (isAcquiring) {
            this->held = true;
            this->ordersFrom = this->clock.now() + this->options.margin;
            log(LogLevel::Info,
                "lease of orders acquired",
                {{"site", this->options.site}, {"epoch", static_cast<std::int64_t>(row.epoch)}});
        }
    };
    this->platform.tables().transact({{{key, version}}, {{key, encode(row)}}}, done);
}

} // namespace Dogwoodkeel
