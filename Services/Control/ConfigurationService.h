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

/** What this node has to do with configuration versions, put together on the control task. */
class ConfigurationService
{
public:
    /** Has every task swap its settings; calls back when all have. */
    using PutInForce = std::function<void(SettingsPointer, std::function<void()>)>;

    ConfigurationService(EventLoop &loop,
                         const Clock &clock,
                         Platform &platform,
                         PeerClient &peers,
                         const SettingsPointer &ownSettings,
                         std::vector<SettingsSource> ownFiles,
                         std::function<void(std::uint64_t)> onInForce);

    /** Ask platform and peers. @param learnt told once, with the settings to start by */
    void learn(std::function<void(SettingsPointer)> learnt);

    /** The tasks are there: put newer versions into force from now on. */
    void follow(PutInForce putInForce);

    /** Other nodes, as gossip tells of them. @param self left out */
    void setMembers(const std::vector<Member> &members, SessionNumber self);

    /** Make a proposal the next version. */
    void apply(ConfigurationProposal proposal, ConfigurationWriter::Applied applied);

    /** @return what this node has in force. */
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
