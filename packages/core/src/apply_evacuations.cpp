#include "apply_record.hpp"

#include <jasminetrack/core/evacuation.hpp>

#include <algorithm>

namespace jasminetrack::core::detail
{
namespace
{

/// \returns the data centers of all known workers.
std::set<std::string> known_data_centers(cluster_state const& s)
{
    std::set<std::string> known;
    for (auto const& [name, w] : s.workers)
        if (!w.data_center.empty())
            known.insert(w.data_center);
    return known;
}

std::string unknown_data_center(std::set<std::string> const& known,
                                std::string const& data_center)
{
    std::string names;
    for (auto const& name : known)
        names += (names.empty() ? "" : ", ") + name;
    return "there is no data center '" + data_center + "'; " +
           (names.empty() ? "the platform's list names none"
                          : "known data centers: " + names);
}

/// Whether a live worker would be in service without the data center. Workers
/// whose data center is not listed count as such.
bool leaves_workers(cluster_state const& s, std::string const& data_center)
{
    return std::any_of(s.workers.begin(), s.workers.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = entry.second;
                           return w.condition == worker_condition::live &&
                                  w.data_center != data_center &&
                                  !is_evacuated(s, w);
                       });
}

/// Puts placed jobs with a member in an evacuated data center back into the
/// queue. They have not started, so that no work is lost.
void requeue_placed_jobs(cluster_state& s, apply_result& v)
{
    auto const active = s.ledger.active();
    for (auto const& id : active)
    {
        auto& j = s.jobs.at(id);
        if (j.state != job_state::placed || !touches_evacuated(s, j.places))
            continue;
        v.effects.push_back(
            {"job", id, "is placed again: its data center is evacuated"});
        requeue_job(s, j);
    }
}

effect evacuation_effect(std::string const& data_center, std::string text)
{
    return {"evacuation", data_center,
            "data center " + data_center + " " + std::move(text)};
}

apply_result evacuate(cluster_state& s, log_entry const& e,
                      evacuate_record const& r)
{
    if (s.evacuations.count(r.data_center) != 0)
        return accepted(
            evacuation_effect(r.data_center, "is already evacuated"));
    if (!leaves_workers(s, r.data_center))
        return refused("data center '" + r.data_center +
                       "' is the last one in service with live workers");
    s.evacuations[r.data_center] = {r.move_seats, e.offset};
    auto v = accepted(evacuation_effect(r.data_center, "is evacuated"));
    requeue_placed_jobs(s, v);
    replan_seats(s, v);
    return v;
}

apply_result restore(cluster_state& s, evacuate_record const& r)
{
    if (s.evacuations.erase(r.data_center) == 0)
        return accepted(evacuation_effect(r.data_center, "is in service"));
    auto v =
        accepted(evacuation_effect(r.data_center, "is restored to service"));
    replan_seats(s, v);
    return v;
}

} // namespace

apply_result apply_body(cluster_state& s, log_entry const& e,
                        evacuate_record const& r)
{
    auto const known = known_data_centers(s);
    bool const is_known = known.count(r.data_center) != 0 ||
                          s.evacuations.count(r.data_center) != 0;
    if (!is_known)
        return refused(unknown_data_center(known, r.data_center));
    return r.evacuated ? evacuate(s, e, r) : restore(s, r);
}

void replan_vacated_seats(cluster_state& s, apply_result& v)
{
    auto const is_vacated = [&](auto const& entry)
    {
        auto const& [name, seat] = entry;
        return touches_evacuated(s, seat.places) && !s.ledger.is_in_use(name) &&
               !is_kept_in_place(seat.places, s.workers, s.evacuations);
    };
    if (std::any_of(s.seats.begin(), s.seats.end(), is_vacated))
        replan_seats(s, v);
}

} // namespace jasminetrack::core::detail
