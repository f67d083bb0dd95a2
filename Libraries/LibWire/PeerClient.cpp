#include <LibWire/PeerClient.h>

#include <LibTask/EventLoop.h>

#include <utility>
#include <vector>

namespace Dogwoodkeel
{

PeerClient::PeerClient(EventLoop &loop, PeerSecurity security) : loop(loop), security(std::move(security))
{
}

PeerClient::~PeerClient()
{
    for (const auto &[correlation, call] : this->calls) {
        this->loop.cancel(call.timer);
    }
}

void PeerClient::callEncoded(
    const Address &address, MessageNumber number, std::string payload, std::chrono::milliseconds timeout, Finish finish)
{
    const Correlation correlation = ++this->lastCorrelation;
    const TimerId timer = this->loop.schedule(timeout, [this, correlation] {
        this->onTimeout(correlation);
    });
    this->calls.emplace(correlation, Call{address, std::move(finish), timer});
    this->linkTo(address).send({correlation, number, std::move(payload)});
}

PeerLink &PeerClient::linkTo(const Address &address)
{
    std::unique_ptr<PeerLink> &link = this->links[address];
    if (!link) {
        PeerLink::Hooks hooks{
            .onFrame =
                [this](const Frame &frame) {
                    this->receive(frame);
                },
            .onClosed =
                [this, address] {
                    this->onClosed(address);
                },
        };
        link = PeerLink::connect(this->loop, address, this->security, std::move(hooks));
    }
    return *link;
}

void PeerClient::receive(const Frame &frame)
{
    // A response whose call has timed out finds no call and is dropped: it can never reach another call.
    this->finish(frame.correlation, CallOutcome::Answered, frame);
}

void PeerClient::onTimeout(Correlation correlation)
{
    const auto call = this->calls.find(correlation);
    const Address address = call->second.address;
    // The connection may have gone silent for good while new ones work: the next call makes a new one. The calls that
    // wait on the old one are not resent, they end with an unknown outcome when it is closed here.
    this->onClosed(address);
}

void PeerClient::onClosed(const Address &address)
{
    const auto found = this->links.find(address);
    if (found == this->links.end()) {
        return;
    }
    std::shared_ptr<PeerLink> link = std::move(found->second);
    this->links.erase(found);
    const CallOutcome outcome = link->wasOpen() ? CallOutcome::Unknown : CallOutcome::NotSent;
    std::vector<Correlation> lost;
    for (const auto &[correlation, call] : this->calls) {
        if (call.address == address) {
            lost.push_back(correlation);
        }
    }
    for (const Correlation correlation : lost) {
        this->finish(correlation, outcome, {});
    }
    this->loop.post([link] {});
}

void PeerClient::finish(Correlation correlation, CallOutcome outcome, const Frame &frame)
{
    auto call = this->calls.extract(correlation);
    if (call.empty()) {
        return;
    }
    this->loop.cancel(call.mapped().timer);
    call.mapped().finish(outcome, frame);
}

} // namespace Dogwoodkeel
