#pragma once
/// \file
/// Classification of task phases.

#include <jasminetrack/core/events.hpp>

namespace jasminetrack::core::detail
{

/// Whether a task does not run and will not run.
[[nodiscard]] constexpr bool is_over(task_phase phase) noexcept
{
    return phase == task_phase::absent || phase == task_phase::stopped ||
           phase == task_phase::killed || phase == task_phase::done ||
           phase == task_phase::failed;
}

} // namespace jasminetrack::core::detail
