#pragma once

#include <LibWire/Codec.h>
#include <LibWire/FrameTraffic.h>
#include <LibWire/PeerLink.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Dogwoodkeel
{

class EventLoop;

/** The outcome of a call to another node. */
enum class CallOutcome {
    Answered,
    /** The request certainly never left this node. */
    NotSent,
    /** The request may have been executed. */
    Unknown,
};

/** The outcome of a call, with the response if there is one. */
template <typename Response>
struct CallResult
{
    CallOutcome outcome = CallOutcome::Unknown;
    /** Set with Answered. */
    std::optional<Response> response;
};

/** A server in this process that is called without a socket. */
struct LocalPeer
{
    using Respond = std::function<void(MessageNumber, std::string)>;

    /** Address at which the server listens for other nodes. */
    Address address;
    /** Passes a request to the server's task; `respond` may be called from that task. */
    std::function<void(MessageNumber number, std::string payload, Respond respond)> call;
};

/** Calls other nodes over one connection to each node. Used from one event loop only. */
class PeerClient
{
public:
    template <typename Response>
    using Answered = std::function<void(CallResult<Response>)>;

    /**
     * @param local if set, calls to its address are passed to it instead of being sent over a socket
     * @param traffic counts sent and received frames, if set
     */
    PeerClient(EventLoop &loop,
               PeerSecurity security,
               std::optional<LocalPeer> local = std::nullopt,
               TrafficMeter *traffic = nullptr);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /**
     * Calls a node.
     * @param address where the node listens
     * @param request the request
     * @param timeout how long to wait for the response; extended while a frame arrives on the connection, as the response is that
     * frame or follows it
     * @param answered called once, from the loop
     */
    template <typename Request>
    void call(const Address &address,
              const Request &request,
              std::chrono::milliseconds timeout,
              Answered<typename Request::Response> answered)
    {
        using Response = typename Request::Response;
        this->callEncoded(
            address, Request::number, encode(request), timeout, [answered](CallOutcome outcome, const Frame &frame) {
                if (outcome != CallOutcome::Answered) {
                    answered({outcome, std::nullopt});
                    return;
                }
                auto response = frame.number == Response::number ? decode<Response>(frame.payload) : std::nullopt;
                const CallOutcome decodedOutcome = response ? CallOutcome::Answered : CallOutcome::Unknown;
                answered({decodedOutcome, std::move(response)});
            });
    }

private:
    using Finish = std::function<void(CallOutcome, const Frame &)>;
    using Correlation = std::uint64_t;

    struct Call
    {
        Address address;
        Finish finish;
        std::chrono::milliseconds timeout{0};
        std::uint64_t timer = 0;
        /** Bytes received on its connection when the timer was set. */
        std::uint64_t bytesAtStart = 0;
        int extensions = 0;
    };

    void callEncoded(
        const Address &address, MessageNumber number, std::string payload, std::chrono::milliseconds timeout, Finish finish);
    /** A connection and the calls that wait for responses on it. */
    struct Link
    {
        std::unique_ptr<PeerLink> connection;
        std::unordered_set<Correlation> calls;
        std::uint64_t timer = 0;
        /** Bytes received up to the last check. */
        std::uint64_t bytesAtLastCheck = 0;
        std::uint64_t probes = 0;
        /** Consecutive checks that found no new bytes. */
        int idleChecks = 0;
    };
    class LocalResponses;

    Link &linkTo(const Address &address);
    void callLocal(Correlation correlation, MessageNumber number, std::string payload);
    void checkLink(const Address &address);
    void scheduleCheck(const Address &address, Link &link);
    void receive(const Frame &frame);
    /** Counts an answer, separately if its call has timed out. */
    void countAnswer(const Address &from, const Frame &frame);
    void watchTimeout(Correlation correlation);
    void onTimeout(Correlation correlation);
    /** @return the open connection of a call, or null. */
    const PeerLink *connectionOf(const Call &call) const;
    void onClosed(const Address &address);
    void finish(Correlation correlation, CallOutcome outcome, const Frame &frame);

    EventLoop &loop;
    PeerSecurity security;
    std::optional<LocalPeer> local;
    std::shared_ptr<LocalResponses> localResponses;
    TrafficMeter *traffic;
    std::map<Address, Link> links;
    Correlation lastCorrelation = 0;
    std::unordered_map<Correlation, Call> calls;
};

} // namespace Dogwoodkeel
