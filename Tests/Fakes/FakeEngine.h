#pragma once

#include <LibBase/SystemClock.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/HttpServer.h>
#include <LibTask/EventLoop.h>
#include <Tests/Fakes/EngineOrders.h>
#include <Tests/Fakes/PrefixCache.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Dogwoodkeel
{

/**
 * Stand-in for a model engine with continuous batching; docs/design/engine-stand-in.md describes its costs and its calls.
 * Token n of a prompt is the same on every engine, so that an answer can be checked whichever engines made its parts.
 */
class FakeEngine
{
public:
    /** Durations of its work, its limits, and the delay of its reports. */
    struct Options
    {
        /** Streams that run concurrently; further ones are queued in order of arrival. */
        std::size_t capacity = 8;
        std::chrono::microseconds step{2000};
        std::chrono::microseconds perStream{100};
        /** Prefill of each request, independent of its prompt. */
        std::chrono::microseconds prefill{5000};
        /** Prefill of each 1024 bytes of prompt that are not in the prefix cache. */
        std::chrono::microseconds prefillPerKilobyte{2000};
        /** Max prefill time in one step; the streams that generate tokens wait for it. */
        std::chrono::microseconds prefillChunk{4000};
        /** Import or export of the KV cache of 1024 bytes of prompt. */
        std::chrono::microseconds transferPerKilobyte{500};
        std::size_t cachedBlocks = 4096;
        std::chrono::milliseconds reportLag{0};
        std::chrono::milliseconds eventLag{0};
        /** One in this many cache events is lost; 0 loses none. */
        std::uint64_t eventLostEvery = 0;
        /** Steps take three times as long for this time after the start. */
        std::chrono::milliseconds slowStart{0};
        /** How long an ordered load takes, and whether old fencing numbers are rejected. */
        EngineOrders::Options orders;
    };

    FakeEngine(EventLoop &loop, const Address &address, Options options);

    const Address &address() const;

    /** @return the whole answer to a prompt. */
    static std::string expectedText(const std::string &prompt, std::uint32_t tokens);

    /** @return how often a request with each prompt was started. */
    const std::map<std::string, std::uint32_t> &starts() const;

private:
    using Reply = std::shared_ptr<HttpReply>;
    using Json = nlohmann::json;

    struct Stream
    {
        Reply reply;
        std::string requestId;
        std::string prompt;
        /** Text of this answer so far, including what was generated before it was resumed here. */
        std::string text;
        bool isChat = false;
        /** Its connection is unresponsive: the stream runs, but none of its output is sent. */
        bool isUnresponsive = false;
        std::uint32_t next = 0;
        std::uint32_t end = 0;
        std::chrono::microseconds prefillLeft{0};
    };

    struct Report
    {
        SteadyTime at{};
        std::size_t running = 0;
        std::size_t queued = 0;
    };

    struct CacheEvent
    {
        SteadyTime at{};
        std::uint64_t number = 0;
        bool isStored = false;
        PrefixBlock block;
    };

    void serve(const HttpRequest &request, const Reply &reply);
    void complete(const HttpRequest &request, const Reply &reply);
    void order(const HttpRequest &request, const Reply &reply);
    void cancel(const HttpRequest &request, const Reply &reply);
    void setFaults(const HttpRequest &request, const Reply &reply);
    void exportCache(const HttpRequest &request, const Reply &reply);
    void importCache(const HttpRequest &request, const Reply &reply);
    Json load();
    Json events(const HttpRequest &request) const;
    Json counts() const;

    void admit();
    void armStep();
    void step();
    void spendPrefill();
    void emit(Stream &stream);
    void dropDisconnected();
    void onChange();
    void recordEvent(const char *what, const std::string &requestId);
    void addCacheEvent(bool isStored, const PrefixBlock &block);

    EventLoop &loop;
    Options options;
    SteadyTime started;
    SteadyTime changed;
    SteadyTime stepEnd{};
    std::chrono::microseconds prefillOfStep{0};
    bool isStepping = false;
    std::vector<Stream> streams;
    std::deque<Stream> queue;
    PrefixCache cache;
    SystemClock clock;
    EngineOrders orders;

    std::deque<Report> reports;
    std::deque<CacheEvent> cacheEvents;
    std::uint64_t lastEvent = 0;
    std::map<std::string, std::uint32_t> startsByPrompt;
    std::uint64_t tokens = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t startsWhileLeaving = 0;
    std::size_t maxStreams = 0;
    std::size_t maxQueued = 0;
    std::chrono::microseconds overCapacity{0};
    std::deque<std::string> notes;

    double slowness = 1;
    bool refuses = false;
    bool isLeaving = false;
    /** Connections that sent requests, and those of them that are now unresponsive. */
    std::set<Address> peers;
    std::set<Address> unresponsivePeers;
    /** Kept, because a reply that is destroyed is answered. */
    std::vector<Reply> unanswered;
    HttpServer server;
};

} // namespace Dogwoodkeel
