#include <Services/Control/ConfigurationKeeper.h>

#include <LibBase/Log.h>
#include <LibControl/ConfigurationCheck.h>
#include <LibControl/ConfigurationKeys.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

ConfigurationKeeper::ConfigurationKeeper(
    ConfigurationStore &store, Scheduler &scheduler, const Clock &clock, std::uint64_t seed, Options options, Hooks hooks)
    : store(store)
    , scheduler(scheduler)
    , clock(clock)
    , options(std::move(options))
    , hooks(std::move(hooks))
    , random(seed)
    , loaded(this->options.ownSettings)
{
}

ConfigurationKeeper::~ConfigurationKeeper()
{
    *this->alive = false;
    this->scheduler.cancel(this->checkTimer);
}

void ConfigurationKeeper::start(std::function<void(SettingsPointer)> learnt)
{
    this->learnt = std::move(learnt);
    this->checkPlatform();
}

void ConfigurationKeeper::checkPlatform()
{
    this->store.readNewest(1, [this, alive = this->alive](const ConfigurationRows &read) {
        if (*alive) {
            this->onChecked(read);
        }
    });
}

void ConfigurationKeeper::onChecked(const ConfigurationRows &read)
{
    this->platformAnswers = read.outcome == ReadOutcome::Found;
    this->scheduleCheck();
    if (!this->platformAnswers) {
        return;
    }
    if (read.rows.empty()) {
        this->onNoVersion();
        return;
    }
    const ConfigurationRow &row = read.rows.front();
    this->recordPlatformNumber(row.number);
    if (row.number > this->held.number && !this->fetching) {
        this->fetching = true;
        this->fetchParts(std::make_shared<Fetch>(Fetch{row, {}, std::nullopt}));
    }
}

void ConfigurationKeeper::scheduleCheck()
{
    const auto shared = this->options.checkIntervalPerMember * static_cast<int>(this->peers.size() + 1);
    const auto interval = this->known ? std::max(this->options.minCheckInterval, shared) : this->options.retry;
    // Random jitter, so that nodes that started together do not check the platform together.
    std::uniform_int_distribution<std::int64_t> jitter(0, interval.count() / 2);
    const auto delay = interval * 3 / 4 + std::chrono::milliseconds(jitter(this->random));
    this->checkTimer = this->scheduler.schedule(delay, [this] {
        this->checkPlatform();
    });
}

void ConfigurationKeeper::setPeers(std::vector<Peer> peers)
{
    this->peers = std::move(peers);
    std::uint64_t highest = 0;
    for (const Peer &peer : this->peers) {
        highest = std::max(highest, peer.version);
    }
    this->receive(highest);
}

void ConfigurationKeeper::receive(std::uint64_t number)
{
    this->newest = std::max(this->newest, number);
    const bool isBehind = this->newest > this->held.number;
    const bool mayLearn = !this->known && !this->peers.empty();
    if ((isBehind || mayLearn) && !this->fetching) {
        this->fetch();
    }
}

const ConfigurationKeeper::Peer *ConfigurationKeeper::selectPeer(std::uint64_t number)
{
    std::vector<const Peer *> candidates;
    for (const Peer &peer : this->peers) {
        if (peer.version >= number) {
            candidates.push_back(&peer);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    return candidates[choice(this->random)];
}

void ConfigurationKeeper::fetch()
{
    this->fetching = true;
    const Peer *const peer = this->selectPeer(this->newest);
    if (peer != nullptr && !this->isPlatformNext) {
        this->fetchRowFromPeer(peer->address);
        return;
    }
    this->fetchRowFromPlatform();
}

void ConfigurationKeeper::fetchRowFromPeer(const Address &peer)
{
    this->hooks.queryPeer(peer, [this, peer, alive = this->alive](std::optional<ConfigurationResponse> response) {
        if (!*alive) {
            return;
        }
        if (!response || !response->isKnown) {
            this->fetchFailed();
            return;
        }
        this->newest = std::max(this->newest, response->row.number);
        if (response->row.number == 0) {
            this->fetching = false;
            return;
        }
        this->fetchParts(std::make_shared<Fetch>(Fetch{std::move(response->row), {}, peer}));
    });
}

void ConfigurationKeeper::fetchRowFromPlatform()
{
    this->store.readNewest(1, [this, alive = this->alive](const ConfigurationRows &read) {
        if (!*alive) {
            return;
        }
        this->platformAnswers = read.outcome == ReadOutcome::Found;
        if (!this->platformAnswers || read.rows.empty()) {
            this->fetchFailed();
            if (this->platformAnswers) {
                this->onNoVersion();
            }
            return;
        }
        this->recordPlatformNumber(read.rows.front().number);
        this->fetchParts(std::make_shared<Fetch>(Fetch{read.rows.front(), {}, std::nullopt}));
    });
}

void ConfigurationKeeper::fetchParts(const std::shared_ptr<Fetch> &fetch)
{
    if (fetch->row.number <= this->held.number) {
        // The source is behind the newest known number. The version held is at least as new and is kept.
        this->fetchFailed();
        return;
    }
    for (const std::string &key : fetch->row.parts) {
        if (fetch->parts.contains(key)) {
            continue;
        }
        const auto known = this->heldParts.find(key);
        if (known != this->heldParts.end()) {
            fetch->parts.insert(*known);
            continue;
        }
        const auto onPart = [this, fetch, key, alive = this->alive](std::optional<std::string> content) {
            if (*alive) {
                this->onPart(fetch, key, std::move(content));
            }
        };
        if (!fetch->from) {
            this->store.readPart(key, onPart);
            return;
        }
        this->hooks.queryPeerForPart(*fetch->from, key, [onPart](std::optional<ConfigurationPartResponse> response) {
            const bool isFound = response && response->isFound;
            onPart(isFound ? std::optional(std::move(response->content)) : std::nullopt);
        });
        return;
    }
    this->fetching = false;
    this->isPlatformNext = false;
    this->hold(fetch->row, std::move(fetch->parts));
    this->receive(this->newest);
}

void ConfigurationKeeper::onPart(const std::shared_ptr<Fetch> &fetch, const std::string &key, std::optional<std::string> content)
{
    if (!content || ConfigurationKeys::part(*content) != key) {
        this->fetchFailed();
        return;
    }
    fetch->parts[key] = *std::move(content);
    this->fetchParts(fetch);
}

void ConfigurationKeeper::fetchFailed()
{
    this->isPlatformNext = !this->isPlatformNext;
    if (this->newest > this->number) {
        this->reason = "version " + std::to_string(this->newest) + " could not be fetched yet";
    }
    this->scheduler.schedule(this->options.retry, [this, alive = this->alive] {
        if (*alive) {
            this->fetching = false;
            this->receive(this->newest);
        }
    });
}

void ConfigurationKeeper::adopt(const ConfigurationRow &row, const ConfigurationContent &content)
{
    this->newest = std::max(this->newest, row.number);
    ConfigurationRow repacked = row;
    ConfigurationPartMap parts;
    if (!row.parts.empty()) {
        parts = packContent(content, 0, repacked);
    }
    this->hold(row, std::move(parts));
}

void ConfigurationKeeper::hold(const ConfigurationRow &row, ConfigurationPartMap parts)
{
    if (row.number <= this->held.number) {
        return;
    }
    auto content = unpackContent(row, parts);
    if (!content) {
        this->reason = "version " + std::to_string(row.number) + " is damaged";
        log(LogLevel::Error, "configuration damaged", {{"version", static_cast<std::int64_t>(row.number)}});
        return;
    }
    this->known = true;
    this->held = row;
    this->heldParts = std::move(parts);
    this->heldContent = *std::move(content);
    this->load();
}

void ConfigurationKeeper::load()
{
    Findings findings;
    std::optional<Settings> settings = loadVersion(this->heldContent, this->options.site, this->options.ownFiles, findings);
    if (!settings) {
        // The version was checked before it was accepted, so either a node with another program version accepted it, or this
        // VM's own file is invalid.
        this->reason = "version " + std::to_string(this->held.number) + " does not load here: " + findings.toString();
        log(LogLevel::Error, "configuration does not load", {{"findings", findings.toString()}});
        return;
    }
    this->loaded = std::make_shared<const Settings>(*std::move(settings));
    this->loadedNumber = this->held.number;
    this->finishLearning();
    this->putInForce();
}

void ConfigurationKeeper::onNoVersion()
{
    if (this->newest == 0) {
        this->known = true;
        this->recordPlatformNumber(0);
    }
}

void ConfigurationKeeper::recordPlatformNumber(std::uint64_t number)
{
    this->newest = std::max(this->newest, number);
    if (!this->platformNumber) {
        this->platformNumber = number;
        this->finishLearning();
    }
}

void ConfigurationKeeper::finishLearning()
{
    // With a peer's answer alone, this VM could return to a version older than the one it had in force before a restart:
    // the peer may have missed the newest version when the platform went down, and this node stores no version itself.
    const bool isUpToDate = this->platformNumber && this->loadedNumber >= *this->platformNumber;
    const bool isNone = this->loadedNumber == 0 && this->newest > 0;
    if (!this->learnt || !isUpToDate || isNone) {
        return;
    }
    this->number = this->loadedNumber;
    this->hooks.onInForce(this->number);
    std::exchange(this->learnt, nullptr)(this->loaded);
}

void ConfigurationKeeper::follow()
{
    this->following = true;
    this->putInForce();
}

void ConfigurationKeeper::putInForce()
{
    if (!this->following || this->putting || this->loadedNumber <= this->number) {
        return;
    }
    this->putting = true;
    const std::uint64_t target = this->loadedNumber;
    this->hooks.putInForce(this->loaded, target, [this, target, alive = this->alive] {
        if (!*alive) {
            return;
        }
        this->putting = false;
        this->number = target;
        if (this->number >= this->newest) {
            this->reason.clear();
        }
        log(LogLevel::Info, "configuration in force", {{"version", static_cast<std::int64_t>(target)}});
        this->hooks.onInForce(target);
        this->putInForce();
    });
}

ConfigurationResponse ConfigurationKeeper::respond(const ConfigurationRequest &) const
{
    return {this->known, this->held};
}

ConfigurationPartResponse ConfigurationKeeper::respond(const ConfigurationPartRequest &request) const
{
    const auto found = this->heldParts.find(request.key);
    const bool isFound = found != this->heldParts.end();
    return {isFound, isFound ? found->second : std::string()};
}

std::uint64_t ConfigurationKeeper::inForce() const
{
    return this->number;
}

std::uint64_t ConfigurationKeeper::seen() const
{
    return this->newest;
}

const std::string &ConfigurationKeeper::obstacle() const
{
    return this->reason;
}

const ConfigurationRow &ConfigurationKeeper::row() const
{
    return this->held;
}

const ConfigurationContent &ConfigurationKeeper::content() const
{
    return this->heldContent;
}

bool ConfigurationKeeper::holdsPart(const std::string &key) const
{
    return this->heldParts.contains(key);
}

const SettingsPointer &ConfigurationKeeper::settings() const
{
    return this->loaded;
}

bool ConfigurationKeeper::isPlatformAnswering() const
{
    return this->platformAnswers;
}

} // namespace Dogwoodkeel
