#pragma once
/// \file
/// Current figures of a process, as gauges for the metrics address.

#include <jasminetrack/tasks/service_utilization.hpp>

#include <string>

namespace jasminetrack::entry
{

/// What the dispatch loop counts.
struct dispatch_metrics
{
    std::int64_t leading = 0; ///< 1: this process dispatches
    std::int64_t epoch = 0;
    std::int64_t open_jobs = 0;
    std::int64_t lease_renewals = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t batches = 0;
    std::int64_t takeovers = 0;
    std::map<std::string, tasks::service_utilization>
        utilization; ///< by service
};

/// \param log_age  since jobs were read from the log
/// \returns the text form that Prometheus reads.
[[nodiscard]] std::string gauges_text(dispatch_metrics const& m,
                                      tasks::milliseconds log_age);

} // namespace jasminetrack::entry
