#include <jasminetrack/entry/latencies.hpp>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace jasminetrack::entry
{
namespace
{

constexpr double ms_a_second = 1'000;

/// Bounds in seconds: a call on one machine up to the longest objective.
prometheus::Histogram::BucketBoundaries const bounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

struct series
{
    char const* family;
    char const* help;
    char const* kind;
};

constexpr std::array all_series{
    series{"jasminetrack_request_seconds", "Requests of callers", "submit"},
    series{"jasminetrack_request_seconds", "Requests of callers", "look"},
    series{"jasminetrack_request_seconds", "Requests of callers", "cancel"},
    series{"jasminetrack_append_seconds", "Appends of the dispatcher", "work"},
    series{"jasminetrack_order_seconds", "Orders to workers", "start"},
    series{"jasminetrack_order_seconds", "Orders to workers", "stop"},
    series{"jasminetrack_job_seconds", "From a job's acceptance", "begun"},
    series{"jasminetrack_job_seconds", "From a job's acceptance", "ended"}};

} // namespace

struct latencies::histograms
{
    prometheus::Registry registry;
    std::array<prometheus::Histogram*, all_series.size()> each{};
};

latencies::latencies() : all_(std::make_unique<histograms>())
{
    for (std::size_t i = 0; i < all_series.size(); ++i)
        all_->each[i] = &prometheus::BuildHistogram()
                             .Name(all_series[i].family)
                             .Help(all_series[i].help)
                             .Register(all_->registry)
                             .Add({{"kind", all_series[i].kind}}, bounds);
}

latencies::~latencies() = default;

std::string latencies::to_text() const
{
    return prometheus::TextSerializer().Serialize(all_->registry.Collect());
}

void latencies::record(latency what, milliseconds took)
{
    all_->each.at(static_cast<std::size_t>(what))
        ->Observe(static_cast<double>(took) / ms_a_second);
}

} // namespace jasminetrack::entry
