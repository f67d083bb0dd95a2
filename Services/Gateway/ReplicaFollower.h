#pragma once

#include <LibGateway/ReplicaList.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableFollower.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Follows the replicas that register in the platform's store. A node that does not reach the store asks the others for what
 * they know: without it, it would send requests to replicas that are gone, and to none of the new ones.
 */
class ReplicaFollower
{
public:
    /** How a row of the platform becomes a replica. */
    struct Format
    {
        std::string table;
        std::function<std::optional<ServingReplica>(const std::string &key, std::string_view text)> decode;
    };

    struct Hooks
    {
        std::function<void(const ReplicaChanges &)> changed;
        /** A replica has started again under its name: nothing that is known of the one before holds. */
        std::function<void(const ServingReplica &former)> restarted;
        /** The store is lost, or reached again. */
        std::function<void(bool isReached)> storeReached = [](bool) {};
    };

    struct Options
    {
        std::chrono::milliseconds storeWait{1000};
        /** How long after the store's return an entry that lapsed is kept. */
        std::chrono::milliseconds lapsedKept{2500};
        std::uint64_t seed = 0;
    };

    ReplicaFollower(EventLoop &loop,
                    const Clock &clock,
                    RowStore &store,
                    PeerNetwork &peers,
                    const Options &options,
                    Format format,
                    Hooks hooks);
    ~ReplicaFollower();
    ReplicaFollower(const ReplicaFollower &) = delete;
    ReplicaFollower &operator=(const ReplicaFollower &) = delete;

    /** @return the replica with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return whether the list has been read once. */
    bool isKnown() const;

    /** @return the replica of that instance, or null if it is not listed any more. */
    const ServingReplica *find(const EndpointName &instance) const;

    /** @return entries of the list that name no replica to use. */
    std::size_t unreadableEntries() const;

    /** @return how long ago the store, or a node that it answered, last told the list. */
    std::chrono::milliseconds age() const;

    /** @return the replicas of a service, draining ones among them. */
    std::vector<ServingReplica> ofService(const ServiceName &service) const;

private:
    std::optional<ServingReplica> decode(const StoredRow &row);
    void takeAll(const std::vector<StoredRow> &rows);
    void takeChange(const StoredRow &row);
    void takeRestart(const ServingReplica &former);
    void tellChanges();
    void expire();
    void watchStore();
    void askPeer();
    void takePeer(const ReplicaRecords &records);
    ReplicaRecords records(const ReplicaRecordsRequest &request) const;

    EventLoop &loop;
    const Clock &clock;
    PeerNetwork &peers;
    std::minstd_rand random;
    Format format;
    Hooks hooks;
    ReplicaList list;
    /** Registered names whose entries can't be read; each is told once. */
    std::set<EndpointName> unreadable;
    bool known = false;
    /** Whether the first list was told, which may be empty. */
    bool hasReported = false;
    /** When the store, or a node that it answered, last told the list. */
    SteadyTime lastReported{};
    bool hasLostStore = false;
    TimerId expiryTimer = 0;
    TimerId watchTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
};

} // namespace Dogwoodkeel
