#include <Services/Entry/EntryTask.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds noticeInterval{100};

OwnerClient::Options ownerOptions(const Settings &settings)
{
    return {static_cast<std::uint32_t>(settings.owner.shards), settings.peers.callTimeout};
}

RetryBudget::Options retryOptions(const RetrySettings &settings)
{
    return {.perSuccess = settings.perSuccess, .perSecond = settings.perSecond, .burst = settings.burst};
}

Quarantine::Options quarantineOptions(const QuarantineSettings &settings)
{
    return {static_cast<std::size_t>(settings.losses), settings.duration, static_cast<std::size_t>(settings.remembered)};
}

HttpLimits limitsOf(const Settings &settings)
{
    HttpLimits limits;
    limits.bodyBytes = static_cast<std::uint64_t>(settings.entry.bodyBytes);
    limits.headerBytes = static_cast<std::size_t>(settings.entry.headerBytes);
    limits.headerTimeout = settings.entry.headerTimeout;
    limits.idleTimeout = settings.entry.idleTimeout;
    limits.unreadBytes = static_cast<std::size_t>(settings.entry.unreadBytes);
    return limits;
}

} // namespace

EntryTask::EntryTask(EventLoop &loop,
                     const Clock &clock,
                     const SettingsPointer &settings,
                     SessionNumber self,
                     const PeerSecurity &security,
                     const std::optional<LocalPeer> &localOwner,
                     const PlatformFactory &makePlatform,
                     NodeMetrics &metrics,
                     OperatorGateway operators)
    : loop(loop)
    , settings(settings)
    , platform(makePlatform(loop))
    , peers(loop, security, localOwner)
    , owners(loop, clock, this->peers, ownerOptions(*settings))
    , http(loop)
    , replicas(settings->endpoints)
    , datagrams(loop,
                {settings->listen.lane.ip, 0},
                security.siteKey,
                [this](const Datagram &datagram) {
                    this->receive(datagram);
                })
    , notices(loop, this->datagrams, self)
    , random(std::random_device()())
    , retries(clock, retryOptions(settings->retries))
    , suspects(loop, clock, this->datagrams, self, quarantineOptions(settings->quarantine))
    , admission(loop, clock, this->settings, this->replicas)
    , limits(loop, clock, this->settings, this->datagrams, self)
    , fleet(clock, this->settings, this->replicas)
    , watch(loop, clock, this->settings, self, this->http, this->datagrams, this->replicas, this->fleet)
    , selector(clock, this->settings, this->replicas, this->random)
    , context{loop,
              clock,
              this->settings,
              self,
              this->http,
              this->owners,
              this->replicas,
              this->notices,
              *this->platform,
              metrics,
              this->random,
              this->retries,
              this->suspects,
              this->admission,
              this->limits,
              this->fleet,
              this->selector,
              this->watch,
              std::move(operators)}
    , service(this->context)
    , server(
          loop,
          settings->listen.http,
          limitsOf(*settings),
          [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
              this->service.serve(request, reply);
          },
          [this](const HttpRequest &head) {
              return this->service.admit(head);
          })
{
    this->repeatNotices();
}

const Address &EntryTask::address() const
{
    return this->server.address();
}

void EntryTask::setView(const MemberViewPointer &view)
{
    this->owners.setView(view);
    this->notices.setView(view);
    this->suspects.setView(view);
    this->limits.setView(view);
    this->watch.setView(view);
    this->service.setView(view);
}

void EntryTask::setWaitingFor(std::string waitingFor)
{
    this->service.setWaitingFor(std::move(waitingFor));
}

void EntryTask::closeCallerConnections()
{
    this->server.closeAfterAnswers();
}

void EntryTask::receive(const Datagram &datagram)
{
    switch (datagram.number) {
    case SuspectNotice::number:
        if (const auto notice = decode<SuspectNotice>(datagram.payload)) {
            this->suspects.receive(*notice);
        }
        return;
    case LimitDemands::number:
        if (const auto demands = decode<LimitDemands>(datagram.payload)) {
            this->limits.receive(*demands);
        }
        return;
    case LimitShares::number:
        if (const auto shares = decode<LimitShares>(datagram.payload)) {
            this->limits.receive(*shares);
        }
        return;
    default:
        this->watch.receive(datagram);
    }
}

std::size_t EntryTask::quarantinedRequests() const
{
    return this->suspects.quarantine().quarantined().size();
}

void EntryTask::setSession(SessionNumber self)
{
    this->context.self = self;
    this->notices.setSession(self);
    this->limits.setSession(self);
    this->watch.setSession(self);
}

void EntryTask::putInForce(const SettingsPointer &settings)
{
    this->settings.replace(settings);
    // A removed replica without requests is deleted at once; a pending notice must not point to it.
    this->notices.flush();
    this->replicas.update(settings->endpoints);
    this->limits.settingsChanged();
    this->retries.setOptions(retryOptions(settings->retries));
    this->suspects.setOptions(quarantineOptions(settings->quarantine));
    this->service.settingsChanged();
}

void EntryTask::setVms(const ListedVmsPointer &vms)
{
    this->watch.observe(*vms);
}

void EntryTask::setItems(const std::map<EndpointName, std::uint32_t> &items)
{
    for (const auto &[endpoint, running] : items) {
        this->watch.setItems(endpoint, running);
    }
}

const Address &EntryTask::fleetAddress() const
{
    return this->datagrams.address();
}

void EntryTask::watchFleet(FleetWatch::LeavingChanged leaving)
{
    this->watch.start(std::move(leaving));
}

void EntryTask::drain()
{
    this->server.drain();
}

const std::list<Replica> &EntryTask::endpoints()
{
    return this->replicas.all();
}

std::size_t EntryTask::openRequests() const
{
    return this->server.openRequests();
}

void EntryTask::repeatNotices()
{
    this->notices.repeat(this->replicas.all());
    this->loop.schedule(noticeInterval, [this] {
        this->repeatNotices();
    });
}

} // namespace Dogwoodkeel
