#include <Services/Gateway/GatewayMetrics.h>

#include <prometheus/text_serializer.h>

namespace Dogwoodkeel
{

namespace
{

/** Upper bounds in seconds, from the round trip of a call to a long stream. */
const prometheus::Histogram::BucketBoundaries buckets{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10, 20};

double secondsOf(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : requests(prometheus::BuildCounter().Name("dogwoodkeel_requests_total").Help("Answered requests").Register(*this->registry))
    , durations(prometheus::BuildHistogram()
                    .Name("dogwoodkeel_request_seconds")
                    .Help("From a request's arrival to the end of its answer")
                    .Register(*this->registry))
    , firstBytes(prometheus::BuildHistogram()
                     .Name("dogwoodkeel_first_byte_seconds")
                     .Help("From a request's arrival to its first event, or its whole answer")
                     .Register(*this->registry))
    , placements(prometheus::BuildHistogram()
                     .Name("dogwoodkeel_placement_seconds")
                     .Help("How long requests wait for a place at a replica")
                     .Register(*this->registry))
    , events(prometheus::BuildCounter().Name("dogwoodkeel_events_total").Help("What happened").Register(*this->registry))
    , gauges(prometheus::BuildGauge().Name("dogwoodkeel_value").Help("What there is now").Register(*this->registry))
    , trafficMessages(prometheus::BuildGauge()
                          .Name("dogwoodkeel_traffic_messages")
                          .Help("Messages exchanged with other nodes and the store since the start")
                          .Register(*this->registry))
    , trafficBytes(prometheus::BuildGauge()
                       .Name("dogwoodkeel_traffic_bytes")
                       .Help("Bytes of these messages, without the headers of the transport")
                       .Register(*this->registry))
{
}

prometheus::Histogram &
GatewayMetrics::histogram(prometheus::Family<prometheus::Histogram> &family, const std::string &label, const std::string &value)
{
    return family.Add({{label, value}}, buckets);
}

void GatewayMetrics::countRequest(const std::string &route, int status, std::chrono::nanoseconds took)
{
    this->requests.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
    this->histogram(this->durations, "route", route).Observe(secondsOf(took));
}

void GatewayMetrics::countFirstByte(const std::string &route, std::chrono::nanoseconds took)
{
    this->histogram(this->firstBytes, "route", route).Observe(secondsOf(took));
}

void GatewayMetrics::countPlacement(const std::string &service, std::chrono::nanoseconds took)
{
    this->histogram(this->placements, "service", service).Observe(secondsOf(took));
}

void GatewayMetrics::countEvent(const std::string &event)
{
    this->events.Add({{"event", event}}).Increment();
}

void GatewayMetrics::setGauge(const std::string &name, double value)
{
    this->gauges.Add({{"name", name}}).Set(value);
}

void GatewayMetrics::setTraffic(const TrafficMeter::Kind &kind, const TrafficMeter::Total &total)
{
    const prometheus::Labels labels{
        {"means", std::string(toString(kind.means))}, {"name", kind.name}, {"direction", std::string(toString(kind.direction))}};
    this->trafficMessages.Add(labels).Set(static_cast<double>(total.messages));
    this->trafficBytes.Add(labels).Set(static_cast<double>(total.bytes));
}

std::string GatewayMetrics::toText() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace Dogwoodkeel
