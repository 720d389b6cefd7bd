#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// By then a worker that starts nothing else has shown that its earlier runs
/// are established.
constexpr milliseconds max_clearance_ms = 3'000;
/// Of the workers of a service, one in so many may be cleared or have an
/// isolated run, as the others have to start everything else.
constexpr std::size_t clearable_share = 2;

} // namespace

bool dispatcher::clear_workers(milliseconds now, job_entry const& e,
                               unit_ref const& ref, std::string const& service,
                               unit_need need)
{
    need.isolated = false;
    auto const choice = choose_plan(candidates_of(now, service, e.priority),
                                    need, terms_of(e, ref));
    if (!choice || !choice->fits_now ||
        !may_clear(service, choice->places.size()))
        return false;
    clearances_[ref] = {choice->places, now};
    cleared_workers_.insert(choice->places.begin(), choice->places.end());
    remove_candidates(choice->places);
    return true;
}

bool dispatcher::may_clear(std::string const& service, std::size_t count) const
{
    std::size_t all = 0;
    std::size_t taken = 0;
    for (auto const& [id, w] : workers_)
    {
        if (!w.listed || w.info.service != service)
            continue;
        ++all;
        taken += w.hosts_isolated_run() || cleared_workers_.count(id) != 0;
    }
    return taken + count <= std::max<std::size_t>(1, all / clearable_share);
}

void dispatcher::start_on_cleared(milliseconds now, job_entry& e,
                                  unit_ref const& ref,
                                  std::string const& service,
                                  unit_need const& need)
{
    auto const places = clearances_.at(ref).places;
    auto const is_usable = [&](std::string const& id) {
        return is_reservable(now, ref, id) &&
               workers_.at(id).accepts_starts(now);
    };
    bool const usable = std::all_of(places.begin(), places.end(), is_usable) &&
                        has_room(ref, places);
    bool const clear =
        std::none_of(places.begin(), places.end(),
                     [&](std::string const& id)
                     { return is_starting_runs(workers_.at(id)); });
    if (usable && !clear)
        return;
    drop_clearance(ref);
    changed_ = true;
    if (!usable)
        return;
    place(now, e, ref, places);
    deduct_capacity(service, places, need.per_task);
    counts_[service].held[e.priority] += need.accelerators();
}

bool dispatcher::has_room(unit_ref const& ref,
                          std::vector<std::string> const& places) const
{
    auto const need = held_by(step_of(jobs_.at(ref.job), ref));
    std::map<std::string, resources> wanted;
    for (auto const& id : places)
        wanted[id] += need;
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = workers_.at(entry.first);
                           return fits(entry.second, w.free_capacity());
                       });
}

void dispatcher::drop_old_clearances(milliseconds now)
{
    std::vector<unit_ref> old;
    for (auto const& [ref, c] : clearances_)
    {
        auto const* const e = find_job(ref.job);
        bool const waits =
            e && !is_final(e->progress.phase) &&
            e->progress.units.at(ref.unit).phase == unit_phase::waiting;
        if (!waits || now - c.since > max_clearance_ms)
            old.push_back(ref);
    }
    for (auto const& ref : old)
        drop_clearance(ref);
}

void dispatcher::drop_clearance(unit_ref const& ref)
{
    clearances_.erase(ref);
    cleared_workers_.clear();
    for (auto const& [other, c] : clearances_)
        cleared_workers_.insert(c.places.begin(), c.places.end());
}

} // namespace jasminetrack::tasks
