#include <LibJournal/WritePace.h>

#include <algorithm>
#include <cmath>

namespace Dogwoodkeel
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Share of the budget that group commits may use. */
constexpr double journalShare = 0.75;
/** Min writes per second of one journal. Below it records wait too long, so fewer nodes hold journals. */
constexpr double minJournalWritesPerSecond = 8;
/** Time constant of the moving average of the record rate. */
constexpr Seconds averagingTime{0.5};

SteadyTime after(SteadyTime time, Seconds wait)
{
    return time + std::chrono::ceil<SteadyTime::duration>(wait);
}

} // namespace

WritePace::WritePace(Options options) : options(options), tokens(this->capacity())
{
}

double WritePace::capacity() const
{
    return std::max(2.0, this->options.writesPerSecond * Seconds(this->options.burst).count());
}

double WritePace::tokensAt(SteadyTime now) const
{
    const double earned = Seconds(now - this->tokensSince).count() * this->options.writesPerSecond;
    return std::min(this->capacity(), this->tokens + earned);
}

void WritePace::setWritesPerSecond(double rate, SteadyTime now)
{
    this->tokens = this->tokensAt(now);
    this->tokensSince = now;
    this->options.writesPerSecond = rate;
    this->tokens = std::min(this->tokens, this->capacity());
}

void WritePace::recordAdded(SteadyTime now)
{
    const Seconds since = now - this->lastRecord;
    this->recordRate = this->recordRate * std::exp(-since / averagingTime) + 1.0 / averagingTime.count();
    this->lastRecord = now;
}

void WritePace::writeStarted(SteadyTime now, double writes)
{
    this->tokens = this->tokensAt(now) - writes;
    this->tokensSince = now;
    this->lastStart = now;
}

SteadyTime WritePace::nextStart(SteadyTime now) const
{
    SteadyTime earliest = std::max(now, this->lastStart + this->options.minInterval);
    const bool isGathering = this->recordRate * Seconds(this->options.gatherTime).count() >= this->options.minGatherRecords;
    if (isGathering) {
        earliest = std::max(earliest, this->lastStart + this->options.gatherTime);
    }
    const double missing = 1.0 - this->tokensAt(now);
    if (missing > 0) {
        earliest = std::max(earliest, after(now, Seconds(missing / this->options.writesPerSecond)));
    }
    return earliest;
}

double journalWritesPerSecond(double writesPerSecond, std::size_t journals)
{
    return writesPerSecond * journalShare / static_cast<double>(std::max<std::size_t>(journals, 1));
}

std::size_t maxJournals(double writesPerSecond)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(writesPerSecond * journalShare / minJournalWritesPerSecond));
}

} // namespace Dogwoodkeel
