#include <Services/Gateway/ReplicaCall.h>

#include <platform/RequestFormat.h>

#include <utility>

namespace Dogwoodkeel
{

CallHooks hooksFor(const std::shared_ptr<ReplicaAnswerHandler> &handler)
{
    return {
        .onHead =
            [handler](const MessageHead &head) {
                handler->handleHead(head);
            },
        .onBody =
            [handler](std::string_view data) {
                handler->handleBody(data);
            },
        .onEnd =
            [handler](CallEnd end) {
                handler->handleEnd(end);
            },
    };
}

std::function<bool(const MessageHead &)> isAnswerTo(std::string id)
{
    return [id = std::move(id)](const MessageHead &head) {
        const ReplicaAnswer read = decodeReplicaAnswer(head);
        return read.requestId.empty() || read.requestId == id;
    };
}

std::vector<std::uint32_t>
connectedReplicas(const GatewayContext &context, const ServiceName &service, std::chrono::milliseconds maxIdle)
{
    std::vector<std::uint32_t> marks;
    for (const Address &address : context.replicaConnections.connectedAddresses(maxIdle)) {
        const ServingReplica *const replica = context.replicaList.findAt(address);
        if (replica != nullptr && replica->service == service) {
            marks.push_back(nameHashOf(replica->instance));
        }
    }
    return marks;
}

SentEntry describeEntry(const GatewayContext &context, const ServingReplica &replica)
{
    const EntryState state = context.replicaList.state(replica.instance);
    const SteadyTime now = context.clock.now();
    SentEntry entry;
    entry.source = nameOf(state.origin.source);
    entry.version = static_cast<std::int64_t>(state.origin.version);
    entry.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.origin.received);
    if (state.removed) {
        entry.sinceRemoval = std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.removed);
        context.metrics.countEvent("request sent by a kept entry");
    }
    return entry;
}

ServingReplica placedReplica(const Placement &placement, const ServiceName &service)
{
    ServingReplica replica;
    replica.instance = placement.replica;
    replica.registeredName = placement.registeredName;
    replica.service = service;
    replica.address = placement.address;
    replica.version = placement.version;
    return replica;
}

} // namespace Dogwoodkeel
