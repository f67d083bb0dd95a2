#pragma once

#include <LibBase/Clock.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibRouting/Quarantine.h>
#include <LibWire/Generated/Messages.h>

#include <functional>
#include <memory>
#include <string>

namespace Dogwoodkeel
{

/** A batch item with the tokens it has so far, which are kept when it has to yield. */
struct HeldItem
{
    BatchItem item;
    std::string text;
    std::uint32_t tokens = 0;
    /** Runs that went silent; none of them is held against it. */
    std::uint32_t silences = 0;
    ContentFingerprint fingerprint;
};

/** How a run of an item ended. */
enum class RunEnd {
    Finished,
    /** The endpoint said that the item itself is wrong. */
    Rejected,
    /** The endpoint was lost or broke off. */
    Lost,
    /** The endpoint refused it before running. */
    Refused,
};

/** One run of a batch item at an engine. */
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    using Ended = std::function<void(RunEnd, const std::string &detail)>;

    /** Told of a time that has passed. */
    using Gap = std::function<void(std::chrono::nanoseconds)>;

    /** What a run tells. */
    struct Hooks
    {
        std::function<void()> firstToken;
        /** The time between two tokens. */
        Gap gap;
        /** Told once, unless stop() comes first; nothing comes after it. */
        Ended ended;
    };

    /** @param runId names this run to the engine; no other run has the same */
    ItemRun(HttpClient &http, const Clock &clock, HeldItem held, std::string runId);

    void start(const Address &engine, ConnectionChoice connection, Hooks hooks);

    /** @return whether this run got a token. */
    bool hasProceeded() const;

    /**
     * Cancel it at the engine: by its id, which takes effect at once, and by closing the connection, which engines notice
     * at a later token.
     * @param cancelled told how long the engine took to confirm, if it does; may be empty
     * @return the item, with the tokens it got
     */
    HeldItem stop(const Gap &cancelled = {});

    /** @return when it was sent. */
    SteadyTime sent() const;

    /** @return when the engine last gave a sign of life on it. */
    SteadyTime lastProgress() const;

    const HeldItem &held() const;

private:
    std::string engineBody() const;
    void onData(std::string_view data);
    void tellGap(std::uint32_t tokens);
    void onEnd(ExchangeEnd end);
    void finish(RunEnd end, const std::string &detail);

    HttpClient &http;
    const Clock &clock;
    HeldItem current;
    std::string runId;
    Address engine;
    Hooks hooks;
    SteadyTime sentAt{};
    SteadyTime progressAt{};
    bool hasToken = false;
    HttpClient::ExchangeId exchange = 0;
    ServerSentEvents events;
    std::string finishReason;
    std::string errorBody;
    int status = 0;
    bool sawEnd = false;
};

} // namespace Dogwoodkeel
