#pragma once

#include <LibControl/ConfigurationStore.h>
#include <LibControl/ConfigurationWriter.h>
#include <LibMembership/MemberView.h>
#include <LibPlatform/Platform.h>
#include <LibTask/EventLoop.h>
#include <LibWire/PeerClient.h>
#include <Services/Control/ConfigurationKeeper.h>
#include <Services/Control/StatusBoard.h>

#include <functional>
#include <vector>

namespace Dogwoodkeel
{

/** Reads, follows and writes configuration versions for this node, on the control task. */
class ConfigurationService
{
public:
    /** Makes every task swap its settings; calls back when all have. */
    using PutInForce = std::function<void(SettingsPointer, std::function<void()>)>;

    ConfigurationService(EventLoop &loop,
                         const Clock &clock,
                         Platform &platform,
                         PeerClient &peers,
                         const SettingsPointer &ownSettings,
                         std::vector<SettingsSource> ownFiles,
                         std::function<void(std::uint64_t)> onInForce);

    /** Queries platform and peers. @param learnt called once, with the settings to start with */
    void learn(std::function<void(SettingsPointer)> learnt);

    /** Puts newer versions into force from now on; called once the tasks exist. */
    void follow(PutInForce putInForce);

    /** Sets the other nodes, as known from gossip. @param self this node's session, which is left out */
    void setMembers(const std::vector<Member> &members, SessionNumber self);

    /** Applies a proposal as the next version. */
    void apply(ConfigurationProposal proposal, ConfigurationWriter::Applied applied);

    /** @return the configuration state of this node. */
    ConfigurationStateResponse state() const;

    /** @return this node's part of the status. */
    StatusPart status() const;

    const ConfigurationKeeper &keeper() const;
    ConfigurationStore &store();

private:
    ConfigurationKeeper::Options keeperOptions() const;
    ConfigurationKeeper::Hooks keeperHooks();

    PeerClient &peers;
    SettingsPointer ownSettings;
    std::vector<SettingsSource> ownFiles;
    std::function<void(std::uint64_t)> onInForce;
    PutInForce putInForce;
    ConfigurationStore platformStore;
    ConfigurationKeeper configuration;
    ConfigurationWriter writer;
};

} // namespace Dogwoodkeel
