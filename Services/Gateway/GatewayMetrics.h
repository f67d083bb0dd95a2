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

/** Counters and histograms of a gateway node, in the text format that Prometheus reads. */
class GatewayMetrics
{
public:
    GatewayMetrics();

    /** A request of a caller was answered, or ended without an answer (status 0). */
    void countRequest(const std::string &route, int status, std::chrono::nanoseconds took);

    /** The first event, or the whole answer, went to the caller. */
    void countFirstByte(const std::string &route, std::chrono::nanoseconds took);

    /** A request waited for a place. */
    void countPlacement(const std::string &service, std::chrono::nanoseconds took);

    /** Something happened that is only counted, such as "retry" or "batch item stopped". */
    void countEvent(const std::string &event);

    /** Set a value that goes up and down. */
    void setGauge(const std::string &name, double value);

    /** Set what was exchanged with others of a kind since the start. */
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
