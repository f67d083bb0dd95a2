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

/** A batch item with the tokens generated so far, which are kept when the item has to yield. */
struct HeldItem
{
    BatchItem item;
    std::string text;
    std::uint32_t tokens = 0;
    /** Number of runs that stalled. A stall does not count as a loss for the quarantine. */
    std::uint32_t stalls = 0;
    ContentFingerprint fingerprint;
};

/** How a run of an item ended. */
enum class RunEnd {
    Finished,
    /** The endpoint reported that the item itself is invalid. */
    Rejected,
    /** The endpoint or the connection to it was lost. */
    Lost,
    /** The endpoint refused it before running. */
    Refused,
};

/** One run of a batch item at an engine. */
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    using Ended = std::function<void(RunEnd, const std::string &detail)>;

    /** Receives a duration. */
    using Gap = std::function<void(std::chrono::nanoseconds)>;

    /** Callbacks of a run. */
    struct Hooks
    {
        std::function<void()> firstToken;
        /** The time between two tokens. */
        Gap gap;
        /** Called once, unless stop() is called before. No other callback follows. */
        Ended ended;
    };

    /** @param runId identifies this run to the engine; unique among all runs */
    ItemRun(HttpClient &http, const Clock &clock, HeldItem held, std::string runId);

    void start(const Address &engine, ConnectionChoice connection, Hooks hooks);

    /** @return whether this run received a token. */
    bool hasProceeded() const;

    /**
     * Cancels the run at the engine by its id, which takes effect at once, and by closing the connection, which engines
     * detect only at a later token.
     * @param cancelled called once with the time until the engine confirmed, unless it does not confirm; may be empty
     * @return the item with the tokens received
     */
    HeldItem stop(const Gap &cancelled = {});

    /** @return when the request was sent. */
    SteadyTime sent() const;

    /** @return when the engine last sent data for this run. */
    SteadyTime lastProgress() const;

    const HeldItem &held() const;

private:
    std::string engineBody() const;
    void onData(std::string_view data);
    void reportGap(std::uint32_t tokens);
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
