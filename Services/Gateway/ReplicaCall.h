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

/** Whoever has sent a request to a replica and takes its answer. */
class ReplicaAnswerHandler
{
public:
    virtual ~ReplicaAnswerHandler() = default;

    /** The answer's head has come. */
    virtual void handleHead(const MessageHead &head) = 0;
    /** A part of its body has come. */
    virtual void handleBody(std::string_view data) = 0;
    /** Nothing more comes. */
    virtual void handleEnd(CallEnd end) = 0;
};

/** @return hooks that pass an answer on to the taker, and keep it as long as the call lasts. */
CallHooks hooksFor(const std::shared_ptr<ReplicaAnswerHandler> &taker);

/**
 * @param id of the request that was sent
 * @return whether a head answers it; an answer that names another request was left on the connection by it
 */
std::function<bool(const MessageHead &)> isAnswerTo(std::string id);

/**
 * @param longestIdle how long a connection may have been idle to be of use for the request
 * @return marks of the replicas of a service to which this node has an open connection
 */
std::vector<std::uint32_t>
connectedReplicas(const GatewayContext &context, const ServiceName &service, std::chrono::milliseconds longestIdle);

/** @return the replica of a place as the dispatcher told it. */
ServingReplica placedReplica(const Placement &placement, const ServiceName &service);

} // namespace Dogwoodkeel
