#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/Identifiers.h>
#include <LibProxy/ConnectProbe.h>
#include <LibTask/EventLoop.h>
#include <Services/Gateway/GatewayMetrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/**
 * Checks the end of answers that have no length and end with their connection (RFC 9112, section 6.3).
 *
 * When a process ends, its operating system closes its connections as after a complete answer. Such an end is therefore only
 * accepted from a replica that still accepts connections afterwards. An end that was read after a pause of this process is not
 * accepted: meanwhile another process may have been started at the address.
 */
class AnswerEndCheck
{
public:
    /** Receives whether the end of the answer is the real one, as its replica still runs. */
    using Done = std::function<void(bool isProven)>;

    AnswerEndCheck(EventLoop &loop, const Clock &clock, ConnectProbe &probe, GatewayMetrics &metrics);
    ~AnswerEndCheck();
    AnswerEndCheck(const AnswerEndCheck &) = delete;
    AnswerEndCheck &operator=(const AnswerEndCheck &) = delete;

    /** Checks a replica at the end of its answer. Ends at the same address within a few milliseconds share a probe. */
    void start(const EndpointName &replica, const Address &address, Done done);

    /** Records that this process has just continued after a pause. */
    void recordPause();

private:
    struct Check
    {
        EndpointName replica;
        /** When the first of the ends was read. */
        SteadyTime ended{};
        std::vector<Done> waiting;
    };

    void probeReplica(const Address &address);
    bool hasPausedBefore(const Check &check) const;
    void finish(const Check &check, std::string_view outcome, bool isProven);

    EventLoop &loop;
    const Clock &clock;
    ConnectProbe &probe;
    GatewayMetrics &metrics;
    /** Checks whose probe has not started. */
    std::map<Address, Check> pending;
    std::optional<SteadyTime> lastPause;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Dogwoodkeel
