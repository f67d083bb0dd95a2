#pragma once

#include <Benchmarks/Support/Figures.h>

#include <LibBase/Address.h>
#include <LibHttp/HttpClient.h>
#include <LibTask/EventLoop.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Dogwoodkeel
{

/** What callers of one kind met in one phase. */
struct CallerTally
{
    Durations answered;
    /** Answers other than 200, by status and reason. */
    std::map<std::string, std::uint64_t> refused;
    /** Requests whose connection broke after they were sent, or whose answer was not whole. */
    std::uint64_t cut = 0;
    /** Requests that met no listener and went to the next address of the answer. */
    std::uint64_t retried = 0;
};

/**
 * Callers that do as they are told: they ask GET /v1/entries which addresses to use, keep the answer for its time to live,
 * and send to the first address, or to the next one if nobody listens there. They run on a thread of their own.
 */
class FollowingCallers
{
public:
    /** What a kind of caller sends. */
    struct Kind
    {
        std::string name;
        std::size_t callers = 1;
        std::chrono::milliseconds pause{10};
        /** The request with this number. */
        std::function<HttpRequest(std::uint64_t number)> make;
        /** Whether an answer with status 200 is whole. */
        std::function<bool(const HttpResponse &)> isWhole;
    };

    /**
     * @param bootstrap addresses to ask first
     * @param failureDomains that the callers are near to, in turn
     */
    FollowingCallers(std::vector<Address> bootstrap, std::vector<std::string> failureDomains);
    ~FollowingCallers();
    FollowingCallers(const FollowingCallers &) = delete;
    FollowingCallers &operator=(const FollowingCallers &) = delete;

    void start(std::vector<Kind> kinds);

    /** What happens from now on is counted under this name. */
    void enterPhase(const std::string &phase);

    /** Finish what runs and stop. */
    void stop();

    /** @return by phase and kind; call after stop(). */
    std::map<std::string, std::map<std::string, CallerTally>> &tallies();

private:
    struct Caller;

    void next(const std::shared_ptr<Caller> &caller);
    void ask(const std::shared_ptr<Caller> &caller, std::size_t address);
    void send(const std::shared_ptr<Caller> &caller, const HttpRequest &request, std::size_t address);
    void pause(const std::shared_ptr<Caller> &caller);

    std::vector<Address> bootstrap;
    std::vector<std::string> failureDomains;
    std::vector<Kind> kinds;
    EventLoop loop;
    std::unique_ptr<HttpClient> client;
    std::string phase = "start";
    std::map<std::string, std::map<std::string, CallerTally>> results;
    std::uint64_t lastNumber = 0;
    std::size_t open = 0;
    bool stopping = false;
    std::thread thread;
};

} // namespace Dogwoodkeel
