#include <LibMetrics/CounterCache.h>

#include <utility>

namespace Dogwoodkeel
{

namespace
{

constexpr std::size_t maxCounters = 256;
constexpr char separator = '\n';

} // namespace

CounterCache::CounterCache(prometheus::Family<prometheus::Counter> &family, std::vector<std::string> labels)
    : family(family), labels(std::move(labels))
{
}

void CounterCache::increment(std::initializer_list<std::string_view> values)
{
    this->counterOf(values).Increment();
}

prometheus::Counter &CounterCache::counterOf(std::initializer_list<std::string_view> values)
{
    std::string key;
    for (const std::string_view value : values) {
        key.append(value).push_back(separator);
    }
    const std::lock_guard lock(this->mutex);
    const auto found = this->counters.find(key);
    if (found != this->counters.end()) {
        return *found->second;
    }
    prometheus::Labels labelled;
    const auto *value = values.begin();
    for (const std::string &label : this->labels) {
        labelled[label] = this->counters.size() < maxCounters ? std::string(*value) : "other";
        ++value;
    }
    prometheus::Counter &counter = this->family.Add(labelled);
    if (this->counters.size() < maxCounters) {
        this->counters.emplace(std::move(key), &counter);
    }
    return counter;
}

} // namespace Dogwoodkeel
