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

/** A run of results, and the object that describes it. */
struct LoadedRun
{
    std::string key;
    ResultRun run;
};

/**
 * Finds results that are not in memory any more. Keeps for each run its blocks' first and last ids and a filter, about two
 * bytes a result; the results themselves stay in the object store, and one read brings the block that holds an id.
 */
class ResultIndex
{
public:
    /** @param found gets whether the id is in a run (Absent is certain, Failed is not), and the result */
    using Looked = std::function<void(ReadOutcome, std::optional<ResultRecord>)>;

    explicit ResultIndex(ObjectStore &objects);
    ~ResultIndex();
    ResultIndex(const ResultIndex &) = delete;
    ResultIndex &operator=(const ResultIndex &) = delete;

    /** Add a run, younger than those there are. */
    void add(LoadedRun run);

    /** Put these runs in the place of all there are. */
    void replace(std::vector<LoadedRun> runs);

    /** @return the runs, oldest first. */
    const std::vector<LoadedRun> &runs() const;

    /** @return a number that changes whenever the runs do. */
    std::uint64_t generation() const;

    /** @return false if the id is certainly in no run. */
    bool mayContain(const RequestId &id) const;

    /** Look an id up in the runs, youngest first. */
    void find(const RequestId &id, Looked looked);

private:
    static const BlockEntry *blockOf(const ResultRun &run, const RequestId &id);
    void readNext(const std::shared_ptr<std::vector<std::string>> &blocks, const RequestId &id, Looked looked);

    ObjectStore &objects;
    std::vector<LoadedRun> loaded;
    std::uint64_t changes = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
