#include <Tests/Fakes/EngineOrders.h>

#include <algorithm>
#include <utility>

namespace Dogwoodkeel
{

EngineOrders::EngineOrders(const Clock &clock, Options options) : clock(clock), options(options)
{
}

bool EngineOrders::apply(const EngineOrder &order)
{
    ++this->receivedOrders;
    this->finishLoad();
    if (this->options.checksFencing && order.fence < this->current.fence) {
        return false;
    }
    this->current.fence = std::max(this->current.fence, order.fence);
    const EngineState &latest = this->current.loading ? *this->current.loading : this->current.state;
    if (order.state == latest) {
        return true;
    }
    this->history.push_back(order);
    if (order.state.model == this->current.state.model && order.state.version == this->current.state.version) {
        this->current.state = order.state;
        this->current.loading.reset();
        return true;
    }
    this->current.state = {{}, {}, {}, order.state.role};
    this->current.loading = order.state;
    this->loadEnd = this->clock.now() + this->options.loadTime;
    this->finishLoad();
    return true;
}

EngineStateReport EngineOrders::report()
{
    this->finishLoad();
    return this->current;
}

void EngineOrders::finishLoad()
{
    if (this->current.loading && this->clock.now() >= this->loadEnd) {
        this->current.state = *std::exchange(this->current.loading, std::nullopt);
        this->current.requests = 0;
        this->current.errors = 0;
    }
}

void EngineOrders::restart()
{
    this->current = {};
}

void EngineOrders::setLoadTime(std::chrono::milliseconds time)
{
    this->options.loadTime = time;
}

void EngineOrders::countRequests(std::uint64_t requests, std::uint64_t errors)
{
    this->current.requests += requests;
    this->current.errors += errors;
}

std::size_t EngineOrders::received() const
{
    return this->receivedOrders;
}

const std::vector<EngineOrder> &EngineOrders::appliedOrders() const
{
    return this->history;
}

} // namespace Dogwoodkeel
