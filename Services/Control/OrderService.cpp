#include <Services/Control/OrderService.h>

#include <LibBase/Hash.h>

#include <chrono>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr std::chrono::milliseconds engineTimeout{2000};

OrderLease::Options leaseOptions(const Settings &settings)
{
    return {settings.node.site, settings.orders.lease, settings.orders.leaseMargin};
}

OrderOutcome outcomeOf(ExchangeEnd end, const HttpResponse &response)
{
    if (end != ExchangeEnd::Complete) {
        return OrderOutcome::Failed;
    }
    if (response.status == statusConflict) {
        return OrderOutcome::StaleFence;
    }
    return response.status == statusOk ? OrderOutcome::Accepted : OrderOutcome::Failed;
}

} // namespace

OrderService::OrderService(EventLoop &loop,
                           const Clock &clock,
                           Platform &platform,
                           SessionNumber self,
                           const Settings &settings,
                           std::function<Reconciler::Configuration()> configuration)
    : http(loop)
    , self(self)
    , site(settings.node.site)
    , lease(platform, loop, clock, self, leaseOptions(settings))
    , reconciler(loop, clock, this->lease, this->engineHooks(std::move(configuration)))
{
}

Reconciler::Hooks OrderService::engineHooks(std::function<Reconciler::Configuration()> configuration)
{
    Reconciler::Hooks hooks;
    hooks.configuration = std::move(configuration);
    hooks.fetchReport = [this](const Address &address, const std::function<void(std::optional<EngineStateReport>)> &received) {
        const HttpRequest request{.method = "GET", .path = EngineProtocol::ordersPath};
        this->http.fetch(address, request, engineTimeout, [received](ExchangeEnd end, const HttpResponse &response) {
            const bool isGood = end == ExchangeEnd::Complete && response.status == statusOk;
            received(isGood ? EngineProtocol::parseReport(response.body) : std::nullopt);
        });
    };
    hooks.sendOrder = [this](const Address &address, const EngineOrder &order, const std::function<void(OrderOutcome)> &done) {
        const HttpRequest request{.method = "POST",
                                  .path = EngineProtocol::ordersPath,
                                  .headers = {{"Content-Type", "application/json"}},
                                  .body = EngineProtocol::format(order)};
        this->http.fetch(address, request, engineTimeout, [done](ExchangeEnd end, const HttpResponse &response) {
            done(outcomeOf(end, response));
        });
    };
    return hooks;
}

void OrderService::start()
{
    this->lease.start();
    this->reconciler.start();
}

void OrderService::setView(const MemberView &view)
{
    const std::uint64_t key = stableHash("orders/" + this->site);
    const std::uint64_t own = rendezvousWeight(key, this->self.value());
    std::size_t rank = 0;
    for (const Member &member : view.members()) {
        const bool isBefore = member.session != this->self && rendezvousWeight(key, member.session.value()) > own;
        rank += isBefore && member.state == MemberState::Alive ? 1 : 0;
    }
    this->lease.setRank(rank);
}

void OrderService::setSession(SessionNumber session)
{
    this->self = session;
    this->lease.setSession(session);
}

void OrderService::release()
{
    this->lease.release();
}

StatusPart OrderService::status() const
{
    return this->reconciler.status();
}

} // namespace Dogwoodkeel
