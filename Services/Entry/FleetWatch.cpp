#include <Services/Entry/FleetWatch.h>

#include <LibBase/Hash.h>
#include <LibBase/Log.h>
#include <Services/Entry/EndpointReports.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusOk = 200;
constexpr std::size_t namesPerDatagram = 32;
constexpr std::size_t reportsPerDatagram = 16;
/** A pool counts as in use for this long after its last request. */
constexpr std::chrono::seconds poolUseWindow{30};
/** How often a notice that an endpoint leaves is sent, as a datagram may be lost. */
constexpr int leavingNoticeCount = 3;
constexpr std::chrono::milliseconds leavingNoticeInterval{300};
constexpr const char *leavingHeader = "Dogwoodkeel-Leaving";
constexpr const char *loadHeader = "Dogwoodkeel-Load";

std::uint32_t millisecondsSince(SteadyTime then, SteadyTime now)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count());
}

} // namespace

FleetWatch::FleetWatch(EventLoop &loop,
                       const Clock &clock,
                       const SettingsHandle &settings,
                       SessionNumber self,
                       HttpClient &http,
                       DatagramSocket &datagrams,
                       ReplicaTable &replicas,
                       FleetState &state)
    : loop(loop)
    , clock(clock)
    , settings(settings)
    , self(self)
    , http(http)
    , datagrams(datagrams)
    , replicas(replicas)
    , state(state)
    , view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

FleetWatch::~FleetWatch()
{
    *this->alive = false;
}

void FleetWatch::start(LeavingChanged leaving)
{
    this->leaving = std::move(leaving);
    this->poll();
    this->requestReports();
}

void FleetWatch::setView(MemberViewPointer view)
{
    this->view = std::move(view);
}

void FleetWatch::setSession(SessionNumber self)
{
    this->self = self;
    this->polledBasis = 0;
}

void FleetWatch::setItems(const EndpointName &endpoint, std::uint32_t items)
{
    this->items[endpoint].record(items, this->clock.now());
}

bool FleetWatch::isPolledHere(const Replica &replica) const
{
    const Member *const holder = this->view->laneHolderOf(replica.name);
    return holder != nullptr && holder->session == this->self;
}

void FleetWatch::poll()
{
    this->updatePolledEndpoints();
    for (const EndpointName &name : this->polled) {
        Replica *const replica = this->replicas.find(name);
        if (replica != nullptr && this->pendingPolls.insert(name).second) {
            this->pollLoad(*replica);
        }
    }
    this->sendReports();
    this->loop.schedule(this->settings->fleet.loadPoll, [this, alive = this->alive] {
        if (*alive) {
            this->poll();
        }
    });
}

void FleetWatch::updatePolledEndpoints()
{
    // Views change with each member update, but lane holders change only with the set of members, their leaving state
    // and the replicas. Computing the holder of each of 1,800 replicas among 390 members at each poll took 3.4% of a
    // core.
    std::uint64_t basis = this->replicas.version();
    for (const Member &member : this->view->members()) {
        const std::uint64_t isLeaving = member.state == MemberState::Leaving ? 1 : 0;
        basis = rendezvousWeight(basis, 2 * member.session.value() + isLeaving);
    }
    if (basis == this->polledBasis) {
        return;
    }
    this->polledBasis = basis;
    this->polled.clear();
    for (const Replica &replica : this->replicas.all()) {
        if (this->isPolledHere(replica)) {
            this->polled.push_back(replica.name);
        }
    }
}

void FleetWatch::pollLoad(Replica &replica)
{
    const auto answered = [this, name = replica.name, sent = this->clock.now(), alive = this->alive](
                              ExchangeEnd end, const HttpResponse &response) {
        if (!*alive) {
            return;
        }
        this->pendingPolls.erase(name);
        if (end == ExchangeEnd::Complete && response.status == statusOk) {
            this->onLoad(name, sent, response.body);
        }
    };
    this->http.fetch(replica.address, {.method = "GET", .path = "/load"}, this->settings->fleet.loadPoll * 2, answered);
}

void FleetWatch::onLoad(const EndpointName &name, SteadyTime requestedAt, const std::string &body)
{
    std::optional<ReplicaReport> report = parseLoadReport(body);
    Replica *const replica = this->replicas.find(name);
    if (!report || replica == nullptr) {
        return;
    }
    report->endpoint = name;
    if (report->ageMilliseconds == 0) {
        report->ageMilliseconds = static_cast<std::uint32_t>(this->settings->fleet.loadLag.count());
    }
    const auto items = this->items.find(name);
    if (items != this->items.end()) {
        // Batch items yield to online requests within milliseconds. Counted as load, they would make a replica with
        // free slots look full, and requests would wait behind batch work.
        const std::uint32_t running = items->second.at(requestedAt - std::chrono::milliseconds(report->ageMilliseconds));
        report->inFlight -= std::min(report->inFlight, running);
    }
    this->latest[name] = {*report, requestedAt};
    report->ageMilliseconds += millisecondsSince(requestedAt, this->clock.now());
    this->applyReport(*report);
    this->pollEvents(*replica);
}

void FleetWatch::pollEvents(Replica &replica)
{
    const std::string query = "after=" + std::to_string(replica.prefixes.lastEventNumber());
    const auto answered = [this, name = replica.name, instance = replica.instance, alive = this->alive](
                              ExchangeEnd end, const HttpResponse &response) {
        const bool isAnswer = *alive && end == ExchangeEnd::Complete && response.status == statusOk;
        Replica *const polled = isAnswer ? this->replicas.find(name) : nullptr;
        if (polled != nullptr && instance == polled->instance) {
            FleetState::observe(*polled, parseCacheEvents(response.body));
        }
    };
    this->http.fetch(
        replica.address, {.method = "GET", .path = "/events", .query = query}, this->settings->fleet.loadPoll * 2, answered);
}

void FleetWatch::sendReports()
{
    const SteadyTime now = this->clock.now();
    for (const ReportSubscriptions::Due &due : this->subscriptions.due(now)) {
        const Member *const member = this->view->find(due.to);
        if (member == nullptr) {
            continue;
        }
        LoadReports message{this->self, {}};
        for (const EndpointName &name : due.endpoints) {
            const auto known = this->latest.find(name);
            if (known == this->latest.end()) {
                continue;
            }
            ReplicaReport &report = message.reports.emplace_back(known->second.report);
            report.ageMilliseconds += millisecondsSince(known->second.at, now);
            if (message.reports.size() == reportsPerDatagram) {
                this->datagrams.send(member->fleet, message);
                message.reports.clear();
            }
        }
        if (!message.reports.empty()) {
            this->datagrams.send(member->fleet, message);
        }
    }
}

std::vector<const Replica *> FleetWatch::replicasInUse()
{
    const SteadyTime now = this->clock.now();
    std::unordered_map<std::string, bool> used;
    for (const Replica &replica : this->replicas.all()) {
        used[replica.serves] |= now - replica.lastUsed < poolUseWindow;
    }
    std::vector<const Replica *> wanted;
    for (const Replica &replica : this->replicas.all()) {
        if (used[replica.serves]) {
            wanted.push_back(&replica);
        }
    }
    return wanted;
}

void FleetWatch::requestReports()
{
    const std::vector<const Replica *> wanted = this->replicasInUse();
    const FleetSettings &fleet = this->settings->fleet;
    const auto interval
        = ReportSubscriptions::interval(wanted.size(), static_cast<std::size_t>(fleet.loadBytesPerSecond), fleet.loadPoll);
    std::map<Address, LoadInterest> byHolder;
    for (const Replica *const replica : wanted) {
        const Member *const holder = this->view->laneHolderOf(replica->name);
        if (holder == nullptr || holder->session == this->self) {
            continue;
        }
        LoadInterest &interest = byHolder[holder->fleet];
        interest.endpoints.push_back(replica->name);
        if (interest.endpoints.size() == namesPerDatagram) {
            interest.from = this->self;
            interest.intervalMilliseconds = static_cast<std::uint32_t>(interval.count());
            this->datagrams.send(holder->fleet, std::exchange(interest, {}));
        }
    }
    for (auto &[address, interest] : byHolder) {
        interest.from = this->self;
        interest.intervalMilliseconds = static_cast<std::uint32_t>(interval.count());
        this->datagrams.send(address, interest);
    }
    const auto again = std::min<std::chrono::milliseconds>(ReportSubscriptions::renewal(interval), poolUseWindow);
    this->loop.schedule(again, [this, alive = this->alive] {
        if (*alive) {
            this->requestReports();
        }
    });
}

void FleetWatch::receive(const Datagram &datagram)
{
    switch (datagram.number) {
    case LoadInterest::number:
        if (const auto interest = decode<LoadInterest>(datagram.payload)) {
            this->receive(*interest);
        }
        return;
    case LoadReports::number:
        if (const auto reports = decode<LoadReports>(datagram.payload)) {
            this->receive(*reports);
        }
        return;
    case EndpointLeaving::number:
        if (const auto message = decode<EndpointLeaving>(datagram.payload)) {
            this->receive(*message);
        }
        return;
    default:
        return;
    }
}

void FleetWatch::receive(const LoadInterest &interest)
{
    const auto interval = std::max(this->settings->fleet.loadPoll, std::chrono::milliseconds(interest.intervalMilliseconds));
    this->subscriptions.renew(interest.from, interval, interest.endpoints, this->clock.now());
}

void FleetWatch::receive(const LoadReports &reports)
{
    for (const ReplicaReport &report : reports.reports) {
        this->applyReport(report);
    }
}

void FleetWatch::receive(const EndpointLeaving &leaving)
{
    for (const ReplicaReport &report : leaving.reports) {
        Replica *const replica = this->replicas.find(report.endpoint);
        if (replica != nullptr && this->state.markLeaving(*replica, report.instance)) {
            this->announceLeaving(*replica);
            this->reportLeavingChange(*replica);
        }
    }
}

void FleetWatch::applyReport(const ReplicaReport &report)
{
    if (this->state.observe(report)) {
        this->announceLeaving(*this->replicas.find(report.endpoint));
    }
    if (const Replica *const replica = this->replicas.find(report.endpoint)) {
        this->reportLeavingChange(*replica);
    }
}

void FleetWatch::observe(const std::vector<ListedVm> &vms)
{
    for (const Replica *const replica : this->state.observe(vms)) {
        this->announceLeaving(*replica);
    }
    for (const Replica &replica : this->replicas.all()) {
        this->reportLeavingChange(replica);
    }
}

void FleetWatch::observeHeaders(Replica &replica, const HttpHeaders &headers)
{
    const auto leaving = headerValue(headers, leavingHeader);
    if (leaving && *leaving == "true" && this->state.markLeaving(replica)) {
        this->announceLeaving(replica);
        this->reportLeavingChange(replica);
    }
    const auto load = headerValue(headers, loadHeader);
    std::uint32_t inFlight = 0;
    if (load && std::from_chars(load->data(), load->data() + load->size(), inFlight).ec == std::errc()) {
        this->state.observeLoad(replica, inFlight, this->clock.now());
    }
}

void FleetWatch::announceLeaving(const Replica &replica)
{
    log(LogLevel::Info,
        "endpoint is leaving",
        {{"endpoint", replica.name.value()}, {"failure_domain", replica.failureDomain.value()}});
    ReplicaReport report;
    report.endpoint = replica.name;
    report.isLeaving = true;
    report.instance = replica.leavingInstance;
    this->sendLeavingNotice(report, leavingNoticeCount);
}

void FleetWatch::sendLeavingNotice(const ReplicaReport &report, int times)
{
    // The node that polls the endpoint notifies all nodes; any other node notifies only that one. The cost of
    // informing every node thus grows linearly with the number of nodes, not with its square.
    const EndpointLeaving message{this->self, {report}};
    const Member *const holder = this->view->laneHolderOf(report.endpoint);
    if (holder != nullptr && holder->session != this->self) {
        this->datagrams.send(holder->fleet, message);
    } else {
        for (const Member &member : this->view->members()) {
            if (member.session != this->self) {
                this->datagrams.send(member.fleet, message);
            }
        }
    }
    if (times > 1) {
        this->loop.schedule(leavingNoticeInterval, [this, report, times, alive = this->alive] {
            if (*alive) {
                this->sendLeavingNotice(report, times - 1);
            }
        });
    }
}

void FleetWatch::reportLeavingChange(const Replica &replica)
{
    const bool wasReported = this->reportedLeaving.contains(replica.name);
    if (replica.isLeaving == wasReported) {
        return;
    }
    if (replica.isLeaving) {
        this->reportedLeaving.insert(replica.name);
    } else {
        this->reportedLeaving.erase(replica.name);
        log(LogLevel::Info, "endpoint is back", {{"endpoint", replica.name.value()}});
    }
    if (this->leaving) {
        this->leaving(replica.name, replica.isLeaving);
    }
}

} // namespace Dogwoodkeel
