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

} // namespace

EntryTask::EntryTask(EventLoop &loop,
                     const Clock &clock,
                     const SettingsPointer &settings,
                     SessionNumber self,
                     const PeerSecurity &security,
                     const PlatformFactory &makePlatform,
                     NodeMetrics &metrics)
    : loop(loop)
    , settings(settings)
    , platform(makePlatform(loop))
    , peers(loop, security)
    , owners(loop, clock, this->peers, ownerOptions(*settings))
    , http(loop)
    , replicas(settings->endpoints)
    , datagrams(loop, {settings->listen.lane.ip, 0}, security.siteKey, [](const Datagram &) {})
    , notices(loop, this->datagrams, self)
    , random(std::random_device()())
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
              this->random}
    , service(this->context)
    , server(loop,
             settings->listen.http,
             {static_cast<std::uint64_t>(settings->entry.jobBytes)},
             [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                 this->service.serve(request, reply);
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
    this->service.setView(view);
}

void EntryTask::setWaitingFor(std::string waitingFor)
{
    this->service.setWaitingFor(std::move(waitingFor));
}

void EntryTask::sendCallersAway()
{
    this->server.closeAfterAnswers();
}

void EntryTask::setSession(SessionNumber self)
{
    this->context.self = self;
    this->notices.setSession(self);
}

void EntryTask::putInForce(const SettingsPointer &settings)
{
    this->settings.replace(settings);
    // A replica that is taken out without requests is gone at once; a notice of its last one must not point to it.
    this->notices.flush();
    this->replicas.update(settings->endpoints);
    this->service.settingsChanged();
}

void EntryTask::setVms(const ListedVmsPointer &vms)
{
    this->replicas.markLeaving(*vms);
}

void EntryTask::drain()
{
    this->server.drain();
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
