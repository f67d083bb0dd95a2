#include <Services/Entry/JobUpload.h>

#include <LibBase/Encoding.h>
#include <LibBase/Hash.h>
#include <Services/Entry/ApiErrors.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
/** Number of objects waiting to be stored at which reading pauses. */
constexpr std::size_t maxPending = 4;
constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::chrono::seconds timeout{30};
constexpr std::chrono::seconds retryAfter{5};

JobBounds boundsOf(const BatchSettings &batch)
{
    return {static_cast<std::size_t>(batch.items),
            static_cast<std::size_t>(batch.itemBytes),
            static_cast<std::size_t>(batch.itemsPerObject)};
}

std::string hexOfHash(std::string_view text, std::uint64_t seed)
{
    const std::uint64_t hash = stableHash(text, seed);
    return encodeHex(std::string_view(reinterpret_cast<const char *>(&hash), sizeof(hash)));
}

} // namespace

std::string contentHash(std::string_view content)
{
    return hexOfHash(content, 1) + hexOfHash(content, 2);
}

JobUpload::JobUpload(EntryContext &context,
                     std::string folder,
                     std::shared_ptr<HttpReply> reply,
                     std::function<void(StoredItems)> onStored)
    : context(context)
    , folder(std::move(folder))
    , reply(std::move(reply))
    , onStored(std::move(onStored))
    , parser(boundsOf(context.settings->batch))
    , lastProgress(context.clock.now())
{
}

BodyHooks JobUpload::hooks()
{
    return {.onData =
                [self = this->shared_from_this()](std::string_view data) {
                    self->onData(data);
                },
            .onEnd =
                [self = this->shared_from_this()] {
                    self->onEnd();
                },
            .onAborted =
                [self = this->shared_from_this()] {
                    self->finish();
                }};
}

void JobUpload::onData(std::string_view data)
{
    if (this->isFinished) {
        return;
    }
    this->parser.feed(data);
    if (this->parser.hasTooManyFindings()) {
        this->refuseItems();
        return;
    }
    this->queueChunks();
    if (this->pending.size() >= maxPending) {
        this->reply->pauseBody();
    }
}

void JobUpload::onEnd()
{
    if (this->isFinished) {
        return;
    }
    this->parser.end();
    if (!this->parser.findings().isEmpty()) {
        this->refuseItems();
        return;
    }
    this->isEnded = true;
    this->queueChunks();
    this->putNext();
}

void JobUpload::queueChunks()
{
    // After an invalid line nothing more is stored, but parsing continues, so that the refusal at the end of the body
    // lists the other invalid lines too.
    const bool isValid = this->parser.findings().isEmpty();
    while (std::optional<ItemChunk> chunk = this->parser.popChunk()) {
        if (!isValid) {
            continue;
        }
        std::string key = this->folder + std::to_string(this->items.objects.size()) + '-' + contentHash(chunk->items);
        this->items.objects.push_back(key);
        this->pending.push_back({std::move(key), std::move(chunk->items)});
        if (!chunk->customIds.empty()) {
            key = this->folder + "ids-" + contentHash(chunk->customIds);
            this->items.idObjects.push_back(key);
            this->pending.push_back({std::move(key), std::move(chunk->customIds)});
        }
    }
    this->putNext();
}

void JobUpload::putNext()
{
    if (this->isFinished || this->isPutting) {
        return;
    }
    if (!this->pending.empty()) {
        this->isPutting = true;
        this->context.platform.objects().putIfAbsent(
            this->pending.front().key, this->pending.front().content, [self = this->shared_from_this()](WriteOutcome outcome) {
                self->onPut(outcome);
            });
        return;
    }
    this->reply->resumeBody();
    if (!this->isEnded) {
        return;
    }
    this->isFinished = true;
    this->items.model = this->parser.model();
    this->items.fingerprint = this->parser.fingerprint();
    this->items.itemCount = this->parser.itemCount();
    this->items.itemsPerObject = this->parser.itemsPerChunk();
    this->onStored(std::move(this->items));
}

void JobUpload::onPut(WriteOutcome outcome)
{
    // The caller has disconnected or was refused while this object was written.
    if (this->isFinished) {
        return;
    }
    // Refused means that an earlier submission already stored the same items under this key.
    if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Refused) {
        this->isPutting = false;
        this->lastProgress = this->context.clock.now();
        this->pending.pop_front();
        this->putNext();
        return;
    }
    if (this->context.clock.now() - this->lastProgress >= timeout) {
        this->refuseNotStored();
        return;
    }
    this->context.loop.schedule(retryDelay, [self = this->shared_from_this()] {
        self->isPutting = false;
        self->putNext();
    });
}

void JobUpload::finish()
{
    this->isFinished = true;
    this->pending.clear();
}

void JobUpload::refuseItems()
{
    this->finish();
    this->context.metrics.countAnswer("job", "bad_items");
    this->reply->send(refusalResponse({statusBadRequest, "bad_items", this->parser.findings().toString(), RunState::NotRun, {}}));
}

void JobUpload::refuseNotStored()
{
    this->finish();
    this->context.metrics.countAnswer("job", "not_stored");
    this->reply->send(refusalResponse({statusUnavailable,
                                       "not_stored",
                                       "the platform takes no writes now: the items are not stored, and the job was not accepted",
                                       RunState::NotRun,
                                       retryAfter}));
}

} // namespace Dogwoodkeel
