#include "Node.h"

#include "NodeStatus.h"

#include <LibBase/Log.h>
#include <LibJournal/WritePace.h>
#include <LibPlatform/EmbeddedPlatform.h>
#include <LibPlatform/GuardedPlatform.h>
#include <LibPlatform/HttpPlatform.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds watchInterval{100};
/** How often the entry task receives the number of running batch items, which it subtracts from the load reports. */
constexpr std::chrono::milliseconds itemsInterval{25};
constexpr std::chrono::milliseconds pollInterval{20};
/** How often a node that cannot start yet logs that it is not ready. */
constexpr std::chrono::seconds waitLogInterval{5};

CallBudget::Rates ratesOf(const PlatformSettings &platform)
{
    return {static_cast<double>(platform.readsPerSecond), static_cast<double>(platform.writesPerSecond)};
}

std::function<std::unique_ptr<Platform>(EventLoop &)> platformFactory(const SettingsPointer &settings,
                                                                      const Clock &clock,
                                                                      const std::shared_ptr<CallBudget> &budget,
                                                                      NodeMetrics &metrics)
{
    if (settings->platform.kind == PlatformKind::Embedded) {
        const auto store = std::make_shared<EmbeddedStore>();
        return [store](EventLoop &loop) {
            return std::make_unique<EmbeddedPlatform>(store, loop);
        };
    }
    const auto count = [&metrics](CallKind kind, std::string_view cause, std::string_view outcome) {
        metrics.countPlatformCall(kind == CallKind::Read ? "read" : "write", cause, outcome);
    };
    return [settings, &clock, budget, count](EventLoop &loop) {
        const PlatformSettings &platform = settings->platform;
        return std::make_unique<GuardedPlatform>(std::make_unique<HttpPlatform>(loop, platform.address, platform.timeout),
                                                 loop,
                                                 clock,
                                                 budget,
                                                 platform.timeout,
                                                 count);
    };
}

} // namespace

Node::Node(const Clock &clock, SettingsPointer settings, std::vector<SettingsSource> ownFiles)
    : clock(clock)
    , settings(std::move(settings))
    , ownFiles(std::move(ownFiles))
    , platformBudget(std::make_shared<CallBudget>(clock, ratesOf(this->settings->platform)))
    , makePlatform(platformFactory(this->settings, clock, this->platformBudget, this->metrics))
    , security{MessageKey(this->settings->peers.siteKey), static_cast<std::size_t>(this->settings->peers.frameBytes)}
{
}

const Address &Node::httpAddress() const
{
    return this->http;
}

void Node::openSession()
{
    std::promise<SessionNumber> session;
    this->control->post([&session](ControlTask &control) {
        control.openSession([&session](SessionNumber number) {
            session.set_value(number);
        });
    });
    std::future<SessionNumber> opened = session.get_future();
    while (opened.wait_for(waitLogInterval) != std::future_status::ready) {
        log(LogLevel::Warning, "not ready: the platform has not issued a session number yet");
    }
    this->self = opened.get();
    log(LogLevel::Info, "session opened", {{"session", static_cast<std::int64_t>(this->self.value())}});
}

void Node::learnConfiguration()
{
    std::promise<SettingsPointer> configuration;
    this->control->post([&configuration](ControlTask &control) {
        control.learnConfiguration([&configuration](const SettingsPointer &settings) {
            configuration.set_value(settings);
        });
    });
    std::future<SettingsPointer> received = configuration.get_future();
    while (received.wait_for(waitLogInterval) != std::future_status::ready) {
        log(LogLevel::Warning, "not ready: the newest configuration has not been received from the platform yet, or is invalid");
    }
    this->settings = received.get();
}

void Node::makeTasks()
{
    this->owner = std::make_unique<TaskHost<OwnerTask>>(
        "owner", this->clock, this->settings, this->self, this->security, this->makePlatform, [this] {
            this->renewSession();
        });
    const LocalPeer ownOwner = this->localOwner();
    this->lane = std::make_unique<TaskHost<LaneTask>>("lane", this->clock, this->settings, this->self, this->security, ownOwner);
    const OperatorGateway operators = [this](OperatorRequest request, OperatorRespond respond) {
        this->forwardOperatorRequest(std::move(request), std::move(respond));
    };
    this->entry = std::make_unique<TaskHost<EntryTask>>(
        "entry", this->clock, this->settings, this->self, this->security, ownOwner, this->makePlatform, this->metrics, operators);
    this->entry->post([](EntryTask &task) {
        task.setWaitingFor("members");
    });
}

Member Node::makeMember()
{
    Member member;
    member.session = this->self;
    member.started = this->clock.wallNow();
    member.vm = VmName(this->settings->node.vm);
    member.failureDomain = FailureDomain(this->settings->node.failureDomain);
    member.owner = this->owner->ask<Address>([](OwnerTask &task) {
        return task.address();
    });
    member.lane = this->lane->ask<Address>([](LaneTask &task) {
        return task.address();
    });
    member.http = this->entry->ask<Address>([](EntryTask &task) {
        return task.address();
    });
    member.fleet = this->entry->ask<Address>([](EntryTask &task) {
        return task.fleetAddress();
    });
    return member;
}

void Node::start()
{
    this->starting = std::make_unique<TaskHost<StartingTask>>("starting", this->settings->listen.http, "a session number");
    this->control = std::make_unique<TaskHost<ControlTask>>(
        "control", this->clock, this->settings, this->ownFiles, this->security, this->makePlatform);
    this->openSession();
    this->starting->post([](StartingTask &task) {
        task.setWaitingFor("the configuration");
    });
    this->learnConfiguration();
    this->starting.reset();
    this->makeTasks();
    this->serveControlCalls();
    this->addStatusParts();
    const Member member = this->makeMember();
    this->http = member.http;
    this->entry->post([this](EntryTask &task) {
        task.watchFleet([this](const EndpointName &endpoint, bool isLeaving) {
            this->lane->post([endpoint, isLeaving](LaneTask &lane) {
                lane.lane().setLeaving(endpoint, isLeaving);
            });
        });
    });
    this->control->post([this, member](ControlTask &control) {
        control.join(member, [this](const MemberViewPointer &view) {
            this->publishView(view);
        });
        control.startOrders();
        control.followConfiguration([this](const SettingsPointer &settings, const std::function<void()> &done) {
            this->putInForce(settings, done);
        });
    });
    this->control->post([this](ControlTask &control) {
        control.watchVms([this](const ListedVmsPointer &vms) {
            this->publishVms(vms);
        });
    });
    this->owner->post([](OwnerTask &task) {
        task.owner().start();
    });
    this->lane->post([](LaneTask &task) {
        task.lane().start();
    });
    this->control->post([this](ControlTask &control) {
        control.awaitMembers([this, &control] {
            control.update([](Member &member) {
                member.isReady = true;
            });
            this->entry->post([](EntryTask &task) {
                task.setWaitingFor({});
            });
        });
    });
    this->watch = std::make_unique<Task>("watch");
    this->watch->loop().post([this] {
        this->watchBacklog();
        this->watchItems();
    });
}

LocalPeer Node::localOwner()
{
    LocalPeer local;
    local.address = this->owner->ask<Address>([](OwnerTask &task) {
        return task.address();
    });
    local.call = [this](MessageNumber number, std::string payload, LocalPeer::Respond respond) {
        this->owner->post([number, payload = std::move(payload), respond = std::move(respond)](OwnerTask &task) {
            task.answer(number, payload, respond);
        });
    };
    return local;
}

void Node::putInForce(const SettingsPointer &settings, const std::function<void()> &done)
{
    // Reported as in force only when all tasks have applied the settings: before that, a request could still run with the
    // older settings.
    constexpr int tasks = 3;
    const auto remainingTasks = std::make_shared<std::atomic<int>>(tasks);
    const auto applied = [this, remainingTasks, done] {
        if (--*remainingTasks == 0) {
            this->control->post([done](ControlTask &) {
                done();
            });
        }
    };
    this->owner->post([settings, applied](OwnerTask &task) {
        task.putInForce(settings);
        applied();
    });
    this->lane->post([settings, applied](LaneTask &task) {
        task.putInForce(settings);
        applied();
    });
    this->entry->post([settings, applied](EntryTask &task) {
        task.putInForce(settings);
        applied();
    });
}

void Node::forwardOperatorRequest(OperatorRequest request, OperatorRespond respond)
{
    this->control->post([this, request = std::move(request), respond = std::move(respond)](ControlTask &control) {
        if (control.isClosed()) {
            return;
        }
        control.operators().serve(request, [this, respond, &control](HttpResponse response) {
            if (control.isClosed()) {
                return;
            }
            this->entry->post([respond, response = std::move(response)](EntryTask &) {
                respond(response);
            });
        });
    });
}

template <typename Request>
void Node::forwardToControl(
    std::function<void(ControlTask &, const Request &, PeerServer::Respond<typename Request::Response>)> answer)
{
    using Response = typename Request::Response;
    this->owner->post([this, answer = std::move(answer)](OwnerTask &task) {
        task.peers().handle<Request>([this, answer](const Request &request, PeerServer::Respond<Response> respond) {
            this->control->post([this, answer, request, respond = std::move(respond)](ControlTask &control) {
                if (control.isClosed()) {
                    return;
                }
                answer(control, request, [this, respond, &control](const Response &response) {
                    if (control.isClosed()) {
                        return;
                    }
                    this->owner->post([respond, response](OwnerTask &) {
                        respond(response);
                    });
                });
            });
        });
    });
}

void Node::addStatusParts()
{
    // Each part is created on the task that owns its data, and returned on the control task.
    const auto returnPart = [this](const StatusBoard::Collected &collected, StatusPart part) {
        this->control->post([collected, part = std::move(part)](ControlTask &) {
            collected(part);
        });
    };
    this->control->post([this, returnPart](ControlTask &control) {
        control.statusBoard().add("shards", [this, returnPart](const StatusBoard::Collected &collected) {
            this->owner->post([returnPart, collected](OwnerTask &task) {
                returnPart(collected, shardStatus(task.owner()));
            });
        });
        control.statusBoard().add("endpoints", [this, returnPart](const StatusBoard::Collected &collected) {
            this->entry->post([returnPart, collected](EntryTask &task) {
                returnPart(collected, endpointStatus(task.endpoints(), task.openRequests()));
            });
        });
    });
}

void Node::serveControlCalls()
{
    this->forwardToControl<ConfigurationRequest>([](ControlTask &control, const auto &request, const auto &respond) {
        respond(control.configuration().keeper().respond(request));
    });
    this->forwardToControl<ConfigurationPartRequest>([](ControlTask &control, const auto &request, const auto &respond) {
        respond(control.configuration().keeper().respond(request));
    });
    this->forwardToControl<ConfigurationStateRequest>([](ControlTask &control, const auto &, const auto &respond) {
        respond(control.configuration().state());
    });
    this->forwardToControl<StatusRequest>([](ControlTask &control, const auto &, const auto &respond) {
        control.statusBoard().report([respond](std::string report) {
            respond({std::move(report)});
        });
    });
}

void Node::publishView(const MemberViewPointer &seen)
{
    const auto writesPerSecond = static_cast<double>(this->settings->platform.writesPerSecond);
    const MemberViewPointer view = seen->withJournalLimit(maxJournals(writesPerSecond));
    this->platformBudget->setMembers(seen->members().size());
    this->owner->post([view](OwnerTask &task) {
        task.owner().setView(view);
    });
    this->lane->post([view](LaneTask &task) {
        task.lane().setView(view);
    });
    this->entry->post([view](EntryTask &task) {
        task.setView(view);
    });
}

void Node::renewSession()
{
    if (this->stopping) {
        return;
    }
    // Another node considered this one failed, because its VM was paused or unreachable, took over its shards and sealed its
    // journal. With the old session this node could never own a shard again, so it joins as a new member with a new session.
    // Callers are not affected.
    this->control->post([this](ControlTask &control) {
        control.renewSession([this, &control](SessionNumber session) {
            if (this->stopping) {
                return;
            }
            log(LogLevel::Warning, "session renewed", {{"session", static_cast<std::int64_t>(session.value())}});
            this->owner->post([session](OwnerTask &task) {
                task.renew(session);
                task.owner().start();
            });
            this->lane->post([session](LaneTask &task) {
                task.lane().setSession(session);
            });
            this->entry->post([session](EntryTask &task) {
                task.setSession(session);
            });
            control.rejoin();
        });
    });
}

void Node::publishVms(const ListedVmsPointer &vms)
{
    this->entry->post([vms](EntryTask &task) {
        task.setVms(vms);
    });
}

void Node::watchItems()
{
    this->lane->post([this](LaneTask &task) {
        this->entry->post([items = task.lane().itemsRunning()](EntryTask &entry) {
            entry.setItems(items);
        });
    });
    this->watch->loop().schedule(itemsInterval, [this] {
        this->watchItems();
    });
}

void Node::watchBacklog()
{
    this->owner->post([this](OwnerTask &task) {
        const Backlog backlog = task.owner().backlog();
        this->control->post([backlog](ControlTask &control) {
            control.publishBacklog(backlog.items, backlog.models);
        });
    });
    const SteadyTime posted = this->clock.now();
    this->entry->post([this, posted](EntryTask &) {
        const auto delay = this->clock.now() - posted;
        this->control->post([this, delay](ControlTask &control) {
            control.publishPressure(this->pressure.observe(delay));
        });
    });
    this->watch->loop().schedule(watchInterval, [this] {
        this->watchBacklog();
    });
}

bool Node::waitFor(const std::function<bool()> &isReached, SteadyTime deadline)
{
    while (!isReached()) {
        if (this->clock.now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void Node::skipEntryWait()
{
    this->isEntryWaitSkipped = true;
}

void Node::stop()
{
    log(LogLevel::Info, "planned stop begins");
    this->stopping = true;
    const auto inForce = this->control->ask<SettingsPointer>([](ControlTask &control) {
        return control.configuration().keeper().settings();
    });
    const SteadyTime deadline = this->clock.now() + inForce->entry.drain;
    this->watch.reset();
    // Callers may use an answer of /v1/entries that names this node until its time to live has passed. The node serves for
    // that long, but new answers no longer contain it.
    this->control->post([](ControlTask &control) {
        control.update([](Member &member) {
            member.state = MemberState::Leaving;
            member.backlog = 0;
        });
    });
    const auto laneDone = std::make_shared<std::atomic<bool>>(false);
    this->lane->post([laneDone](LaneTask &task) {
        task.lane().drain([laneDone] {
            laneDone->store(true);
        });
    });
    this->entry->post([](EntryTask &task) {
        task.closeCallerConnections();
    });
    const auto propagationTime = this->control->ask<std::chrono::milliseconds>([](ControlTask &control) {
        return control.spreadTime();
    });
    this->waitFor(
        [this] {
            return this->isEntryWaitSkipped.load();
        },
        std::min(deadline, this->clock.now() + propagationTime + inForce->entry.entryTtl));
    this->entry->post([](EntryTask &task) {
        task.drain();
    });
    const auto isAnswered = [this] {
        return this->entry->ask<std::size_t>([](EntryTask &task) {
            return task.openRequests();
        }) == 0;
    };
    const bool isEntryDone = this->waitFor(isAnswered, deadline);
    const bool isLaneDone = this->waitFor(
        [&laneDone] {
            return laneDone->load();
        },
        deadline);

    const auto released = std::make_shared<std::atomic<bool>>(false);
    this->owner->post([released](OwnerTask &task) {
        task.owner().stop([released] {
            released->store(true);
        });
    });
    const bool isReleased = this->waitFor(
        [&released] {
            return released->load();
        },
        deadline + std::chrono::seconds(1));
    this->control->post([](ControlTask &control) {
        control.leave();
    });
    this->waitFor(
        [] {
            return false;
        },
        this->clock.now() + watchInterval);
    log(LogLevel::Info,
        "planned stop done",
        {{"requests_finished", isEntryDone}, {"items_finished", isLaneDone}, {"shards_released", isReleased}});
    // The control task and the other tasks post to each other: it is closed first and destroyed last.
    this->control->ask<bool>([](ControlTask &control) {
        control.close();
        return true;
    });
    this->entry.reset();
    this->lane.reset();
    this->owner.reset();
    this->control.reset();
}

} // namespace Dogwoodkeel
