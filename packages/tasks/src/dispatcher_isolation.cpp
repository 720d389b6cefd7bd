#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// By then a worker that starts nothing else has shown that its earlier runs
/// are established.
constexpr milliseconds max_clearance_ms = 3'000;

/// \returns whether a task with this need fits on each place; a worker may be
/// several of them.
bool has_room(std::map<std::string, worker_view> const& workers,
              std::vector<std::string> const& places, resources const& need)
{
    std::map<std::string, resources> wanted;
    for (auto const& id : places)
        wanted[id] += need;
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](auto const& entry)
                       {
                           auto const& w = workers.at(entry.first);
                           return fits(entry.second, w.free_capacity());
                       });
}

} // namespace

bool dispatcher::clear_workers(milliseconds now, job_entry const& e,
                               unit_ref const& ref, std::string const& service,
                               unit_need need)
{
    if (!shares_.may_isolate(service, 1))
        return false;
    need.isolated = false;
    auto const choice =
        choose_plan(candidates_of(now, {service, e.priority, ""}), need,
                    terms_of(now, e, ref, need));
    if (!choice || !choice->fits_now)
        return false;
    std::set<std::string> const places(choice->places.begin(),
                                       choice->places.end());
    if (!shares_.may_isolate(service, std::ssize(places)))
        return false;
    shares_.count_of(service).isolating += std::ssize(places);
    clearances_[ref] = {choice->places, now};
    cleared_workers_.insert(places.begin(), places.end());
    candidates_.remove(choice->places);
    log_decision("unit.clear", ref.job,
                 "step=" + std::to_string(ref.unit.step) +
                     " index=" + std::to_string(ref.unit.index) +
                     " workers=" + std::to_string(places.size()) +
                     " first=" + choice->places[0]);
    return true;
}

bool dispatcher::has_many_suspects(std::string const& service) const
{
    return suspects_.has_many(service);
}

bool dispatcher::may_isolate_on(std::string const& service,
                                std::vector<std::string> const& places)
{
    auto const count = count_new_isolating({places.begin(), places.end()});
    return count == 0 || shares_.may_isolate(service, count);
}

std::int64_t
dispatcher::count_new_isolating(std::set<std::string> const& workers) const
{
    return std::count_if(workers.begin(), workers.end(),
                         [&](std::string const& id)
                         {
                             return !workers_.at(id).hosts_isolated_run() &&
                                    cleared_workers_.count(id) == 0;
                         });
}

void dispatcher::start_on_cleared(milliseconds now, job_entry& e,
                                  unit_ref const& ref,
                                  std::string const& service,
                                  unit_need const& need)
{
    auto const places = clearances_.at(ref).places;
    auto const is_usable = [&](std::string const& id)
    {
        return is_reservable(ref, id) && workers_.at(id).accepts_starts(now) &&
               !workers_.at(id).hosts_isolated_run();
    };
    bool const usable = list_currency_.is_current(now) &&
                        std::all_of(places.begin(), places.end(), is_usable) &&
                        has_room(workers_, places, held_by(step_of(e, ref)));
    auto const is_starting = [&](std::string const& id)
    { return is_starting_runs(workers_.at(id)); };
    if (usable && std::any_of(places.begin(), places.end(), is_starting))
        return;
    drop_clearance(ref);
    if (!usable)
        return;
    place(now, e, ref, places, false);
    candidates_.deduct(service, places, need.per_task);
    shares_.deduct(service, std::ssize(places) * need.per_task);
    shares_.count_of(service).held[e.priority] += need.accelerators();
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

void dispatcher::drop_clearances_below(std::int64_t priority,
                                       std::string const& service)
{
    std::vector<unit_ref> below;
    for (auto const& [ref, c] : clearances_)
    {
        auto const& e = jobs_.at(ref.job);
        if (e.priority > priority && e.service == service)
            below.push_back(ref);
    }
    for (auto const& ref : below)
        drop_clearance(ref);
}

void dispatcher::drop_clearance(unit_ref const& ref)
{
    if (clearances_.erase(ref) == 0)
        return;
    changed_ = true;
    cleared_workers_.clear();
    for (auto const& [other, c] : clearances_)
        cleared_workers_.insert(c.places.begin(), c.places.end());
}

} // namespace jasminetrack::tasks
