#pragma once
/// \file
/// The work of a job that still waits, in core seconds.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>

#include <span>

namespace jasminetrack::tasks::detail
{

/// \returns the number of tasks that the unit of the step starts together.
[[nodiscard]] std::int64_t tasks_of_unit(step_spec const& s) noexcept;

/// \returns the estimated duration of a task, at least 1 ms.
[[nodiscard]] milliseconds estimate_of(step_spec const& s) noexcept;

/// Sets the work that the job still needs in the keys of its steps.
/// \param steps  all are of the job
void set_waiting_work(job_entry const& e, std::span<waiting_units> steps);

} // namespace jasminetrack::tasks::detail
