#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibWire/Generated/Messages.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** A run of results, and the key of the object that describes it. */
struct LoadedRun
{
    std::string key;
    ResultRun run;
};

/**
 * Finds results that are no longer in memory. For each run, the index keeps the first and last ids of its blocks and a
 * filter of about two bytes per result. The results stay in the object store; one read loads the block that may hold an id.
 */
class ResultIndex
{
public:
    /** Receives whether the id is in a run (Absent is certain, Failed is not), and the result. */
    using LookedUp = std::function<void(ReadOutcome, std::optional<ResultRecord>)>;

    explicit ResultIndex(ObjectStore &objects);
    ~ResultIndex();
    ResultIndex(const ResultIndex &) = delete;
    ResultIndex &operator=(const ResultIndex &) = delete;

    /** Adds a run that is newer than all existing ones. */
    void add(LoadedRun run);

    /** Replaces all runs. */
    void replace(std::vector<LoadedRun> runs);

    /** @return the runs, oldest first. */
    const std::vector<LoadedRun> &runs() const;

    /** @return a number that changes whenever the runs change. */
    std::uint64_t generation() const;

    /** @return false if the id is certainly not in any run. */
    bool mayContain(const RequestId &id) const;

    /** Looks up an id in the runs, newest first. */
    void find(const RequestId &id, LookedUp lookedUp);

private:
    static const BlockEntry *blockOf(const ResultRun &run, const RequestId &id);
    void readNext(const std::shared_ptr<std::vector<std::string>> &blocks, const RequestId &id, LookedUp lookedUp);

    ObjectStore &objects;
    std::vector<LoadedRun> loaded;
    std::uint64_t changes = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
