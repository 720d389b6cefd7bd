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

std::string explain_guaranteed(cluster_state const& s, job const& j)
{
    for (auto const& seat : broken_guarantees(s))
        if (seat.team == j.team && seat.region == j.region)
            return "waits: guarantee " + seat.name +
                   " of its team is broken, the region has lost too many "
                   "workers; bring workers back";
    auto const holders = seat_holders(s, j);
    if (!holders.empty())
        return "waits: its team's guarantee is in use by " + holders +
               "; it starts when one of them ends";
    return "waits: its place is being chosen";
}

std::string explain_spare(cluster_state const& s, job const& j,
                          policy_settings const& settings)
{
    auto const team = s.config.teams.find(j.team);
    int const most =
        team == s.config.teams.end() ? 0 : team->second.spare_accelerators;
    int const held = s.ledger.spare_held(j.team);
    if (most != 0 && held + total_accelerators(j.gang) > most)
        return "waits: team " + j.team + " holds " + std::to_string(held) +
               " of at most " + std::to_string(most) +
               " accelerators beyond its guarantees";
    int const free = s.ledger.free().free_accelerators(j.region);
    std::string text = "waits: it needs " + std::to_string(j.gang.members) +
                       " x " + std::to_string(j.gang.accelerators) +
                       " accelerators; " + std::to_string(free) +
                       " are free in " + j.region;
    if (free >= total_accelerators(j.gang))
        text += ", but not side by side as it asks";
    auto const left = settings.max_wait_ms - (s.log_time - j.submitted_ms);
    if (left > 0)
        text += "; from " + std::to_string(left / 1000) +
                " s on it may stop spare work that came later";
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
            return "waits: no entry VM acts for region " + j.region +
                   " yet; look at 'jasminetrack status'";
        return j.draws_on == capacity_source::guarantee
                   ? explain_guaranteed(state, j)
                   : explain_spare(state, j, settings);
    }
    case job_state::placed:
        return "has places since attempt " + std::to_string(j.attempt) +
               "; its members are being prepared";
    case job_state::running:
        return j.seat.empty()
                   ? "runs beyond its team's guarantee; it may be stopped"
                   : "runs on guaranteed seat " + j.seat;
    case job_state::stopping:
        return "is being stopped; it waits until no member runs";
    case job_state::ended:
        return std::string("ended: ") + to_text(j.end) +
               (j.end == job_end::done ? "" : "; " + j.detail);
    }
    return {};
}

} // namespace jasminetrack::core
