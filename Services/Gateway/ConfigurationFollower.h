#pragma once

#include <LibBase/Clock.h>
#include <LibGateway/ServingConfiguration.h>
#include <LibPlatform/RowStore.h>
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
 * Has the newest configuration that the store or any other node tells of. It never goes back: an older version, from a
 * store that lags or a node that was cut off, is passed over.
 */
class ConfigurationFollower
{
public:
    /** How a text of the platform becomes a configuration. */
    struct Format
    {
        std::string table;
        std::string key;
        std::function<std::optional<ServingConfiguration>(std::string_view)> decode;
    };

    using Changed = std::function<void(const ServingConfigurationPointer &)>;

    ConfigurationFollower(EventLoop &loop,
                          const Clock &clock,
                          RowFeed &store,
                          PeerNetwork &peers,
                          std::chrono::milliseconds storeWait,
                          Format format,
                          Changed changed);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** @return the configuration in force on this node, or null. */
    const ServingConfigurationPointer &current() const;

    /** @return the version in force on this node; 0: none. */
    std::uint64_t version() const;

    /** @return whether another node tells of a newer version. */
    bool isBehind() const;

    /** Ask a node that has a newer version for it, at once. */
    void catchUp();

    /** Ask the store anew, at once. */
    void refresh();

private:
    void take(const std::string &text, std::string_view source);
    void watch();
    void askPeer(const Address &peer);

    EventLoop &loop;
    const Clock &clock;
    std::minstd_rand random;
    PeerNetwork &peers;
    Format format;
    Changed changed;
    std::string text;
    ServingConfigurationPointer configuration;
    bool isAsking = false;
    /** Since when others have a newer configuration than this node. */
    std::optional<SteadyTime> behindSince;
    bool wasInTouch = false;
    TimerId watchTimer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<TableFollower> follower;
};

} // namespace Dogwoodkeel
