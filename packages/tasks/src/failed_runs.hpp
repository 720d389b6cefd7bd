#pragma once
/// \file
/// How long a unit avoids the workers on which its runs have failed.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>

namespace jasminetrack::tasks::detail
{

/// \returns whether the newest failure of the unit is so recent that it avoids
/// the workers on which it failed.
[[nodiscard]] bool has_failed_lately(milliseconds now, job_entry const& e,
                                     unit_ref const& ref);

/// \returns whether the unit has failed on the worker lately.
[[nodiscard]] bool has_failed_there(milliseconds now, job_entry const& e,
                                    unit_ref const& ref,
                                    std::string const& worker);

} // namespace jasminetrack::tasks::detail
