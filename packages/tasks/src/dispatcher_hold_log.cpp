#include <jasminetrack/tasks/dispatcher.hpp>

#include <jasminetrack/tasks/hold_report.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// Candidates for work that is not urgent may stop no runs.
detail::candidate_key const not_urgent{"", 1, ""};

milliseconds time_since(milliseconds due, milliseconds wall)
{
    return std::max<milliseconds>(0, wall - due);
}

} // namespace

detail::service_room& dispatcher::room_of(milliseconds now,
                                          std::string const& service)
{
    auto const [at, is_new] = holds_.rooms.try_emplace(service);
    auto& room = at->second;
    if (!is_new)
        return room;
    for (auto const& [id, w] : workers_)
        if (w.listed && w.info.service == service)
            add_to_room(now, w, room);
    return room;
}

void dispatcher::add_to_room(milliseconds now, worker_view const& w,
                             detail::service_room& room) const
{
    worker_candidate candidate;
    update_candidate(now, w, not_urgent, candidate);
    if (w.evacuated)
    {
        room.evacuated.push_back(std::move(candidate));
        return;
    }
    room.capacity += w.info.capacity;
    room.used += w.used();
    auto const free = w.free_capacity();
    if (unfit_reason_of(now, w))
    {
        room.unfit.push_back(free);
    }
    else
    {
        // A worker whose capacity has shrunk takes nothing.
        room.free += fits({}, free) ? free : resources{};
        room.fit.push_back(candidate);
    }
    room.listed.push_back(std::move(candidate));
}

void dispatcher::log_hold(milliseconds now, milliseconds wall,
                          hold_change const& c)
{
    auto const& held = holds_.held.at(c.job);
    auto const& e = jobs_.at(c.job);
    auto const& step = step_of(e, {c.job, held.unit});
    auto const& room = room_of(now, e.service);
    hold_report r;
    r.reason = held.reason;
    r.held_ms = c.held_ms;
    r.age_ms = time_since(held.due_ms, wall);
    r.priority = e.priority;
    r.tasks = step.gang ? step.count : 1;
    r.need = held_by(step);
    r.same_rack = step.same_rack && r.tasks > 1;
    r.free = room.free;
    r.used = room.used;
    r.capacity = room.capacity;
    r.headroom = shares_.headroom(now, e.service);
    log_decision("job.held", c.job, to_text(r));
}

} // namespace jasminetrack::tasks
