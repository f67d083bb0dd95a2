#pragma once

#include <LibBase/TrafficMeter.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace Dogwoodkeel
{

/** Collects counters, gauges and histograms of a gateway node and writes them in the text format of Prometheus. */
class GatewayMetrics
{
public:
    GatewayMetrics();

    /** Counts a request of a caller that was answered, or that ended without an answer (status 0). */
    void countRequest(const std::string &route, int status, std::chrono::nanoseconds took);

    /** Records the time until the first event, or the whole answer, was sent to the caller. */
    void countFirstByte(const std::string &route, std::chrono::nanoseconds took);

    /** Records how long a request waited for a slot. */
    void countPlacement(const std::string &service, std::chrono::nanoseconds took);

    /** Counts an event that has no measured value, such as "request repeated" or "batch item stopped". */
    void countEvent(const std::string &event);

    /** Sets a value that may rise and fall. */
    void setGauge(const std::string &name, double value);

    /** Sets how many messages and bytes of a kind were exchanged with other nodes and the store since the start. */
    void setTraffic(const TrafficMeter::Kind &kind, const TrafficMeter::Total &total);

    /** @return all metrics as text. */
    std::string toText() const;

private:
    prometheus::Histogram &
    histogram(prometheus::Family<prometheus::Histogram> &family, const std::string &label, const std::string &value);

    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Histogram> &durations;
    prometheus::Family<prometheus::Histogram> &firstBytes;
    prometheus::Family<prometheus::Histogram> &placements;
    prometheus::Family<prometheus::Counter> &events;
    prometheus::Family<prometheus::Gauge> &gauges;
    prometheus::Family<prometheus::Gauge> &trafficMessages;
    prometheus::Family<prometheus::Gauge> &trafficBytes;
};

} // namespace Dogwoodkeel
