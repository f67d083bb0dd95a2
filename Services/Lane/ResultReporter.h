#pragma once

#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Lane/JobOwners.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Hands the results of items to their jobs' owners, several at a time, and keeps each until its owner says that it is
 * journalled.
 */
class ResultReporter
{
public:
    ResultReporter(
        EventLoop &loop, const SettingsHandle &settings, const SessionNumber &self, PeerClient &peers, const JobOwners &owners);
    ~ResultReporter();
    ResultReporter(const ResultReporter &) = delete;
    ResultReporter &operator=(const ResultReporter &) = delete;

    void add(ItemRecord result);

    /** @return whether every result is journalled. */
    bool isEmpty() const;

    /** @return items whose results are kept here, by job. */
    const std::map<JobId, std::set<std::uint32_t>> &items() const;

private:
    void flush();
    void send(const std::vector<ItemRecord> &results);
    void again(std::vector<ItemRecord> results);
    void answered(const std::vector<ItemRecord> &results, const CallResult<CommitItemsResponse> &result);

    EventLoop &loop;
    const SettingsHandle &settings;
    /** Of the lanes; it changes when this node has to begin again as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    /** Results to be sent at the next flush. */
    std::vector<ItemRecord> ready;
    std::map<JobId, std::set<std::uint32_t>> kept;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
