#pragma once

#include <LibWire/Codec.h>
#include <LibWire/PeerLink.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

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

/** Calls other nodes, over one connection each. Lives on one event loop. */
class PeerClient
{
public:
    template <typename Response>
    using Answered = std::function<void(CallResult<Response>)>;

    PeerClient(EventLoop &loop, PeerSecurity security);
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
    PeerLink &linkTo(const Address &address);
    void receive(const Frame &frame);
    void onTimeout(Correlation correlation);
    void onClosed(const Address &address);
    void finish(Correlation correlation, CallOutcome outcome, const Frame &frame);

    EventLoop &loop;
    PeerSecurity security;
    std::map<Address, std::unique_ptr<PeerLink>> links;
    Correlation lastCorrelation = 0;
    std::unordered_map<Correlation, Call> calls;
};

} // namespace Dogwoodkeel
