#include <LibMetrics/NodeMetrics.h>

#include <LibMetrics/CounterCache.h>
#include <LibMetrics/TopTenants.h>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <mutex>
#include <string>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Dogwoodkeel
{

namespace
{

using HistogramFamily = prometheus::Family<prometheus::Histogram>;

constexpr std::array<std::string_view, 5> kinds{"online", "service", "lookup", "job", "other"};

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries seconds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.35, 0.57, 1, 2, 5, 10, 30, 60};
    return seconds;
}

double inSeconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double inSeconds(const timeval &time)
{
    return inSeconds(std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec));
}

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

HistogramFamily &histograms(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/** @return resident memory of this process, in bytes. */
double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/** Durations that are observed for a request. */
enum class Span {
    Queueing,
    FirstToken,
    BetweenTokens,
    Total,
};

constexpr std::size_t spans = 4;

/** One histogram for each duration. */
using SpanFamilies = std::array<HistogramFamily *, spans>;
using SpanSeries = std::array<prometheus::Histogram *, spans>;

SpanFamilies spanFamilies(prometheus::Registry &registry, const std::string &prefix, const std::string &by)
{
    return {&histograms(registry, prefix + "queueing_seconds", "Time before a request is sent to an endpoint, by " + by),
            &histograms(registry, prefix + "first_token_seconds", "Time to the first token, by " + by),
            &histograms(registry, prefix + "between_tokens_seconds", "Time between tokens, by " + by),
            &histograms(registry, prefix + "total_seconds", "Time from a request to the end of its answer, by " + by)};
}

SpanSeries seriesOf(const SpanFamilies &families, const prometheus::Labels &labels)
{
    SpanSeries created{};
    for (std::size_t i = 0; i < spans; ++i) {
        created[i] = &families[i]->Add(labels, latencyBuckets());
    }
    return created;
}

} // namespace

class NodeMetrics::Series
{
public:
    explicit Series(prometheus::Registry &registry)
        : answers(counters(registry, "dogwoodkeel_answers_total", "Answers given, by kind and result"), {"kind", "result"})
        , retries(counters(registry, "dogwoodkeel_retries_total", "Tries made again, by reason"), {"reason"})
        , platformCalls(counters(registry, "dogwoodkeel_platform_calls_total", "Calls of the platform, by what for and outcome"),
                        {"kind", "cause", "outcome"})
        , tenantFamilies(spanFamilies(registry, "dogwoodkeel_tenant_", "tenant"))
        , otherTenants(seriesOf(this->tenantFamilies, {{"tenant", "(others)"}}))
        , cpu(gauge(registry, "process_cpu_seconds_total", "Processor time used by this process"))
        , memory(gauge(registry, "process_resident_memory_bytes", "Memory that this process has resident"))
    {
        const SpanFamilies families = spanFamilies(registry, "dogwoodkeel_", "kind of request");
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            this->byKind[i] = seriesOf(families, {{"kind", std::string(kinds[i])}});
        }
    }

    void observe(std::string_view kind, Span span, std::chrono::microseconds time)
    {
        std::size_t index = 0;
        while (index + 1 < kinds.size() && kinds[index] != kind) {
            ++index;
        }
        this->byKind[index][static_cast<std::size_t>(span)]->Observe(inSeconds(time));
    }

    void observe(const WorkspaceName &tenant, Span span, std::chrono::microseconds time)
    {
        const std::lock_guard lock(this->tenantMutex);
        const auto found = this->tenants.find(tenant.value());
        const SpanSeries &series = found != this->tenants.end() ? found->second : this->otherTenants;
        series[static_cast<std::size_t>(span)]->Observe(inSeconds(time));
    }

    void countRequest(const WorkspaceName &tenant)
    {
        const std::lock_guard lock(this->tenantMutex);
        const auto review = this->topTenants.count(tenant.value());
        if (!review) {
            return;
        }
        for (const std::string &name : review->removed) {
            const auto former = this->tenants.extract(name);
            for (std::size_t i = 0; i < spans && !former.empty(); ++i) {
                this->tenantFamilies[i]->Remove(former.mapped()[i]);
            }
        }
        for (const std::string &name : review->added) {
            this->tenants.emplace(name, seriesOf(this->tenantFamilies, {{"tenant", name}}));
        }
    }

    void measureProcess()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        this->cpu.Set(inSeconds(usage.ru_utime) + inSeconds(usage.ru_stime));
        this->memory.Set(residentBytes());
    }

    CounterCache answers;
    CounterCache retries;
    CounterCache platformCalls;

private:
    std::array<SpanSeries, kinds.size()> byKind{};
    SpanFamilies tenantFamilies;
    SpanSeries otherTenants;
    std::mutex tenantMutex;
    TopTenants topTenants{TopTenants::Options{}};
    std::unordered_map<std::string, SpanSeries> tenants;
    prometheus::Gauge &cpu;
    prometheus::Gauge &memory;
};

NodeMetrics::NodeMetrics() : registry(std::make_shared<prometheus::Registry>()), series(std::make_unique<Series>(*this->registry))
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countAnswer(std::string_view kind, std::string_view result)
{
    this->series->answers.increment({kind, result});
}

void NodeMetrics::countRetry(std::string_view reason)
{
    this->series->retries.increment({reason});
}

void NodeMetrics::countPlatformCall(std::string_view kind, std::string_view cause, std::string_view outcome)
{
    this->series->platformCalls.increment({kind, cause, outcome});
}

void NodeMetrics::observeFirstToken(std::string_view kind, std::chrono::microseconds wait)
{
    this->series->observe(kind, Span::FirstToken, wait);
}

void NodeMetrics::observeBetweenTokens(std::string_view kind, std::chrono::microseconds wait)
{
    this->series->observe(kind, Span::BetweenTokens, wait);
}

void NodeMetrics::observeTotal(std::string_view kind, std::chrono::microseconds wait)
{
    this->series->observe(kind, Span::Total, wait);
}

void NodeMetrics::observeQueueing(std::string_view kind, std::chrono::microseconds wait)
{
    this->series->observe(kind, Span::Queueing, wait);
}

void NodeMetrics::countRequest(const WorkspaceName &tenant)
{
    this->series->countRequest(tenant);
}

void NodeMetrics::observeFirstToken(const WorkspaceName &tenant, std::chrono::microseconds wait)
{
    this->series->observe(tenant, Span::FirstToken, wait);
}

void NodeMetrics::observeBetweenTokens(const WorkspaceName &tenant, std::chrono::microseconds wait)
{
    this->series->observe(tenant, Span::BetweenTokens, wait);
}

void NodeMetrics::observeTotal(const WorkspaceName &tenant, std::chrono::microseconds wait)
{
    this->series->observe(tenant, Span::Total, wait);
}

void NodeMetrics::observeQueueing(const WorkspaceName &tenant, std::chrono::microseconds wait)
{
    this->series->observe(tenant, Span::Queueing, wait);
}

std::string NodeMetrics::text() const
{
    this->series->measureProcess();
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace Dogwoodkeel
