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

/** What became of a call to another node. */
enum class CallOutcome {
    Answered,
    /** Proved: the request never left this node. */
    NotSent,
    /** It may have been carried out. */
    Unknown,
};

/** The outcome of a call, with the response if there is one. */
template <typename Response>
struct CallResult
{
    CallOutcome outcome = CallOutcome::Unknown;
    /** With Answered. */
    std::optional<Response> response;
};

/** Reaches a server in this process without a socket. */
struct LocalPeer
{
    using Respond = std::function<void(MessageNumber, std::string)>;

    /** Where the server listens for others. */
    Address address;
    /** Hands a request to the server's task; the response may be given there. */
    std::function<void(MessageNumber number, std::string payload, Respond respond)> call;
};

/** Calls other nodes, over one connection each. Lives on one event loop. */
class PeerClient
{
public:
    template <typename Response>
    using Answered = std::function<void(CallResult<Response>)>;

    /**
     * @param local if set, calls to its address go to it instead of through a socket
     * @param traffic counts what is sent and received, if set
     */
    PeerClient(EventLoop &loop,
               PeerSecurity security,
               std::optional<LocalPeer> local = std::nullopt,
               TrafficMeter *traffic = nullptr);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /**
     * Call a node.
     * @param address where it listens
     * @param request what to ask
     * @param timeout how long to wait for the answer
     * @param answered told once, from the loop
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
                const CallOutcome understood = response ? CallOutcome::Answered : CallOutcome::Unknown;
                answered({understood, std::move(response)});
            });
    }

private:
    using Finish = std::function<void(CallOutcome, const Frame &)>;
    using Correlation = std::uint64_t;

    struct Call
    {
        Address address;
        Finish finish;
        std::uint64_t timer = 0;
    };

    void callEncoded(
        const Address &address, MessageNumber number, std::string payload, std::chrono::milliseconds timeout, Finish finish);
    /** A connection and the calls that wait on it. */
    struct Link
    {
        std::unique_ptr<PeerLink> connection;
        std::unordered_set<Correlation> calls;
        std::uint64_t timer = 0;
        /** What had come by the last look. */
        std::uint64_t bytesSeen = 0;
        std::uint64_t probes = 0;
        /** Looks since anything came. */
        int silentLooks = 0;
    };
    class LocalReturn;

    Link &linkTo(const Address &address);
    void callLocal(Correlation correlation, MessageNumber number, std::string payload);
    void lookAt(const Address &address);
    void armLook(const Address &address, Link &link);
    void receive(const Frame &frame);
    void onTimeout(Correlation correlation);
    void onClosed(const Address &address);
    void finish(Correlation correlation, CallOutcome outcome, const Frame &frame);

    EventLoop &loop;
    PeerSecurity security;
    std::optional<LocalPeer> local;
    std::shared_ptr<LocalReturn> localReturn;
    TrafficMeter *traffic;
    std::map<Address, Link> links;
    Correlation lastCorrelation = 0;
    std::unordered_map<Correlation, Call> calls;
};

} // namespace Dogwoodkeel
