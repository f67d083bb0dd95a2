#include <LibControl/ConfigurationWriter.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

ApplyResult invalid(Findings findings)
{
    return {ApplyOutcome::Invalid, {}, std::move(findings)};
}

const ConfigurationRow *find(const ConfigurationRows &read, std::uint64_t number)
{
    const auto found = std::ranges::find(read.rows, number, &ConfigurationRow::number);
    return found != read.rows.end() ? &*found : nullptr;
}

} // namespace

ConfigurationWriter::ConfigurationWriter(ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, Options options)
    : store(store), scheduler(scheduler), clock(clock), options(std::move(options))
{
}

ConfigurationWriter::~ConfigurationWriter()
{
    *this->alive = false;
}

void ConfigurationWriter::apply(ConfigurationProposal proposal, Applied applied)
{
    Findings findings;
    checkConfiguration(proposal.content, proposal.access, findings);
    if (proposal.nonce.empty()) {
        findings.add({"request", 0, 0}, "the nonce is missing");
    }
    if (!findings.isEmpty()) {
        applied(invalid(std::move(findings)));
        return;
    }
    const auto attempt = std::make_shared<Attempt>();
    attempt->row.number = proposal.edited + 1;
    attempt->row.nonce = std::move(proposal.nonce);
    attempt->row.author = std::move(proposal.author);
    attempt->row.reason = std::move(proposal.reason);
    attempt->row.created = this->clock.wallNow();
    attempt->parts = packContent(proposal.content, this->options.rowBytes, attempt->row);
    if (this->options.isStored) {
        std::erase_if(attempt->parts, [this](const auto &part) {
            return this->options.isStored(part.first);
        });
    }
    attempt->applied = std::move(applied);
    attempt->deadline = this->clock.now() + this->options.timeout;
    this->readRow(attempt);
}

void ConfigurationWriter::readRow(const AttemptPointer &attempt)
{
    this->store.readPair(attempt->row.number, [this, attempt, alive = this->alive](const ConfigurationRows &read) {
        if (*alive) {
            this->onRowsRead(attempt, read);
        }
    });
}

void ConfigurationWriter::onRowsRead(const AttemptPointer &attempt, const ConfigurationRows &read)
{
    if (read.outcome != ReadOutcome::Found) {
        this->retryLater(attempt, &ConfigurationWriter::readRow);
        return;
    }
    if (const ConfigurationRow *const existing = find(read, attempt->row.number)) {
        const bool isOwn = existing->nonce == attempt->row.nonce;
        finish(attempt, isOwn ? ApplyOutcome::Accepted : ApplyOutcome::Raced, *existing);
        return;
    }
    const std::uint64_t edited = attempt->row.number - 1;
    if (edited > 0 && find(read, edited) == nullptr) {
        // Rows are never removed, so if the edited version exists and the next one is absent, there is no later version.
        // Without the edited version, an insert could leave a gap in the numbers, and two operators could both succeed.
        Findings findings;
        findings.add({"request", 0, 0}, "there is no version " + std::to_string(edited) + " to have been edited");
        attempt->applied(invalid(std::move(findings)));
        return;
    }
    this->writeParts(attempt);
}

void ConfigurationWriter::writeParts(const AttemptPointer &attempt)
{
    if (attempt->parts.empty()) {
        this->insert(attempt);
        return;
    }
    const auto &[key, content] = *attempt->parts.begin();
    this->store.writePart(key, content, [this, attempt, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        if (outcome != WriteOutcome::Done) {
            this->retryLater(attempt, &ConfigurationWriter::writeParts);
            return;
        }
        attempt->parts.erase(attempt->parts.begin());
        this->writeParts(attempt);
    });
}

void ConfigurationWriter::insert(const AttemptPointer &attempt)
{
    this->store.insert(attempt->row, [this, attempt, alive = this->alive](WriteOutcome outcome) {
        if (!*alive) {
            return;
        }
        switch (outcome) {
        case WriteOutcome::Done:
            finish(attempt, ApplyOutcome::Accepted, attempt->row);
            return;
        case WriteOutcome::Refused:
            // The row exists. It may be this attempt's own, from an earlier insert whose response was lost.
            this->readRow(attempt);
            return;
        case WriteOutcome::NotApplied:
            this->retryLater(attempt, &ConfigurationWriter::readRow);
            return;
        case WriteOutcome::Unknown:
            attempt->mayBeInserted = true;
            this->retryLater(attempt, &ConfigurationWriter::readRow);
            return;
        }
    });
}

void ConfigurationWriter::retryLater(const AttemptPointer &attempt, void (ConfigurationWriter::*step)(const AttemptPointer &))
{
    if (this->clock.now() >= attempt->deadline) {
        finish(attempt, attempt->mayBeInserted ? ApplyOutcome::Unknown : ApplyOutcome::NotApplied);
        return;
    }
    this->scheduler.schedule(this->options.retry, [this, attempt, step, alive = this->alive] {
        if (*alive) {
            (this->*step)(attempt);
        }
    });
}

void ConfigurationWriter::finish(const AttemptPointer &attempt, ApplyOutcome outcome, ConfigurationRow row)
{
    attempt->applied({outcome, std::move(row), {}});
}

} // namespace Dogwoodkeel
