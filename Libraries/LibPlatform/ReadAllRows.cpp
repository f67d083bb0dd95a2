#include <LibPlatform/ReadAllRows.h>

#include <memory>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

struct Reading
{
    RowRange range;
    RowRangeResult result;
    std::function<void(RowRangeResult)> done;
};

void readNext(RowStore &store, const std::shared_ptr<Reading> &reading)
{
    store.read(reading->range, [&store, reading](const RowRangeResult &part) {
        RowRangeResult &result = reading->result;
        const bool isFirst = result.outcome != ReadOutcome::Found;
        // A page with an older version than the first comes from a lagging copy of the store and is not consistent with the
        // first.
        if (part.outcome != ReadOutcome::Found || (!isFirst && part.version < result.version)) {
            reading->done({});
            return;
        }
        if (isFirst) {
            result.outcome = ReadOutcome::Found;
            result.version = part.version;
        }
        result.rows.insert(result.rows.end(), part.rows.begin(), part.rows.end());
        if (!part.isTruncated || part.rows.empty()) {
            reading->done(std::move(result));
            return;
        }
        reading->range.from = part.rows.back().key.key + '\0';
        readNext(store, reading);
    });
}

} // namespace

void readAllRows(RowStore &store, RowRange range, std::function<void(RowRangeResult)> done)
{
    const auto reading = std::make_shared<Reading>();
    reading->range = std::move(range);
    reading->done = std::move(done);
    readNext(store, reading);
}

} // namespace Dogwoodkeel
