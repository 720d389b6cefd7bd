#pragma once
/// \file
/// The step of a unit: whether it may run, and what its tasks hold and lose.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>

namespace jasminetrack::tasks
{

/// \returns the resources that a task of the step occupies on its worker.
[[nodiscard]] resources held_by(step_spec const& s);

namespace detail
{

/// \pre the unit is one of the job's
[[nodiscard]] step_spec const& step_of(job_entry const& e, unit_ref const& ref);

/// \param wall  wall-clock time, milliseconds since 1970
/// \returns whether the unit is due and the steps before its step are done.
[[nodiscard]] bool is_ready(job_entry const& e, unit_id const& id,
                            milliseconds wall);

/// \returns the accelerators that all members of the run hold.
[[nodiscard]] std::int64_t accelerators_of(active_run const& a,
                                           step_spec const& s) noexcept;

/// \returns the core seconds that stopping the run loses.
[[nodiscard]] double lost_work(milliseconds now, active_run const& a,
                               step_spec const& s);

} // namespace detail
} // namespace jasminetrack::tasks
