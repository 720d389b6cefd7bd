#pragma once
/// \file
/// What teams are guaranteed, and what their urgent work holds. All amounts are
/// accelerators. A team may use idle accelerators beyond its guarantee; it
/// gives them back to a team that asks for its own.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <string>

namespace jasminetrack::tasks
{

using accelerators_by_team = std::map<std::string, std::int64_t>;

/// \returns the accelerators of the job's largest step.
[[nodiscard]] std::int64_t largest_need(job_spec const& spec);

/// \returns the team's guarantee; 0 if the configuration lacks the team.
[[nodiscard]] std::int64_t guarantee_of(configuration const& c,
                                        std::string const& team);

/// \param held  by urgent work
/// \returns what each team holds beyond its guarantee, for the teams that do.
[[nodiscard]] accelerators_by_team excess_of(configuration const& c,
                                             accelerators_by_team const& held);

/// What the urgent work of the teams holds and wants in one scheduling pass.
struct urgent_use
{
    accelerators_by_team held;   ///< running, starting or reserved
    accelerators_by_team wanted; ///< needs of all jobs that have not ended

    friend bool operator==(urgent_use const&, urgent_use const&) = default;
};

/// \returns whether the team's guarantee covers urgent work that needs so many
/// accelerators beside what the team holds, or everything that it wants.
[[nodiscard]] bool is_guaranteed(configuration const& c, urgent_use const& use,
                                 std::string const& team,
                                 std::int64_t accelerators);

} // namespace jasminetrack::tasks
