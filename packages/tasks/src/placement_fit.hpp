#pragma once
/// \file
/// How many tasks of a unit a worker can take; shared by the search for free
/// workers and the search for runs to stop.

#include <jasminetrack/tasks/placement.hpp>

#include <map>
#include <string_view>

namespace jasminetrack::tasks::detail
{

using candidate_pointers = std::vector<worker_candidate const*>;

/// \returns how many of the unit's tasks fit into `available` on worker `w`. A
/// worker whose capacity has shrunk takes nothing until its runs fit.
[[nodiscard]] std::int64_t tasks_in(resources const& available,
                                    worker_candidate const& w,
                                    unit_need const& need);

/// \returns whether the unit prefers verified workers and `w` is none.
[[nodiscard]] bool is_unverified(worker_candidate const& w,
                                 unit_need const& need);

/// \returns the candidates that may run the unit at all.
[[nodiscard]] candidate_pointers
allowed_candidates(std::vector<worker_candidate> const& candidates,
                   unit_need const& need);

[[nodiscard]] std::map<std::string_view, candidate_pointers>
by_rack(candidate_pointers const& candidates);

} // namespace jasminetrack::tasks::detail
