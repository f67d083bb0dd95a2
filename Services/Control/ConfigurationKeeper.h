#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Scheduler.h>
#include <LibControl/ConfigurationStore.h>
#include <LibSettings/SettingsHandle.h>
#include <LibSettings/SettingsLoader.h>
#include <LibWire/Generated/Messages.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Follows the chain of configuration versions and puts each into force on this node.
 *
 * The content of a number never changes, because its row is inserted only if absent. So nodes need to agree only on the
 * newest number, and the number in force at a node never decreases. A node receives numbers by gossip, and by checking the
 * platform, which all nodes together do at a bounded rate; this finds an insert whose writer died before publishing it.
 * Rows and parts are fetched from a peer that has the version. So a change costs the platform a few reads instead of one
 * per node, and spreads while the platform is down. The platform is queried when the peer does not answer.
 */
class ConfigurationKeeper
{
public:
    struct Options
    {
        std::string site;
        /** The VM's own files, flags last. */
        std::vector<SettingsSource> ownFiles;
        /** The settings in force as long as no version was ever accepted. */
        SettingsPointer ownSettings;
        /** Interval at which all nodes together check the platform: each node waits this long times the number of members. */
        std::chrono::milliseconds checkIntervalPerMember{100};
        /** Minimum interval between the checks of one node. */
        std::chrono::milliseconds minCheckInterval{500};
        /** Delay before a failed operation is retried. */
        std::chrono::milliseconds retry{100};
    };

    /** A node from which versions can be fetched instead of from the platform. */
    struct Peer
    {
        Address address;
        /** The newest version that it reported. */
        std::uint64_t version = 0;
    };

    template <typename Response>
    using Answered = std::function<void(std::optional<Response>)>;

    /** Callbacks to peers and to the tasks of this node. */
    struct Hooks
    {
        std::function<void(const Address &, Answered<ConfigurationResponse>)> queryPeer;
        std::function<void(const Address &, const std::string &key, Answered<ConfigurationPartResponse>)> queryPeerForPart;
        /** Makes every task swap its settings; done is called when all of them have. */
        std::function<void(SettingsPointer, std::uint64_t number, std::function<void()> done)> putInForce;
        /** Called with each number that all tasks of this node have put into force. */
        std::function<void(std::uint64_t)> onInForce;
    };

    ConfigurationKeeper(
        ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, std::uint64_t seed, Options options, Hooks hooks);
    ~ConfigurationKeeper();
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    ConfigurationKeeper &operator=(const ConfigurationKeeper &) = delete;

    /**
     * Queries the platform, and the peers as they become known.
     * @param learnt called once, as soon as the platform has reported the newest number and that version, or a newer one,
     *     is loaded. Until then the node must not serve: its own files, or the version of a peer that is behind, may be
     *     older than a version that this VM had in force before a restart. A node needs the platform to start anyway,
     *     for its session number.
     */
    void start(std::function<void(SettingsPointer)> learnt);

    /** Puts newer versions into force from now on; called once the tasks exist. */
    void follow();

    /** Sets the other known nodes, without this one. */
    void setPeers(std::vector<Peer> peers);

    /** Adopts a version that was inserted through this node, or is known to be accepted. */
    void adopt(const ConfigurationRow &row, const ConfigurationContent &content);

    ConfigurationResponse respond(const ConfigurationRequest &request) const;
    ConfigurationPartResponse respond(const ConfigurationPartRequest &request) const;

    /** @return the number in force in all tasks. */
    std::uint64_t inForce() const;
    /** @return the newest number known. */
    std::uint64_t seen() const;
    /** @return why the newest version is not in force; empty if there is no obstacle. */
    const std::string &obstacle() const;
    /** @return the row in force, or that of the newest version held; its number is 0 if there is none. */
    const ConfigurationRow &row() const;
    /** @return its content. */
    const ConfigurationContent &content() const;
    /** @return whether a part belongs to the version held. If so it is on the platform, because parts are written before the row.
     */
    bool holdsPart(const std::string &key) const;
    /** @return the settings that were loaded last. */
    const SettingsPointer &settings() const;
    /** @return whether the platform answered the last query. */
    bool isPlatformAnswering() const;

private:
    /** A version that is being fetched. */
    struct Fetch
    {
        ConfigurationRow row;
        ConfigurationPartMap parts;
        /** The peer that it is fetched from; empty for the platform. */
        std::optional<Address> from;
    };

    void checkPlatform();
    void onChecked(const ConfigurationRows &read);
    void scheduleCheck();
    void receive(std::uint64_t number);
    void fetch();
    void fetchRowFromPeer(const Address &peer);
    void fetchRowFromPlatform();
    void fetchParts(const std::shared_ptr<Fetch> &fetch);
    void onPart(const std::shared_ptr<Fetch> &fetch, const std::string &key, std::optional<std::string> content);
    void fetchFailed();
    void hold(const ConfigurationRow &row, ConfigurationPartMap parts);
    void load();
    void onNoVersion();
    void recordPlatformNumber(std::uint64_t number);
    void finishLearning();
    void putInForce();
    const Peer *selectPeer(std::uint64_t number);

    ConfigurationStore &store;
    Scheduler &scheduler;
    const Clock &clock;
    Options options;
    Hooks hooks;
    std::mt19937_64 random;
    std::function<void(SettingsPointer)> learnt;
    std::vector<Peer> peers;

    /** The newest number in the platform's first answer. */
    std::optional<std::uint64_t> platformNumber;
    /** Whether a version is held, or the platform has reported that there is none. */
    bool known = false;
    ConfigurationRow held;
    ConfigurationPartMap heldParts;
    ConfigurationContent heldContent;
    SettingsPointer loaded;
    std::uint64_t loadedNumber = 0;
    std::uint64_t number = 0;
    std::uint64_t newest = 0;
    std::string reason;
    bool platformAnswers = false;
    bool fetching = false;
    bool following = false;
    bool putting = false;
    /** Whether the platform is queried next. Peers and platform alternate as long as fetching fails. */
    bool isPlatformNext = false;
    TimerId checkTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
