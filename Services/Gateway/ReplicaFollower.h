#pragma once

#include <LibGateway/RecentReplicas.h>
#include <LibGateway/ReplicaList.h>
#include <LibGateway/ReplicaRing.h>
#include <LibMembership/RelayPicker.h>
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
 * Knows the replicas that register in the platform's store. A relay follows all of them, and asks the other nodes while it does
 * not reach the store: without it, it would send requests to replicas that are gone, and to none of the new ones. Any other node
 * knows a bounded set of each service that a relay gives it, and learns of others with the places that a dispatcher gives.
 */
class ReplicaFollower
{
public:
    /** How a row of the platform becomes a replica. */
    struct Format
    {
        std::string table;
        std::function<std::optional<ServingReplica>(const std::string &key, std::string_view text)> decode;
        /** @return a key from which a node that has just started reads a few entries: not all nodes the same ones. */
        std::function<std::string(std::minstd_rand &)> sampleKey;
    };

    struct Hooks
    {
        std::function<void(const ReplicaChanges &)> changed;
        /** A replica has started again under its name: nothing that is known of the one before holds. */
        std::function<void(const ServingReplica &former)> restarted;
        /** The store is lost, or reached again. */
        std::function<void(bool isReached)> storeReached = [](bool) {};
        /** A relay did not answer. */
        std::function<void(SessionNumber relay)> relaySilent = [](SessionNumber) {};
    };

    struct Options
    {
        std::chrono::milliseconds storeWait{1000};
        /** How long after the store's return an entry that lapsed is kept. */
        std::chrono::milliseconds lapsedKept{2500};
        std::uint64_t seed = 0;
    };

    /** @param relays whom to ask unless this node is a relay itself */
    ReplicaFollower(EventLoop &loop,
                    const Clock &clock,
                    RowStore &store,
                    PeerNetwork &peers,
                    RelayPicker &relays,
                    const Options &options,
                    Format format,
                    Hooks hooks);
    ~ReplicaFollower();
    ReplicaFollower(const ReplicaFollower &) = delete;
    ReplicaFollower &operator=(const ReplicaFollower &) = delete;

    /** Begin or end to follow all replicas. */
    void setRelay(bool isRelay);

    /** @return whether all replicas are known, and followed. */
    bool isComplete() const;

    /** @return the replica of a place that was given, or nothing if it takes no requests any more. */
    std::optional<ServingReplica> resolve(const ServingReplica &placed);

    /** @return the replica with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return whether the list has been read once. */
    bool isKnown() const;

    /** @return the replica of that instance, or null if it is not listed any more. */
    const ServingReplica *find(const EndpointName &instance) const;

    /** @return how many replicas are known; all only where isWhole(). */
    std::size_t count() const;

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
    void readSample();
    void readSampleFrom(const std::string &from, const std::string &to, std::vector<StoredRow> before);
    void takeSample(const std::vector<StoredRow> &rows);
    void followAll();
    void watch();
    void watchStore();
    void askPeer();
    void askRelay();
    const Member *peerToAsk();
    void ask(const Member &peer, std::uint32_t mostOfService);
    void takePeer(const ReplicaRecords &records);
    void takeWhole(const ReplicaRecords &records);
    void takeSet(const ReplicaRecords &records);
    void takeList(const ReplicaRecords &records);
    ReplicaRecords records(const ReplicaRecordsRequest &request) const;
    ReplicaRecords wholeRecords(const ReplicaRecordsRequest &request) const;
    ReplicaRecords chosenRecords(const ReplicaRecordsRequest &request) const;

    EventLoop &loop;
    const Clock &clock;
    RowStore &store;
    PeerNetwork &peers;
    RelayPicker &relays;
    Options options;
    std::minstd_rand random;
    Format format;
    Hooks hooks;
    ReplicaList list;
    /** Of all replicas, where this node follows them. */
    ReplicaRing ring;
    RecentReplicas recent;
    /** Registered names whose entries can't be read; each is told once. */
    std::set<EndpointName> unreadable;
    bool known = false;
    /** Whether the first list was told, which may be empty. */
    bool hasReported = false;
    /** When the store, or a node that it answered, last told the list. */
    SteadyTime lastReported{};
    bool hasLostStore = false;
    /** Up to which version of the table a relay has told. */
    RowVersion reportedVersion = 0;
    /** Whether another node was asked and has not answered. */
    bool isAsking = false;
    SteadyTime nextQuestion{};
    TimerId sampleTimer = 0;
    TimerId expiryTimer = 0;
    TimerId watchTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
};

} // namespace Dogwoodkeel
