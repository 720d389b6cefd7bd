#pragma once
/// \file
/// Gauges of an entry process for the metrics endpoint.

#include <jasminetrack/entry/load_admission.hpp>
#include <jasminetrack/tasks/service_utilization.hpp>

#include <string>

namespace jasminetrack::entry
{

/// Counters and current values of the dispatch loop.
struct dispatch_metrics
{
    std::int64_t leading = 0; ///< 1: this process is the dispatcher
    std::int64_t epoch = 0;
    std::int64_t open_jobs = 0;
    std::int64_t evacuated = 0; ///< data centers
    std::int64_t lease_renewals = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t batches = 0;
    std::int64_t takeovers = 0;
    std::int64_t lost_runs = 0;     ///< their worker was lost
    std::int64_t stale_runs = 0;    ///< a worker lists them, against its orders
    std::int64_t given_up_jobs = 0; ///< a task of them crashed its workers
    std::map<std::string, tasks::service_utilization>
        utilization; ///< by service
};

/// \param log_age  time since jobs were read from the log
/// \returns the gauges in Prometheus' text format.
[[nodiscard]] std::string gauges_text(dispatch_metrics const& m,
                                      tasks::milliseconds log_age);
/// \returns the gauges of the admission of jobs, in the same format.
[[nodiscard]] std::string gauges_text(admission_metrics const& m);

} // namespace jasminetrack::entry
