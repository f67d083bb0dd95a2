#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/NewerVersions.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibPlatform/RowStore.h>
#include <Services/Gateway/ChunkExchange.h>
#include <Services/Gateway/PeerNetwork.h>
#include <Services/Gateway/TableFollower.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace Dogwoodkeel
{

/**
 * Keeps the newest configuration that the store or any other node publishes. Guarantees that the version never decreases: an
 * older one, from a store that lags or a node that was disconnected, is ignored.
 */
class ConfigurationFollower
{
public:
    /** Where the platform stores the configuration, and how its text is decoded. */
    struct Format
    {
        std::string table;
        std::string key;
        std::function<std::optional<ServingConfiguration>(std::string_view)> decode;
    };

    struct Timing
    {
        /** How long the store may wait for a change before it answers. */
        std::chrono::milliseconds storeWait{0};
        /** How long this node may work by its configuration after another one was found to have a newer version in force. */
        std::chrono::milliseconds maxBehind{0};
    };

    using Changed = std::function<void(const ServingConfigurationPointer &)>;

    ConfigurationFollower(EventLoop &loop,
                          const Clock &clock,
                          RowFeed &store,
                          PeerNetwork &peers,
                          ChunkExchange &chunks,
                          const Timing &timing,
                          Format format,
                          Changed changed);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** @return the configuration in force on this node, or null. */
    const ServingConfigurationPointer &current() const;

    /** @return the version in force on this node; 0: none. */
    std::uint64_t version() const;

    /** @return whether another node publishes a newer version. */
    bool isBehind() const;

    /**
     * @return whether this node has not been able to get a newer version for so long that it must not serve any more: the newer
     * one may forbid what its own allows
     */
    bool isOutdated() const;

    /** @return for how long this node has known that another one has a newer configuration; 0: it knows of none. */
    std::chrono::milliseconds behindFor() const;

    /** Requests the newer version from a node that has it, without delay. */
    void catchUp();

    /** Queries the store again without delay. */
    void refresh();

private:
    void apply(const std::string &text, std::string_view source);
    void logNotNewer(std::uint64_t received, std::string_view source) const;
    void watch();
    void updateNewerVersions();
    void requestFromPeer(const Member &peer);
    void receiveOutline(const Member &peer, const CallResult<ConfigurationOutline> &result);
    void recordPeerFailure(const Member &peer);
    RowKey row() const;

    EventLoop &loop;
    const Clock &clock;
    std::minstd_rand random;
    PeerNetwork &peers;
    ChunkExchange &chunks;
    std::chrono::milliseconds maxBehind;
    NewerVersions newerVersions;
    Format format;
    Changed changed;
    TextOutline outline;
    ServingConfigurationPointer configuration;
    bool isRequestPending = false;
    /** When this node first saw that others have a newer configuration. */
    std::optional<SteadyTime> behindSince;
    bool wasOutdated = false;
    /** Texts of configurations received since the current one came into force. */
    std::size_t copiesReceived = 0;
    bool hadRecentContact = false;
    TimerId watchTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
};

} // namespace Dogwoodkeel
