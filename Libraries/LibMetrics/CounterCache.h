#pragma once

#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>

namespace Dogwoodkeel
{

/** Caches the counters of one family by their label values. Beyond a maximum, new label values are counted as "other". */
class CounterCache
{
public:
    /** @param labels names of the labels, in the order of the values */
    CounterCache(prometheus::Family<prometheus::Counter> &family, std::vector<std::string> labels);

    /** Increments a counter by one. @param values one for each label */
    void increment(std::initializer_list<std::string_view> values);

private:
    prometheus::Counter &counterOf(std::initializer_list<std::string_view> values);

    prometheus::Family<prometheus::Counter> &family;
    std::vector<std::string> labels;
    std::mutex mutex;
    std::map<std::string, prometheus::Counter *, std::less<>> counters;
};

} // namespace Dogwoodkeel
