#pragma once
/// \file
/// What the dispatcher keeps of the utilization of services. For logs and
/// metrics only; no decision depends on it.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>
#include <jasminetrack/tasks/service_utilization.hpp>

#include <map>
#include <string>

namespace jasminetrack::tasks::detail
{

struct utilization_state
{
    milliseconds updated_at = 0; ///< on the dispatcher's monotonic clock
    std::map<std::string, service_utilization> newest; ///< by service
    /// Counts of waiting steps in the current pass, by service.
    std::map<std::string, service_utilization> pending;

    /// Counts a step of the job that waits in the current pass.
    /// \param as  the count of its priority to raise
    void count_step(job_entry const& e, std::int64_t priority_utilization::*as)
    {
        ++(pending[e.service].priorities[e.priority].*as);
    }
};

} // namespace jasminetrack::tasks::detail
