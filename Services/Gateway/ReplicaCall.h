#pragma once

#include <LibProxy/OutboundPool.h>
#include <Services/Gateway/GatewayContext.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Handles the answer to a request that was sent to a replica. */
class ReplicaAnswerHandler
{
public:
    virtual ~ReplicaAnswerHandler() = default;

    /** Handles the head of the answer. */
    virtual void handleHead(const MessageHead &head) = 0;
    /** Handles the next chunk of the body. */
    virtual void handleBody(std::string_view data) = 0;
    /** Handles the end of the call. No other function is called after this one. */
    virtual void handleEnd(CallEnd end) = 0;
};

/** @return hooks that pass an answer on to the handler, and keep the handler alive until the call ends. */
CallHooks hooksFor(const std::shared_ptr<ReplicaAnswerHandler> &handler);

/**
 * @param id the id of the request that was sent
 * @return a predicate that is true for the head of an answer to this request. An answer that names another request is a late one
 *         that was still on the connection
 */
std::function<bool(const MessageHead &)> isAnswerTo(std::string id);

/**
 * @param maxIdle how long a connection may have been idle to be usable for the request
 * @return the name hashes of the replicas of a service to which this node has a usable open connection, see nameHashOf()
 */
std::vector<std::uint32_t>
connectedReplicas(const GatewayContext &context, const ServiceName &service, std::chrono::milliseconds maxIdle);

/** The entry by which a request is sent to a replica, as it is logged. */
struct SentEntry
{
    std::string source;
    std::int64_t version = 0;
    /** Time since the entry was last received. */
    std::chrono::milliseconds age{0};
    /** Time since its removal became known, if it is kept nevertheless; otherwise -1 ms. */
    std::chrono::milliseconds sinceRemoval{-1};
};

/** Describes the entry of a replica to which a request is sent, and counts the request if the entry is kept after its removal. */
SentEntry describeEntry(const GatewayContext &context, const ServingReplica &replica);

/** @return the replica of a placement, as far as the dispatcher described it. */
ServingReplica placedReplica(const Placement &placement, const ServiceName &service);

} // namespace Dogwoodkeel
