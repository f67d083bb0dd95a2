#include <LibGateway/ChunkFetcher.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

/** Maximum size of the chunks in one request: on the slowest links it arrives within some ten milliseconds. */
constexpr std::size_t maxBatchBytes = 16384;
constexpr std::chrono::milliseconds minRetryDelay{400};
constexpr std::chrono::milliseconds maxRetryDelay{3200};
/** Bounds what is under way to this node, whoever sends it, however often a text is requested. */
constexpr std::size_t maxUnanswered = 4;
/** A later answer is of no use: the attempt has long been given up. */
constexpr std::chrono::milliseconds answerTimeout{5000};
/** Bounds the memory that the outline of another node can claim. */
constexpr std::size_t maxTextBytes = 67108864;

std::size_t sizeOf(const TextOutline &outline)
{
    std::size_t bytes = 0;
    for (const ChunkReference &chunk : outline.chunks) {
        bytes += chunk.bytes;
    }
    return bytes;
}

} // namespace

ChunkFetcher::ChunkFetcher(Scheduler &scheduler, ChunkStore &store, std::uint64_t seed, Hooks hooks)
    : scheduler(scheduler)
    , store(store)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , hooks(std::move(hooks))
    , retryDelay(minRetryDelay)
{
}

ChunkFetcher::~ChunkFetcher()
{
    *this->alive = false;
    if (this->current) {
        this->scheduler.cancel(this->current->timer);
    }
    for (const auto &[digest, fetch] : this->fetches) {
        this->scheduler.cancel(fetch.expiry);
    }
}

void ChunkFetcher::fetch(const TextOutline &outline, const Address &source, Fetched done, std::function<void()> progressed)
{
    if (sizeOf(outline) > maxTextBytes) {
        this->scheduler.schedule(std::chrono::milliseconds(0), [done = std::move(done)] {
            done(std::nullopt);
        });
        return;
    }
    const auto [found, isNew] = this->fetches.try_emplace(outline.digest);
    Fetch &fetch = found->second;
    if (isNew) {
        fetch.outline = outline;
        this->store.reserve(outline);
    }
    this->scheduler.cancel(std::exchange(fetch.expiry, 0));
    fetch.sources.insert(source);
    fetch.failedSources.erase(source);
    fetch.done.push_back(std::move(done));
    fetch.progressed.push_back(std::move(progressed));
    std::erase(this->order, outline.digest);
    this->order.push_back(outline.digest);
    this->scheduler.schedule(std::chrono::milliseconds(0), [this, alive = this->alive] {
        if (*alive) {
            this->completeFetches();
            this->requestNext();
        }
    });
}

void ChunkFetcher::requestNext()
{
    const std::vector<Digest> newestLast = this->order;
    for (auto digest = newestLast.rbegin(); digest != newestLast.rend() && this->mayRequest(); ++digest) {
        const auto found = this->fetches.find(*digest);
        if (found == this->fetches.end() || found->second.done.empty()) {
            continue;
        }
        if (const std::optional<Address> source = this->selectSource(found->second)) {
            this->request(found->second, *source);
        } else {
            this->giveUp(*digest);
        }
    }
}

bool ChunkFetcher::mayRequest() const
{
    return !this->current && this->unanswered.size() < maxUnanswered;
}

std::optional<Address> ChunkFetcher::selectSource(const Fetch &fetch)
{
    std::vector<Address> candidates(fetch.sources.begin(), fetch.sources.end());
    for (const Address &other : this->hooks.otherSources()) {
        if (!fetch.sources.contains(other)) {
            candidates.push_back(other);
        }
    }
    std::erase_if(candidates, [&fetch](const Address &candidate) {
        return fetch.failedSources.contains(candidate);
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    return candidates[choice(this->random)];
}

ChunkRequest ChunkFetcher::selectBatch(const Fetch &fetch)
{
    std::vector<ChunkReference> missing = this->store.missing(fetch.outline);
    // Nodes that fetch the same text at the same time begin at different chunks, so that they can help each other.
    std::ranges::shuffle(missing, this->random);
    std::stable_partition(missing.begin(), missing.end(), [this](const ChunkReference &chunk) {
        return !this->isUnanswered(chunk.digest);
    });
    ChunkRequest batch;
    std::size_t bytes = 0;
    for (const ChunkReference &chunk : missing) {
        bytes += chunk.bytes;
        if (!batch.digests.empty() && bytes > maxBatchBytes) {
            break;
        }
        batch.digests.push_back(chunk.digest);
    }
    return batch;
}

bool ChunkFetcher::isUnanswered(Digest chunk) const
{
    return std::ranges::any_of(this->unanswered, [chunk](const auto &entry) {
        return entry.second.contains(chunk);
    });
}

void ChunkFetcher::request(Fetch &fetch, const Address &source)
{
    const std::uint64_t number = ++this->lastRequest;
    const Digest text = fetch.outline.digest;
    const ChunkRequest batch = this->selectBatch(fetch);
    const TimerId timer = this->scheduler.schedule(this->retryDelay, [this, text, source] {
        this->current.reset();
        this->retryDelay = std::min(2 * this->retryDelay, maxRetryDelay);
        this->recordFailure(text, source);
        this->requestNext();
    });
    this->current = Request{number, text, source, timer};
    this->unanswered.emplace(number, std::set<Digest>(batch.digests.begin(), batch.digests.end()));
    this->hooks.request(
        source, batch, answerTimeout, [this, alive = this->alive, number, text, source](const ChunkAnswer *answer) {
            if (*alive) {
                this->receive(number, text, source, answer);
            }
        });
}

void ChunkFetcher::receive(std::uint64_t number, Digest text, const Address &source, const ChunkAnswer *answer)
{
    this->unanswered.erase(number);
    bool hasContent = false;
    if (answer != nullptr) {
        for (const std::string &chunk : answer->chunks) {
            hasContent = hasContent || !chunk.empty();
            this->store.add(chunk);
        }
    }
    if (hasContent) {
        this->retryDelay = minRetryDelay;
    }
    if (const auto fetch = this->fetches.find(text); hasContent && fetch != this->fetches.end()) {
        fetch->second.failedSources.erase(source);
        for (const std::function<void()> &progressed : fetch->second.progressed) {
            progressed();
        }
    }
    if (this->current && this->current->number == number) {
        this->scheduler.cancel(this->current->timer);
        this->current.reset();
        if (!hasContent) {
            this->recordFailure(text, source);
        }
    }
    this->completeFetches();
    this->requestNext();
}

void ChunkFetcher::recordFailure(Digest text, const Address &source)
{
    if (const auto fetch = this->fetches.find(text); fetch != this->fetches.end()) {
        fetch->second.failedSources.insert(source);
    }
}

void ChunkFetcher::completeFetches()
{
    const std::vector<Digest> digests = this->order;
    for (const Digest digest : digests) {
        const auto found = this->fetches.find(digest);
        const bool isExpected = found != this->fetches.end() && !found->second.done.empty();
        if (isExpected && this->store.missing(found->second.outline).empty()) {
            this->complete(digest);
        }
    }
}

void ChunkFetcher::complete(Digest text)
{
    const auto fetch = this->fetches.extract(text);
    std::erase(this->order, text);
    this->scheduler.cancel(fetch.mapped().expiry);
    const std::optional<std::string> result = this->store.assemble(fetch.mapped().outline);
    for (const Fetched &done : fetch.mapped().done) {
        done(result);
    }
    // Only now: the receivers may keep the chunks.
    this->store.release(fetch.mapped().outline);
}

void ChunkFetcher::giveUp(Digest text)
{
    Fetch &fetch = this->fetches.at(text);
    fetch.failedSources.clear();
    fetch.expiry = this->scheduler.schedule(answerTimeout, [this, text] {
        const auto expired = this->fetches.extract(text);
        std::erase(this->order, text);
        this->store.release(expired.mapped().outline);
    });
    fetch.progressed.clear();
    for (const Fetched &done : std::exchange(fetch.done, {})) {
        done(std::nullopt);
    }
}

} // namespace Dogwoodkeel
