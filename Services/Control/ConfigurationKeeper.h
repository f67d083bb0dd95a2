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
 * A number has one content for ever, because its row was inserted if absent; so the newest number seen is all that has
 * to be agreed, and a node only ever goes up. It hears of numbers by gossip and, all nodes together at a bounded rate,
 * by looking at the platform: an insert whose writer died before telling anyone is found that way. Rows and parts come
 * from the peer that told of them, so that a change costs the platform a few reads and not one per node, and so that it
 * spreads while the platform is down; the platform is asked when the peer does not answer.
 */
class ConfigurationKeeper
{
public:
    struct Options
    {
        std::string site;
        /** The VM's own files, flags last. */
        std::vector<SettingsSource> ownFiles;
        /** What applies while no version was ever accepted. */
        SettingsPointer ownSettings;
        /** All nodes together look at the platform this often: each waits this long times the number of members. */
        std::chrono::milliseconds lookPerMember{100};
        /** Each node looks at most this often. */
        std::chrono::milliseconds leastLook{500};
        /** Between two tries of what failed. */
        std::chrono::milliseconds retry{100};
    };

    /** Where a version can be had, beside the platform. */
    struct Peer
    {
        Address address;
        /** The newest version that it was heard to have. */
        std::uint64_t version = 0;
    };

    template <typename Response>
    using Answered = std::function<void(std::optional<Response>)>;

    /** How it reaches others. */
    struct Hooks
    {
        std::function<void(const Address &, Answered<ConfigurationResponse>)> askPeer;
        std::function<void(const Address &, const std::string &key, Answered<ConfigurationPartResponse>)> askPeerForPart;
        /** Have every task swap its settings; done is told when all of them have. */
        std::function<void(SettingsPointer, std::uint64_t number, std::function<void()> done)> putInForce;
        /** Told of each number that all tasks of this node work by. */
        std::function<void(std::uint64_t)> onInForce;
    };

    ConfigurationKeeper(
        ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, std::uint64_t seed, Options options, Hooks hooks);
    ~ConfigurationKeeper();
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    ConfigurationKeeper &operator=(const ConfigurationKeeper &) = delete;

    /**
     * Ask the platform, and the peers as they become known.
     * @param learnt told once, as soon as the platform has told the newest number and that version, or a newer one, is
     *     loaded. Until then the node must not serve: what its own files say, and what a peer has that is behind, may be
     *     older than a version that this VM had in force before a restart. A node needs the platform to start anyway,
     *     for its session number.
     */
    void start(std::function<void(SettingsPointer)> learnt);

    /** The tasks are there: put newer versions into force from now on. */
    void follow();

    /** Other nodes as they are known now, without this one. */
    void setPeers(std::vector<Peer> peers);

    /** A version was inserted through this node, or is known to be accepted. */
    void adopt(const ConfigurationRow &row, const ConfigurationContent &content);

    ConfigurationResponse respond(const ConfigurationRequest &request) const;
    ConfigurationPartResponse respond(const ConfigurationPartRequest &request) const;

    /** @return the number that all tasks work by. */
    std::uint64_t inForce() const;
    /** @return the newest number heard of. */
    std::uint64_t seen() const;
    /** @return why the newest one is not in force; empty if nothing is in the way. */
    const std::string &obstacle() const;
    /** @return the row in force, or that of the newest version held; number 0 without any. */
    const ConfigurationRow &row() const;
    /** @return its content. */
    const ConfigurationContent &content() const;
    /** @return whether a part belongs to the version held: it is on the platform then, written before its row. */
    bool holdsPart(const std::string &key) const;
    /** @return the settings that were loaded last. */
    const SettingsPointer &settings() const;
    /** @return whether the platform answered when it was last asked. */
    bool isPlatformAnswering() const;

private:
    /** A version on its way here. */
    struct Fetch
    {
        ConfigurationRow row;
        ConfigurationPartMap parts;
        /** The peer it comes from; nothing: the platform. */
        std::optional<Address> from;
    };

    void look();
    void onLooked(const ConfigurationRows &read);
    void scheduleLook();
    void receive(std::uint64_t number);
    void fetch();
    void fetchRowFromPeer(const Address &peer);
    void fetchRowFromPlatform();
    void fetchParts(const std::shared_ptr<Fetch> &fetch);
    void onPart(const std::shared_ptr<Fetch> &fetch, const std::string &key, std::optional<std::string> content);
    void fetchFailed();
    void hold(const ConfigurationRow &row, ConfigurationPartMap parts);
    void load();
    void learnNone();
    void platformSays(std::uint64_t number);
    void tellLearnt();
    void putInForce();
    const Peer *peerThatHas(std::uint64_t number);

    ConfigurationStore &store;
    Scheduler &scheduler;
    const Clock &clock;
    Options options;
    Hooks hooks;
    std::mt19937_64 random;
    std::function<void(SettingsPointer)> learnt;
    std::vector<Peer> peers;

    /** What the platform said first to be the newest number. */
    std::optional<std::uint64_t> platformNumber;
    /** Whether a version is held, or the platform has said that there is none. */
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
    /** Peer and platform take turns as long as neither delivers. */
    bool askPlatformNext = false;
    TimerId lookTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
