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

/** Results of the requests of one kind of caller in one phase. */
struct CallerTally
{
    Durations answered;
    /** Answers other than 200, by status and reason. */
    std::map<std::string, std::uint64_t> refused;
    /** Requests whose connection was lost after they were sent, or whose answer was incomplete. */
    std::uint64_t interrupted = 0;
    /** Requests whose connection was refused and that were sent to the next address of the answer. */
    std::uint64_t retried = 0;
};

/**
 * Callers that follow the entry list: they fetch the addresses to use from GET /v1/entries, keep the answer for its time to
 * live, and send to the first address, or to the next one if nothing listens there. They run on a thread of their own.
 */
class FollowingCallers
{
public:
    /** What callers of one kind send. */
    struct Kind
    {
        std::string name;
        std::size_t callers = 1;
        std::chrono::milliseconds pause{10};
        /** Makes the request with this number. */
        std::function<HttpRequest(std::uint64_t number)> make;
        /** Returns whether an answer with status 200 is complete. */
        std::function<bool(const HttpResponse &)> isWhole;
    };

    /**
     * @param bootstrap addresses from which the entry list is fetched first
     * @param failureDomains failure domains that are assigned to the callers in turn
     */
    FollowingCallers(std::vector<Address> bootstrap, std::vector<std::string> failureDomains);
    ~FollowingCallers();
    FollowingCallers(const FollowingCallers &) = delete;
    FollowingCallers &operator=(const FollowingCallers &) = delete;

    void start(std::vector<Kind> kinds);

    /** Starts a phase: later results are counted under this name. */
    void enterPhase(const std::string &phase);

    /** Waits for the requests in flight, then stops. */
    void stop();

    /** @return the results by phase and kind; to be called after stop(). */
    std::map<std::string, std::map<std::string, CallerTally>> &tallies();

private:
    struct Caller;

    void next(const std::shared_ptr<Caller> &caller);
    void fetchEntries(const std::shared_ptr<Caller> &caller, std::size_t address);
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
