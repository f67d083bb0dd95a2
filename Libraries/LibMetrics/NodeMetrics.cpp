#include <LibMetrics/NodeMetrics.h>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Dogwoodkeel
{

namespace
{

using Buckets = prometheus::Histogram::BucketBoundaries;

const Buckets &latencyBuckets()
{
    static const Buckets seconds{0.001, 0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.35, 0.57, 1, 2, 5, 10, 30, 60};
    return seconds;
}

double inSeconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &histograms(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

struct NodeMetrics::Families
{
    explicit Families(prometheus::Registry &registry)
        : answers(counters(registry, "dogwoodkeel_answers_total", "Answers given, by kind and result"))
        , retries(counters(registry, "dogwoodkeel_retries_total", "Tries made again, by reason"))
        , firstToken(histograms(registry, "dogwoodkeel_first_token_seconds", "Time to the first token"))
        , betweenTokens(histograms(registry, "dogwoodkeel_between_tokens_seconds", "Time between tokens"))
        , total(histograms(registry, "dogwoodkeel_total_seconds", "Time from a request to the end of its answer"))
    {
    }

    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &retries;
    prometheus::Family<prometheus::Histogram> &firstToken;
    prometheus::Family<prometheus::Histogram> &betweenTokens;
    prometheus::Family<prometheus::Histogram> &total;
};

NodeMetrics::NodeMetrics()
    : registry(std::make_shared<prometheus::Registry>()), families(std::make_unique<Families>(*this->registry))
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countAnswer(const std::string &kind, const std::string &result)
{
    this->families->answers.Add({{"kind", kind}, {"result", result}}).Increment();
}

void NodeMetrics::countRetry(const std::string &reason)
{
    this->families->retries.Add({{"reason", reason}}).Increment();
}

void NodeMetrics::observeFirstToken(const std::string &kind, std::chrono::microseconds wait)
{
    this->families->firstToken.Add({{"kind", kind}}, latencyBuckets()).Observe(inSeconds(wait));
}

void NodeMetrics::observeBetweenTokens(const std::string &kind, std::chrono::microseconds wait)
{
    this->families->betweenTokens.Add({{"kind", kind}}, latencyBuckets()).Observe(inSeconds(wait));
}

void NodeMetrics::observeTotal(const std::string &kind, std::chrono::microseconds wait)
{
    this->families->total.Add({{"kind", kind}}, latencyBuckets()).Observe(inSeconds(wait));
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace Dogwoodkeel
