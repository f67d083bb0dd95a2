#pragma once

#include <LibGateway/ListStamp.h>
#include <LibGateway/RecentReplicas.h>
#include <LibGateway/ReplicaList.h>
#include <LibGateway/ReplicaRing.h>
#include <LibMembership/RelaySelector.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/ListConfirmation.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableFollower.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Keeps the replicas that register in the platform's store. A relay follows all of them, and requests them from another relay
 * while it does not reach the store: otherwise it would send requests to removed replicas, and none to new ones. Any other node
 * keeps a bounded set for each service that it receives from a relay, and learns of further replicas from the slots that a
 * dispatcher assigns.
 */
class ReplicaFollower
{
public:
    /** How the platform stores replicas, and how their rows are decoded. */
    struct Format
    {
        std::string table;
        std::function<std::optional<ServingReplica>(const std::string &key, std::string_view text)> decode;
        /** @return a random key from which a starting node reads a few entries, so that not all nodes read the same ones. */
        std::function<std::string(std::minstd_rand &)> sampleKey;
    };

    struct Hooks
    {
        std::function<void(const ReplicaChanges &)> changed;
        /** Called when a replica has restarted under the same name: all that is known of the former one is obsolete. */
        std::function<void(const ServingReplica &former)> restarted;
        /** Called when the store is lost, and when it is reached again. */
        std::function<void(bool isReached)> storeReached = [](bool) {};
        /** Called when a relay has not answered. */
        std::function<void(SessionNumber relay)> relayUnresponsive = [](SessionNumber) {};
        /** Called when replicas may have come and gone without having been in the list, before the changes are reported. */
        std::function<void()> historyLost = [] {};
    };

    struct Options
    {
        std::chrono::milliseconds storeWait{1000};
        LapseRules lapseRules;
        std::uint64_t seed = 0;
    };

    /** @param relays selects the relay to which requests for replicas are sent */
    ReplicaFollower(EventLoop &loop,
                    const Clock &clock,
                    RowStore &store,
                    PeerNetwork &peers,
                    RelaySelector &relays,
                    const Options &options,
                    Format format,
                    Hooks hooks);
    ~ReplicaFollower();
    ReplicaFollower(const ReplicaFollower &) = delete;
    ReplicaFollower &operator=(const ReplicaFollower &) = delete;

    /** Starts or stops following all replicas. */
    void setRelay(bool isRelay);

    /** Confirms that the list holds all replicas and all changes up to now. The handler is never called from inside this call. */
    void confirm(ListConfirmation::Handler handler);

    /** @return whether this node follows all replicas and has read the whole table. */
    bool isComplete() const;

    /** @return the replica of a slot that a dispatcher assigned, or nothing if it accepts no requests any more. */
    std::optional<ServingReplica> resolve(const ServingReplica &placed);

    /** @return the replica with an address, or null. */
    const ServingReplica *findAt(const Address &address) const;

    /** @return whether a list of replicas, perhaps an empty one, has been received. */
    bool isKnown() const;

    /** @return the replica with that instance name, or null if it is not in the list. */
    const ServingReplica *find(const EndpointName &instance) const;

    /** @return what is known of the entry of a replica at which a slot was assigned, for logs. */
    EntryState state(const EndpointName &instance) const;

    /** @return the number of replicas in the list; these are all replicas only if isComplete(). */
    std::size_t count() const;

    /** @return the number of entries that cannot be decoded to a usable replica. */
    std::size_t unreadableEntries() const;

    /** @return the time since the list was last confirmed by the store, directly or through another node. */
    std::chrono::milliseconds age() const;

    /** @return the version of the table up to which the list holds all changes; 0: unknown. */
    RowVersion listVersion() const;

    /** @return the replicas of a service, including draining ones. */
    std::vector<ServingReplica> ofService(const ServiceName &service) const;

private:
    std::optional<ServingReplica> decode(const StoredRow &row);
    void applySnapshot(const std::vector<StoredRow> &rows);
    void applyChange(const StoredRow &row);
    void applyRemovals();
    /** Reports that the history is lost if the store has not answered for long. */
    void checkHistory();
    ReplicaList::Hooks listHooks();
    void reportRestart(const ServingReplica &former);
    void publishChanges();
    void expire();
    void readSample();
    void readSampleFrom(const std::string &from, const std::string &to, std::vector<StoredRow> before);
    void applySample(const std::vector<StoredRow> &rows);
    void followAll();
    void watch();
    void watchStore();
    void requestAllRecords();
    void requestRecordSet();
    const Member *selectPeer();
    void requestRecords(const Member &peer, std::uint32_t maxPerService);
    void applyRecords(const ReplicaRecords &records);
    void applyAllRecords(const ReplicaRecords &records);
    void applyRecordSet(const ReplicaRecords &records);
    /** @param own how recent the list was that is replaced */
    void replaceList(const ReplicaRecords &records, const ListStamp &own);
    ReplicaRecords records(const ReplicaRecordsRequest &request) const;
    ReplicaRecords allRecords(const ReplicaRecordsRequest &request) const;
    ReplicaRecords selectedRecords(const ReplicaRecordsRequest &request) const;

    EventLoop &loop;
    const Clock &clock;
    RowStore &store;
    PeerNetwork &peers;
    RelaySelector &relays;
    Options options;
    std::minstd_rand random;
    Format format;
    Hooks hooks;
    ReplicaList list;
    /** Holds all replicas while this node follows them; selects the sets for other nodes. */
    ReplicaRing ring;
    RecentReplicas recent;
    /** Registered names of the entries that the answer being applied removes. */
    std::set<EndpointName> pendingRemovals;
    /** Registered names whose entries can't be decoded, so that each is logged once. */
    std::set<EndpointName> unreadable;
    /** Registered names of all entries in the table, while this node follows all replicas. */
    std::unordered_set<EndpointName> registeredNames;
    /** Time for which the machine had been suspended at the last answer of the store. */
    std::chrono::nanoseconds suspendedAtAnswer{0};
    bool isListKnown = false;
    /** Whether the first list, which may be empty, was published to the hooks. */
    bool hasReported = false;
    /** When this node began to follow all replicas. */
    SteadyTime followingSince{};
    bool hasLostStore = false;
    /** The version of the table of the last list received from a relay. */
    RowVersion reportedVersion = 0;
    /** Whether a request to another node is unanswered. */
    bool isRequestPending = false;
    SteadyTime nextRequest{};
    TimerId sampleTimer = 0;
    TimerId expiryTimer = 0;
    TimerId watchTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
    ListConfirmation confirmation;
};

} // namespace Dogwoodkeel
