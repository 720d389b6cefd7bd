#include "apply_record.hpp"

namespace jasminetrack::core
{
namespace
{

/// \returns whether the record was applied before; updates the writer's
/// position otherwise.
bool is_repeat(cluster_state& s, log_entry const& e)
{
    auto& position = s.writers[e.writer];
    if (e.sequence <= position.sequence)
        return true;
    position = {e.sequence, s.log_time};
    return false;
}

void erase_expired(cluster_state& s)
{
    auto const limit = s.log_time - detail::ended_retention_ms;
    std::erase_if(s.jobs,
                  [&](auto const& entry)
                  {
                      auto const& j = entry.second;
                      bool const old =
                          j.state == job_state::ended && j.ended_ms < limit;
                      if (old)
                          s.job_keys.erase(request_key(j.team, j.key));
                      return old;
                  });
    std::erase_if(s.calls, [&](auto const& entry)
                  { return entry.second.expires < limit; });
    std::erase_if(s.writers,
                  [&](auto const& entry) { return entry.second.time < limit; });
}

/// \returns the number of seats in use; 0 if no data center is evacuated.
std::size_t count_used_seats(cluster_state const& s)
{
    return s.evacuations.empty() ? 0 : seats_in_use(s).size();
}

constexpr milliseconds expiry_interval_ms = 600 * 1000;

void advance_time(cluster_state& s, milliseconds time)
{
    if (time <= s.log_time)
        return;
    bool const due =
        time / expiry_interval_ms != s.log_time / expiry_interval_ms;
    s.log_time = time;
    if (due)
        erase_expired(s);
}

} // namespace

apply_result apply(cluster_state& state, log_entry const& entry)
{
    state.next = entry.offset + 1;
    advance_time(state, entry.time);
    if (is_repeat(state, entry))
        return detail::refused("repeat");
    auto const used_seats = count_used_seats(state);
    auto result = std::visit([&](auto const& body)
                             { return detail::apply_body(state, entry, body); },
                             entry.body);
    if (count_used_seats(state) < used_seats)
        detail::replan_vacated_seats(state, result);
    return result;
}

void rebuild_derived(cluster_state& state)
{
    state.ledger.rebuild(state.workers, state.jobs, state.evacuations);
}

std::map<std::string, bool> seats_in_use(cluster_state const& state)
{
    std::map<std::string, bool> used;
    for (auto const& [name, s] : state.seats)
        if (state.ledger.is_in_use(name))
            used[name] = true;
    return used;
}

std::vector<seat> broken_guarantees(cluster_state const& state)
{
    std::vector<seat> broken;
    for (auto const& [name, s] : state.seats)
        if (s.places.empty())
            broken.push_back(s);
    return broken;
}

std::string request_key(std::string const& team, std::string const& key)
{
    return team + "/" + key;
}

bool holds_places(job const& j) noexcept
{
    return j.state == job_state::placed || j.state == job_state::running ||
           j.state == job_state::stopping;
}

char const* to_text(job_state s) noexcept
{
    static constexpr char const* names[] = {"waiting", "placed", "running",
                                            "stopping", "ended"};
    return names[static_cast<int>(s)];
}

char const* to_text(job_end e) noexcept
{
    static constexpr char const* names[] = {
        "none",           "done", "failed", "cancelled", "refused, not run",
        "outcome unknown"};
    return names[static_cast<int>(e)];
}

char const* to_text(call_end e) noexcept
{
    static constexpr char const* names[] = {"done", "refused, not run",
                                            "outcome unknown"};
    return names[static_cast<int>(e)];
}

namespace detail
{

apply_result refused(std::string reason)
{
    return {false, std::move(reason), {}, {}};
}

apply_result accepted(effect e)
{
    return {true, {}, e.key, {std::move(e)}};
}

apply_result apply_body(cluster_state& s, log_entry const& e,
                        mark_record const&)
{
    s.last_mark = e.offset;
    s.last_mark_ms = s.log_time;
    return accepted({"snapshot", std::to_string(e.offset), "marked"});
}

apply_result accepted_without_effects()
{
    apply_result v;
    v.accepted = true;
    return v;
}

apply_result apply_body(cluster_state&, log_entry const&, digest_record const&)
{
    return accepted_without_effects();
}

apply_result apply_body(cluster_state&, log_entry const&,
                        snapshot_record const&)
{
    return accepted_without_effects();
}

apply_result apply_body(cluster_state&, log_entry const&,
                        unknown_record const& r)
{
    return refused("unknown record '" + r.kind + "'");
}

} // namespace detail

} // namespace jasminetrack::core
