#include <LibWire/ReplayWindow.h>

namespace Dogwoodkeel
{

namespace
{

constexpr std::uint64_t windowSize = 64;

}

ReplayWindow::ReplayWindow(std::size_t senders) : limit(senders)
{
}

bool ReplayWindow::admit(std::uint64_t sender, std::uint64_t sequence)
{
    auto [entry, isNew] = this->senders.try_emplace(sender);
    Sender &state = entry->second;
    if (isNew) {
        state.position = this->byLastUse.insert(this->byLastUse.end(), sender);
        if (this->senders.size() > this->limit) {
            this->senders.erase(this->byLastUse.front());
            this->byLastUse.pop_front();
        }
    } else {
        this->byLastUse.splice(this->byLastUse.end(), this->byLastUse, state.position);
    }
    if (sequence > state.highest) {
        const std::uint64_t step = sequence - state.highest;
        state.received = step < windowSize ? (state.received << step) | 1U : 1U;
        state.highest = sequence;
        return true;
    }
    const std::uint64_t age = state.highest - sequence;
    if (age >= windowSize || (state.received >> age & 1U) != 0) {
        return false;
    }
    state.received |= std::uint64_t(1) << age;
    return true;
}

} // namespace Dogwoodkeel
