#pragma once

#include <LibBase/Address.h>
#include <LibBase/Scheduler.h>
#include <LibGateway/ChunkStore.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Fetches large texts from other nodes chunk by chunk.
 *
 * A text that is sent as a whole is late on a link that it fills for longer than the timeout of a call, and each repetition of
 * the call fills the link again. Here a node requests one batch of chunks at a time, whatever it fetches and from whom, so that
 * what is under way to it stays small; a chunk that has arrived is never requested again, also if it arrives late or for an
 * attempt that has failed.
 */
class ChunkFetcher
{
public:
    using Fetched = std::function<void(std::optional<std::string>)>;
    /** Receives the answer to a request; null if there is none. */
    using Answered = std::function<void(const ChunkAnswer *)>;

    struct Hooks
    {
        /** Requests chunks from a node. */
        std::function<void(const Address &, const ChunkRequest &, std::chrono::milliseconds timeout, Answered)> request;
        /** @return further nodes that most likely have the chunks, so that not all nodes request them from the same one. */
        std::function<std::vector<Address>()> otherSources = [] {
            return std::vector<Address>();
        };
    };

    ChunkFetcher(Scheduler &scheduler, ChunkStore &store, std::uint64_t seed, Hooks hooks);
    ~ChunkFetcher();
    ChunkFetcher(const ChunkFetcher &) = delete;
    ChunkFetcher &operator=(const ChunkFetcher &) = delete;

    /**
     * Fetches a text. Joins a fetch of the same text.
     * @param source the node that sent the outline
     * @param done receives the text, or nothing if no source answers any more; called from the loop
     * @param progressed called whenever chunks have arrived
     */
    void fetch(
        const TextOutline &outline, const Address &source, Fetched done, std::function<void()> progressed = [] {});

private:
    using Digest = ChunkStore::Digest;

    struct Fetch
    {
        TextOutline outline;
        std::set<Address> sources;
        /** Sources that did not answer, or had none of the chunks requested from them. */
        std::set<Address> failedSources;
        /** Empty after a failure: chunks that arrive late are still kept for the next attempt. */
        std::vector<Fetched> done;
        std::vector<std::function<void()>> progressed;
        TimerId expiry = 0;
    };

    /** The batch of chunks that is under way. */
    struct Request
    {
        std::uint64_t number = 0;
        Digest text = 0;
        Address source;
        TimerId timer = 0;
    };

    void requestNext();
    bool mayRequest() const;
    void request(Fetch &fetch, const Address &source);
    std::optional<Address> selectSource(const Fetch &fetch);
    ChunkRequest selectBatch(const Fetch &fetch);
    bool isUnanswered(Digest chunk) const;
    void receive(std::uint64_t number, Digest text, const Address &source, const ChunkAnswer *answer);
    void recordFailure(Digest text, const Address &source);
    void completeFetches();
    void complete(Digest text);
    void giveUp(Digest text);

    Scheduler &scheduler;
    ChunkStore &store;
    std::minstd_rand random;
    Hooks hooks;
    std::map<Digest, Fetch> fetches;
    /** The digests of the texts, the most recently requested one last. */
    std::vector<Digest> order;
    std::optional<Request> current;
    std::uint64_t lastRequest = 0;
    /** The chunks of requests that are not answered, by number: they may still arrive, and are requested again last. */
    std::map<std::uint64_t, std::set<Digest>> unanswered;
    /** After this time, a batch is requested from another node. Grows while nothing arrives, as the links are full then. */
    std::chrono::milliseconds retryDelay;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
