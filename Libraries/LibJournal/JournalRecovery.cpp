#include <LibJournal/JournalRecovery.h>

#include <LibBase/Encoding.h>
#include <LibBase/Log.h>
#include <LibJournal/JournalKeys.h>
#include <LibWire/Codec.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t rowsPerPage = 128;
constexpr std::size_t nonceBytes = 12;
constexpr std::chrono::milliseconds retryDelay{50};

} // namespace

JournalRecovery::JournalRecovery(
    Platform &platform, Scheduler &scheduler, SessionNumber sealer, SessionNumber session, GroupNumber first, GroupNumber last)
    : platform(platform), scheduler(scheduler), sealer(sealer), session(session), first(first), last(last)
{
}

void JournalRecovery::start(Recovered recovered)
{
    this->recovered = std::move(recovered);
    this->readPage();
}

bool JournalRecovery::isOpen() const
{
    return this->last.value() == 0;
}

std::uint64_t JournalRecovery::nextNumber() const
{
    return this->first.value() + this->groups.size();
}

void JournalRecovery::readPage()
{
    const std::string from = JournalKeys::group(this->session, GroupNumber(this->nextNumber()));
    const std::string to = this->isOpen() ? JournalKeys::groupsEnd(this->session)
                                          : JournalKeys::group(this->session, GroupNumber(this->last.value() + 1));
    this->platform.tables().readRange(from, to, rowsPerPage, [self = this->shared_from_this()](const RowsResult &result) {
        self->onRows(result);
    });
}

void JournalRecovery::onRows(const RowsResult &result)
{
    if (result.outcome != ReadOutcome::Found) {
        this->retry(&JournalRecovery::readPage);
        return;
    }
    bool isAdded = true;
    for (const Row &row : result.rows) {
        isAdded = this->addGroup(row);
        if (!isAdded) {
            break;
        }
    }
    this->atEnd = !isAdded || this->sealed || result.rows.size() < rowsPerPage;
    this->loadObjects();
}

bool JournalRecovery::addGroup(const Row &row)
{
    // The journal ends at the first absent row, even if there are rows after the gap. When several nodes take over
    // different shards of one owner, one of them may have sealed the journal after a group whose write is still in flight.
    // Reading past the gap would omit that group, while its writer could still acknowledge it.
    if (JournalKeys::groupOf(row.key).value() != this->nextNumber()) {
        return false;
    }
    auto group = decode<JournalGroup>(row.value);
    if (!group) {
        log(LogLevel::Error, "journal group cannot be decoded", {{"key", row.key}});
        return false;
    }
    if (group->sealedBy.value() != 0) {
        this->sealed = true;
        return false;
    }
    this->groups.push_back({GroupNumber(this->nextNumber()), std::move(*group)});
    return true;
}

void JournalRecovery::loadObjects()
{
    while (this->loaded < this->groups.size() && this->groups[this->loaded].group.objectKey.empty()) {
        ++this->loaded;
    }
    if (this->loaded == this->groups.size()) {
        this->finish();
        return;
    }
    const std::string &key = this->groups[this->loaded].group.objectKey;
    this->platform.objects().get(key, [self = this->shared_from_this()](const ObjectResult &result) {
        if (result.outcome == ReadOutcome::Absent) {
            // Objects are written before their rows, so an absent object was deleted after its row was read.
            self->report(false);
            return;
        }
        auto group = result.outcome == ReadOutcome::Found ? decode<JournalGroup>(result.content) : std::nullopt;
        if (!group) {
            self->retry(&JournalRecovery::loadObjects);
            return;
        }
        self->groups[self->loaded].group = std::move(*group);
        ++self->loaded;
        self->loadObjects();
    });
}

void JournalRecovery::finish()
{
    if (!this->atEnd) {
        this->readPage();
        return;
    }
    if (this->isOpen() && !this->sealed) {
        this->insertSeal();
        return;
    }
    this->report(this->isOpen() || this->nextNumber() > this->last.value());
}

void JournalRecovery::report(bool isComplete)
{
    // Computed before the groups are moved: an end computed from the empty list would close the span before its first
    // group, and the next owner would replay nothing.
    const GroupNumber end(this->nextNumber() - 1);
    this->recovered({std::move(this->groups), end, isComplete});
}

void JournalRecovery::insertSeal()
{
    JournalGroup seal;
    seal.nonce = randomHex(nonceBytes);
    seal.sealedBy = this->sealer;
    const std::string key = JournalKeys::group(this->session, GroupNumber(this->nextNumber()));
    this->platform.tables().insertIfAbsent(key, encode(seal), [self = this->shared_from_this()](WriteOutcome outcome) {
        if (outcome == WriteOutcome::Done) {
            self->sealed = true;
            self->finish();
            return;
        }
        // Refused: the owner wrote one more group, or another node sealed the journal. NotApplied: no seal was written.
        // Unknown: the seal may have been written. Reading from the same group number resolves all three cases.
        self->atEnd = false;
        self->retry(&JournalRecovery::readPage);
    });
}

void JournalRecovery::retry(void (JournalRecovery::*step)())
{
    this->scheduler.schedule(retryDelay, [self = this->shared_from_this(), step] {
        (self.get()->*step)();
    });
}

} // namespace Dogwoodkeel
