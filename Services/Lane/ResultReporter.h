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
 * Sends the results of items to the owners of their jobs in batches, and keeps each result until its owner confirms that
 * it is journalled.
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

    /** @return the items whose results are not confirmed yet, by job. */
    const std::map<JobId, std::set<std::uint32_t>> &items() const;

private:
    void flush();
    void send(const std::vector<ItemRecord> &results);
    void retryLater(std::vector<ItemRecord> results);
    void handleResponse(const std::vector<ItemRecord> &results, const CallResult<CommitItemsResponse> &result);

    EventLoop &loop;
    const SettingsHandle &settings;
    /** Refers to the session number in LaneService, which changes when this node continues as another session. */
    const SessionNumber &self;
    PeerClient &peers;
    const JobOwners &owners;
    /** Results to be sent at the next flush. */
    std::vector<ItemRecord> pending;
    std::map<JobId, std::set<std::uint32_t>> unconfirmed;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
