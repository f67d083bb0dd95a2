#include <Services/Owner/ShardState.h>

#include <LibBase/Log.h>
#include <LibWire/Codec.h>

namespace Dogwoodkeel
{

namespace
{

template <typename Record, typename Table>
void replayInto(Table &table, const JournalRecord &record)
{
    if (const auto decoded = decode<Record>(record.payload)) {
        if constexpr (requires { table.replay(*decoded); }) {
            table.replay(*decoded);
        } else {
            table.apply(*decoded);
        }
        return;
    }
    log(LogLevel::Error, "journal record cannot be decoded, skipped in replay", {{"kind", std::string(toString(record.kind))}});
}

} // namespace

void ShardState::replay(const JournalRecord &record)
{
    switch (record.kind) {
    case RecordKind::Intent:
        replayInto<IntentRecord>(this->requests, record);
        return;
    case RecordKind::Withdraw:
        replayInto<WithdrawRecord>(this->requests, record);
        return;
    case RecordKind::Result:
        replayInto<ResultRecord>(this->requests, record);
        return;
    case RecordKind::Job:
        replayInto<JobRecord>(this->jobs, record);
        return;
    case RecordKind::Item:
        replayInto<ItemRecord>(this->jobs, record);
        return;
    case RecordKind::Cancel:
        replayInto<CancelRecord>(this->jobs, record);
        return;
    case RecordKind::Page:
        replayInto<PageRecord>(this->jobs, record);
        return;
    }
}

} // namespace Dogwoodkeel
