#include <jasminetrack/entry/latencies.hpp>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace jasminetrack::entry
{
namespace
{

constexpr double ms_per_second = 1'000;

/// In seconds: from a call on one machine to the longest latency objective.
prometheus::Histogram::BucketBoundaries const bucket_bounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

struct series
{
    char const* family;
    char const* help;
    char const* kind;
};

constexpr std::array series_by_latency{
    series{"jasminetrack_request_seconds", "Duration of callers' requests",
           "submit"},
    series{"jasminetrack_request_seconds", "Duration of callers' requests",
           "look"},
    series{"jasminetrack_request_seconds", "Duration of callers' requests",
           "cancel"},
    series{"jasminetrack_append_seconds",
           "Duration of the dispatcher's appends", "work"},
    series{"jasminetrack_order_seconds", "Duration of orders to workers",
           "start"},
    series{"jasminetrack_order_seconds", "Duration of orders to workers",
           "stop"},
    series{"jasminetrack_job_seconds",
           "Time from a job's acceptance to its first start or its end",
           "begun"},
    series{"jasminetrack_job_seconds",
           "Time from a job's acceptance to its first start or its end",
           "ended"}};

} // namespace

struct latencies::histograms
{
    prometheus::Registry registry;
    std::array<prometheus::Histogram*, series_by_latency.size()> by_latency{};
};

latencies::latencies() : histograms_(std::make_unique<histograms>())
{
    for (std::size_t i = 0; i < series_by_latency.size(); ++i)
        histograms_->by_latency[i] =
            &prometheus::BuildHistogram()
                 .Name(series_by_latency[i].family)
                 .Help(series_by_latency[i].help)
                 .Register(histograms_->registry)
                 .Add({{"kind", series_by_latency[i].kind}}, bucket_bounds);
}

latencies::~latencies() = default;

std::string latencies::to_text() const
{
    return prometheus::TextSerializer().Serialize(
        histograms_->registry.Collect());
}

void latencies::record(latency what, milliseconds took)
{
    histograms_->by_latency.at(static_cast<std::size_t>(what))
        ->Observe(static_cast<double>(took) / ms_per_second);
}

} // namespace jasminetrack::entry
