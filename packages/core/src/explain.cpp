#include <jasminetrack/core/evacuation.hpp>
#include <jasminetrack/core/policy.hpp>

namespace jasminetrack::core
{
namespace
{

std::string seat_holders(cluster_state const& s, job const& j)
{
    std::string names;
    for (auto const& [id, other] : s.jobs)
        if (holds_places(other) && !other.seat.empty() &&
            other.team == j.team && other.region == j.region)
            names += (names.empty() ? "" : ", ") + id;
    return names;
}

/// \returns which data centers of the region are evacuated; empty: none.
std::string explain_evacuations(cluster_state const& s,
                                std::string const& region)
{
    std::set<std::string> names;
    for (auto const& [name, w] : s.workers)
        if (w.region == region && is_evacuated(s, w))
            names.insert(w.data_center);
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "evacuated: data center " : ", ") + name;
    return text;
}

std::string explain_guaranteed(cluster_state const& s, job const& j)
{
    auto const evacuated = explain_evacuations(s, j.region);
    for (auto const& seat : broken_guarantees(s))
        if (seat.team == j.team && seat.region == j.region)
            return "waits: guarantee " + seat.name +
                   " of its team is broken because the region has too few live "
                   "workers" +
                   (evacuated.empty() ? "; restore workers"
                                      : " in service; " + evacuated);
    auto const holders = seat_holders(s, j);
    if (!holders.empty())
        return "waits: its team's guarantee is in use by " + holders +
               "; it starts when one of them ends";
    if (!evacuated.empty())
        return "waits: it has no place on the workers in service; " + evacuated;
    return "waits: its placement is pending";
}

std::string explain_spare(cluster_state const& s, job const& j,
                          policy_settings const& settings)
{
    auto const team = s.config.teams.find(j.team);
    int const limit =
        team == s.config.teams.end() ? 0 : team->second.spare_accelerators;
    int const held = s.ledger.spare_held(j.team);
    if (limit != 0 && held + total_accelerators(j.gang) > limit)
        return "waits: team " + j.team + " holds " + std::to_string(held) +
               " of at most " + std::to_string(limit) +
               " accelerators beyond its guarantees";
    int const free = s.ledger.free().free_accelerators(j.region);
    std::string text = "waits: it needs " + std::to_string(j.gang.members) +
                       " x " + std::to_string(j.gang.accelerators) +
                       " accelerators; " + std::to_string(free) +
                       " are free in " + j.region;
    if (free >= total_accelerators(j.gang))
        text += ", but not with the adjacency that it requires";
    if (auto const evacuated = explain_evacuations(s, j.region);
        !evacuated.empty())
        text += "; " + evacuated;
    auto const remaining_ms =
        settings.max_wait_ms - (s.log_time - j.submitted_ms);
    if (remaining_ms > 0)
        text += "; in " + std::to_string(remaining_ms / 1000) +
                " s it may preempt spare jobs submitted later";
    return text;
}

} // namespace

std::string explain(cluster_state const& state, job const& j,
                    policy_settings const& settings)
{
    switch (j.state)
    {
    case job_state::waiting:
    {
        if (state.owners.count(j.region) == 0 ||
            state.owners.at(j.region).holder.empty())
            return "waits: no entry VM owns region " + j.region +
                   "; see 'jasminetrack status'";
        return j.draws_on == capacity_source::guarantee
                   ? explain_guaranteed(state, j)
                   : explain_spare(state, j, settings);
    }
    case job_state::placed:
        return "is placed (attempt " + std::to_string(j.attempt) +
               "); its members are being prepared";
    case job_state::running:
        return j.seat.empty()
                   ? "runs beyond its team's guarantee; it may be preempted"
                   : "runs on guaranteed seat " + j.seat;
    case job_state::stopping:
        return "is being stopped; some members may still run";
    case job_state::ended:
        return std::string("ended: ") + to_text(j.end) +
               (j.end == job_end::done ? "" : "; " + j.detail);
    }
    return {};
}

} // namespace jasminetrack::core
