#include <Benchmarks/Support/FaultSchedule.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::chrono::milliseconds stepTime{10};
constexpr std::chrono::seconds maxStopTime{20};
constexpr int kinds = 10;

} // namespace

FaultSchedule::FaultSchedule(LocalFleet &fleet, Targets targets, std::uint64_t seed)
    : fleet(fleet), targets(std::move(targets)), random(seed)
{
}

const std::map<std::string, std::uint32_t> &FaultSchedule::injected() const
{
    return this->counts;
}

std::chrono::milliseconds FaultSchedule::between(int min, int max)
{
    return std::chrono::milliseconds(std::uniform_int_distribution(min, max)(this->random));
}

void FaultSchedule::run(std::chrono::seconds duration, std::size_t overlap)
{
    const Time end = std::chrono::steady_clock::now() + duration;
    Time next = std::chrono::steady_clock::now() + this->between(200, 800);
    for (Time now = std::chrono::steady_clock::now(); now < end; now = std::chrono::steady_clock::now()) {
        this->repairUntil(now);
        if (now >= next) {
            if (this->active.size() < overlap) {
                this->inject();
            }
            next = now + this->between(200, 1500);
        }
        std::this_thread::sleep_for(stepTime);
    }
    this->repairUntil(Time::max());
}

void FaultSchedule::repairUntil(Time now)
{
    for (auto fault = this->active.begin(); fault != this->active.end();) {
        if (fault->end > now) {
            ++fault;
            continue;
        }
        fault->repair();
        fault = this->active.erase(fault);
    }
}

bool FaultSchedule::isActive(const std::string &name) const
{
    return std::ranges::any_of(this->active, [&name](const Active &fault) {
        return fault.name == name;
    });
}

std::vector<std::size_t> FaultSchedule::running(const std::vector<std::size_t> &among) const
{
    std::vector<std::size_t> found;
    for (const std::size_t index : among) {
        // Two overlapping faults of one process would restart it twice.
        const bool isAffected = std::ranges::any_of(this->active, [index](const Active &fault) {
            return std::ranges::find(fault.affected, index) != fault.affected.end();
        });
        if (!isAffected) {
            found.push_back(index);
        }
    }
    return found;
}

void FaultSchedule::inject()
{
    switch (std::uniform_int_distribution(0, kinds - 1)(this->random)) {
    case 0:
    case 1:
        this->kill("node_killed", this->targets.nodes);
        return;
    case 2:
    case 3:
        this->pause();
        return;
    case 4:
        this->kill("engine_killed", this->targets.engines);
        return;
    case 5:
        this->breakPlatform("platform_down", R"({"down":true})", R"({"down":false})");
        return;
    case 6:
        this->breakPlatform("platform_slow_or_silent",
                            std::bernoulli_distribution(0.5)(this->random) ? R"({"delay_ms":250})" : R"({"silent":true})",
                            R"({"delay_ms":0,"silent":false})");
        return;
    case 7:
        this->stopGracefully();
        return;
    case 8:
        this->loseDomain();
        return;
    default:
        this->breakPlatform("platform_loses_answers", R"({"lost_answers":0.3})", R"({"lost_answers":0})");
    }
}

void FaultSchedule::kill(const std::string &name, const std::vector<std::size_t> &among)
{
    const std::vector<std::size_t> candidates = this->running(among);
    // One process of each kind keeps running: without any, only the time to the repair would be measured.
    if (candidates.size() < 2) {
        return;
    }
    const std::size_t index = candidates[this->random() % candidates.size()];
    this->fleet.signal(index, SIGKILL);
    ++this->counts[name];
    this->active.push_back({name,
                            std::chrono::steady_clock::now() + this->between(0, 2000),
                            [this, index] {
                                this->fleet.restart(index);
                            },
                            {index}});
}

void FaultSchedule::pause()
{
    const std::vector<std::size_t> candidates = this->running(this->targets.nodes);
    if (candidates.size() < 2) {
        return;
    }
    const std::size_t index = candidates[this->random() % candidates.size()];
    this->fleet.signal(index, SIGSTOP);
    ++this->counts["node_paused"];
    this->active.push_back({"node_paused",
                            std::chrono::steady_clock::now() + this->between(100, 3500),
                            [this, index] {
                                this->fleet.signal(index, SIGCONT);
                            },
                            {index}});
}

void FaultSchedule::stopGracefully()
{
    const std::vector<std::size_t> candidates = this->running(this->targets.nodes);
    if (candidates.size() < 2) {
        return;
    }
    const std::size_t index = candidates[this->random() % candidates.size()];
    this->fleet.signal(index, SIGTERM);
    ++this->counts["node_stopped"];
    this->active.push_back({"node_stopped",
                            std::chrono::steady_clock::now() + this->between(2000, 4000),
                            [this, index] {
                                if (this->fleet.waitEnd(index, maxStopTime) != 0) {
                                    this->fleet.signal(index, SIGKILL);
                                    ++this->counts["node_stop_too_slow"];
                                }
                                this->fleet.restart(index);
                            },
                            {index}});
}

void FaultSchedule::loseDomain()
{
    const bool isAnyProcessAffected = std::ranges::any_of(this->active, [](const Active &fault) {
        return !fault.name.starts_with("platform");
    });
    // Only if no other process is affected: otherwise no failure domain might be left.
    if (this->targets.domains.empty() || isAnyProcessAffected) {
        return;
    }
    const std::vector<std::size_t> lost = this->targets.domains[this->random() % this->targets.domains.size()];
    for (const std::size_t index : lost) {
        this->fleet.signal(index, SIGKILL);
    }
    ++this->counts["domain_lost"];
    this->active.push_back({"domain_lost",
                            std::chrono::steady_clock::now() + this->between(500, 3000),
                            [this, lost] {
                                for (const std::size_t index : lost) {
                                    this->fleet.restart(index);
                                }
                            },
                            lost});
}

void FaultSchedule::breakPlatform(const std::string &name, const std::string &faults, const std::string &repaired)
{
    if (this->isActive(name)) {
        return;
    }
    LocalFleet::call(this->fleet.platform(), "POST", "/faults", faults);
    ++this->counts[name];
    this->active.push_back({name,
                            std::chrono::steady_clock::now() + this->between(300, 3000),
                            [this, repaired] {
                                LocalFleet::call(this->fleet.platform(), "POST", "/faults", repaired);
                            },
                            {}});
}

} // namespace Dogwoodkeel
