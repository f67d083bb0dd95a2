#include <Services/Entry/LoadNotices.h>

#include <utility>

namespace Dogwoodkeel
{

LoadNotices::LoadNotices(EventLoop &loop, DatagramSocket &socket, SessionNumber self)
    : loop(loop), socket(socket), self(self), view(std::make_shared<MemberView>(std::vector<Member>()))
{
}

void LoadNotices::setView(MemberViewPointer view)
{
    this->view = std::move(view);
}

void LoadNotices::setSession(SessionNumber self)
{
    this->self = self;
}

void LoadNotices::changed(const Replica &replica)
{
    if (this->dirty.empty()) {
        this->loop.post([this] {
            this->flush();
        });
    }
    this->dirty.insert(&replica);
}

void LoadNotices::flush()
{
    for (const Replica *const replica : std::exchange(this->dirty, {})) {
        this->send(replica->name, replica->inFlight);
    }
}

void LoadNotices::repeat(const std::list<Replica> &replicas)
{
    for (const Replica &replica : replicas) {
        if (replica.inFlight > 0) {
            this->send(replica.name, replica.inFlight);
        }
    }
}

void LoadNotices::send(const EndpointName &name, std::uint32_t inFlight)
{
    if (const Member *const holder = this->view->laneHolderOf(name)) {
        this->socket.send(holder->lane, ReplicaLoad{this->self, ++this->sequence, name, inFlight});
    }
}

} // namespace Dogwoodkeel
