#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

/// A start that has not arrived by then is refused by the worker; half of
/// the time that the members of a gang wait for each other.
constexpr milliseconds start_window_ms = 1'500;
/// No start is sent again with less of its window left.
constexpr milliseconds resend_least_ms = 300;
/// A worker that refused a start is left alone for this long.
constexpr milliseconds refused_rest_ms = 2'000;
/// A worker that gave no word for this long gets nothing new.
constexpr milliseconds answer_age_ms = 3'500;
/// A running task whose percentage stands still for this long hangs; longer
/// for tasks whose percent points take longer.
constexpr milliseconds hang_ms = 3'500;
constexpr milliseconds hang_rest_ms = 15'000;
constexpr std::int64_t hang_points = 15;
constexpr std::int64_t hundred = 100;
/// Workers stay a little longer than they promise.
constexpr milliseconds leave_slack_ms = 500;

} // namespace

std::optional<std::size_t> dispatcher::member_index(unit_ref const& ref,
                                                    active_run const& a,
                                                    task_run const& run) const
{
    if (a.run != run.run)
        return std::nullopt;
    auto const& e = jobs_.at(ref.job);
    auto const index = step_of(e, ref).gang ? run.task.index : 0;
    if (index < 0 || index >= std::ssize(a.members) ||
        a.members[static_cast<std::size_t>(index)].phase == member_phase::off)
        return std::nullopt;
    return static_cast<std::size_t>(index);
}

void dispatcher::place(milliseconds now, job_entry& e, unit_ref const& ref,
                       std::vector<std::string> const& places)
{
    auto& u = e.progress.units.at(ref.unit);
    auto const& step = step_of(e, ref);
    set_unit_phase(e, u, unit_phase::active);
    ++u.run;
    u.places = places;
    auto& a = active_[ref];
    a = {};
    a.run = u.run;
    a.placed_at = now;
    a.batch = next_batch_;
    a.number = next_number_++;
    for (std::size_t i = 0; i < places.size(); ++i)
    {
        member m;
        m.worker = places[i];
        a.members.push_back(m);
        workers_.at(places[i]).add(run_of(ref, u.run, i, step.gang),
                                   {ref, held_by(step), false, 0});
    }
    mark_dirty(ref.job);
    unsent_.push_back(ref);
    say("unit.place", ref.job,
        "step=" + std::to_string(ref.unit.step) + " index=" +
            std::to_string(ref.unit.index) + " run=" + std::to_string(u.run) +
            " tasks=" + std::to_string(places.size()) + " first=" + places[0] +
            " waited_ms=" + std::to_string(now - e.known_at));
}

bool dispatcher::can_start(milliseconds now, active_run const& a) const
{
    return std::all_of(a.members.begin(), a.members.end(),
                       [&](member const& m)
                       {
                           auto const at = workers_.find(m.worker);
                           return at != workers_.end() && at->second.listed &&
                                  !at->second.info.draining &&
                                  at->second.answered_since(now -
                                                            answer_age_ms);
                       });
}

void dispatcher::send_starts(milliseconds now, unit_ref const& ref)
{
    auto const at = active_.find(ref);
    if (at == active_.end() || at->second.over || at->second.first_sent != 0)
        return;
    if (!can_start(now, at->second))
    {
        end_run(now, ref, "a worker became unfit before the start");
        return;
    }
    auto* e = find_job(ref.job);
    at->second.first_sent = now;
    at->second.saved_at = now;
    for (std::size_t i = 0; i < at->second.members.size(); ++i)
        send_start(now, *e, ref, i);
}

void dispatcher::send_start(milliseconds now, job_entry& e, unit_ref const& ref,
                            std::size_t index)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto& w = workers_.at(m.worker);
    if (m.phase == member_phase::recorded)
    {
        m.sent_at = now;
        m.until_ms = w.clock_floor(now) + start_window_ms;
        w.extend_lease(m.until_ms);
    }
    m.phase = member_phase::starting;
    m.last_sent_at = now;
    start_order order;
    order.worker = w.info.id;
    order.address = w.info.address;
    order.token = token_;
    order.run = run_of(ref, a.run, index, step_of(e, ref).gang);
    order.payload = e.job.spec.payload;
    order.until_ms = m.until_ms;
    order.checkpoint = e.progress.units.at(ref.unit).checkpoint;
    out_.push_back(std::move(order));
}

void dispatcher::on_start(milliseconds now, start_reply const& r)
{
    if (r.result == call_result::fenced)
    {
        deposed_ = true;
        say("dispatcher.deposed", r.run.task.job, "worker=" + r.worker);
        return;
    }
    auto const ref = ref_of(r.run);
    auto const at = ref ? active_.find(*ref) : active_.end();
    if (at == active_.end())
        return;
    auto const index = member_index(*ref, at->second, r.run);
    if (!index)
        return;
    if (at->second.members[*index].phase != member_phase::starting)
        return;
    if (r.result == call_result::done)
        member_started(now, *ref, *index, r.clock_ms);
    else
        start_failed(now, *ref, *index, r.result);
}

void dispatcher::member_started(milliseconds now, unit_ref const& ref,
                                std::size_t index, milliseconds clock_ms)
{
    auto& m = active_.at(ref).members[index];
    m.phase = member_phase::running;
    m.started_ms = clock_ms;
    m.moved_at = now;
    workers_.at(m.worker).note_clock(now, clock_ms);
    auto& e = *find_job(ref.job);
    if (e.progress.begun)
        return;
    e.progress.begun = true;
    evaluate(now, e);
    mark_dirty(ref.job);
}

void dispatcher::start_failed(milliseconds now, unit_ref const& ref,
                              std::size_t index, call_result result)
{
    auto& a = active_.at(ref);
    auto& m = a.members[index];
    auto& w = workers_.at(m.worker);
    say("start.failed", ref.job,
        "worker=" + m.worker + " index=" + std::to_string(index) +
            " run=" + std::to_string(a.run) + " result=" + to_text(result));
    if (result == call_result::no_answer)
    {
        w.unanswered_at = now;
        if (now - m.sent_at < start_window_ms - resend_least_ms)
            send_start(now, *find_job(ref.job), ref, index);
        else
            m.phase = member_phase::unclear;
        return;
    }
    w.avoid_until = std::max(w.avoid_until, now + refused_rest_ms);
    bool const sent_once = m.last_sent_at == m.sent_at;
    if (result == call_result::old_run || !sent_once)
    {
        m.phase = member_phase::unclear; // an earlier send may have run
        return;
    }
    end_run(now, ref, std::string("start refused: ") + to_text(result));
    if (active_.count(ref) != 0)
        member_off(now, ref, index);
}

void dispatcher::member_off(milliseconds now, unit_ref const& ref,
                            std::size_t index)
{
    auto& a = active_.at(ref);
    auto& e = *find_job(ref.job);
    auto& m = a.members[index];
    if (m.phase == member_phase::off)
        return;
    auto const at = workers_.find(m.worker);
    if (at != workers_.end())
        at->second.remove(run_of(ref, a.run, index, step_of(e, ref).gang));
    m.phase = member_phase::off;
    auto& u = e.progress.units.at(ref.unit);
    if (index < u.places.size())
        u.places[index].clear();
    if (u.phase != unit_phase::done)
        mark_dirty(ref.job);
    changed_ = true;
    bool const all_off = std::all_of(
        a.members.begin(), a.members.end(),
        [](member const& other) { return other.phase == member_phase::off; });
    if (all_off)
        finish_run(now, ref);
}

void dispatcher::end_run(milliseconds now, unit_ref const& ref,
                         std::string const& why,
                         std::optional<std::size_t> ended)
{
    auto& a = active_.at(ref);
    if (a.over)
        return;
    a.over = true;
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    if (u.phase == unit_phase::active)
        set_unit_phase(e, u, unit_phase::ending);
    mark_dirty(ref.job);
    say("unit.end_run", ref.job,
        "step=" + std::to_string(ref.unit.step) +
            " index=" + std::to_string(ref.unit.index) +
            " run=" + std::to_string(a.run) + " why=\"" + why + "\"");
    std::vector<std::size_t> unsent;
    for (std::size_t i = 0; i < a.members.size(); ++i)
    {
        auto& m = a.members[i];
        if (m.phase == member_phase::off || i == ended)
            continue;
        if (m.phase == member_phase::recorded)
        {
            unsent.push_back(i);
            continue;
        }
        auto const at = workers_.find(m.worker);
        if (at == workers_.end())
            continue;
        auto const run = run_of(ref, a.run, i, step_of(e, ref).gang);
        if (at->second.occupants.count(run) == 0)
            continue;
        at->second.mark_ending(run);
        send_stop(now, at->second, run);
    }
    for (auto const i : unsent)
        if (active_.count(ref) != 0)
            member_off(now, ref, i);
}

void dispatcher::run_ended(milliseconds now, unit_ref const& ref,
                           std::size_t index, run_end how)
{
    auto& a = active_.at(ref);
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    auto const worker = a.members[index].worker;
    bool const lasting = step_of(e, ref).lasting;
    if (how == run_end::done && !lasting && u.phase != unit_phase::done)
    {
        set_unit_phase(e, u, unit_phase::done);
        mark_dirty(ref.job);
        a.over = true;
        for (std::size_t i = 0; i < a.members.size(); ++i)
            if (auto const w = workers_.find(a.members[i].worker);
                w != workers_.end())
                w->second.mark_ending(run_of(ref, a.run, i, true));
    }
    if (how == run_end::failed && !a.counted)
        count_failure(e, ref, u, a, worker);
    end_run(now, ref, to_text(how), index);
    if (active_.count(ref) != 0)
        member_off(now, ref, index);
    evaluate(now, e);
}

void dispatcher::take_earlier_done(milliseconds now, unit_ref const& ref)
{
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    if (u.phase == unit_phase::done || step_of(e, ref).lasting ||
        is_final(e.progress.phase))
        return;
    set_unit_phase(e, u, unit_phase::done);
    mark_dirty(ref.job);
    drop_reservation(ref);
    if (active_.count(ref) != 0)
        end_run(now, ref, "an earlier run had ended done");
    evaluate(now, e);
}

void dispatcher::count_failure(job_entry& e, unit_ref const& ref, unit& u,
                               active_run& a, std::string const& worker)
{
    a.counted = true;
    ++u.failures;
    u.failed_run = a.run;
    mark_dirty(ref.job);
    e.failed_on[ref].insert(worker);
}

void dispatcher::finish_run(milliseconds now, unit_ref const& ref)
{
    active_.erase(ref);
    auto& e = *find_job(ref.job);
    auto& u = e.progress.units.at(ref.unit);
    u.places.clear();
    if (u.phase == unit_phase::active || u.phase == unit_phase::ending)
        set_unit_phase(e, u, unit_phase::waiting);
    evaluate(now, e);
}

void dispatcher::set_unit_phase(job_entry& e, unit& u, unit_phase phase)
{
    e.waiting -= u.phase == unit_phase::waiting ? 1 : 0;
    e.undone -= u.phase == unit_phase::done ? 0 : 1;
    u.phase = phase;
    e.waiting += u.phase == unit_phase::waiting ? 1 : 0;
    e.undone += u.phase == unit_phase::done ? 0 : 1;
}

void dispatcher::evaluate(milliseconds now, job_entry& e)
{
    auto& p = e.progress;
    if (is_final(p.phase))
        return;
    if (e.undone == 0)
    {
        finish_job(now, e, job_phase::completed);
        return;
    }
    auto const* q = queue_of(e);
    for (auto const& [id, u] : p.units)
    {
        bool const lasting =
            e.job.spec.steps[static_cast<std::size_t>(id.step)].lasting;
        if (q && !lasting && u.failures >= q->max_attempts &&
            u.phase != unit_phase::done)
        {
            finish_job(now, e, job_phase::failed);
            return;
        }
    }
    auto const phase = p.begun ? job_phase::running : job_phase::queued;
    if (p.phase != phase)
        mark_dirty(e.job.id);
    p.phase = phase;
}

void dispatcher::finish_job(milliseconds now, job_entry& e, job_phase phase)
{
    e.progress.phase = phase;
    auto const id = e.job.id;
    mark_dirty(id);
    final_batch_[id] = next_batch_;
    say("job.final", id,
        std::string("phase=") + to_text(phase) + " queue=" + e.job.queue +
            " known_ms=" + std::to_string(now - e.known_at));
    std::vector<unit_ref> runs;
    for (auto at = active_.lower_bound({id, {}});
         at != active_.end() && at->first.job == id; ++at)
        runs.push_back(at->first);
    for (auto const& ref : runs)
        if (active_.count(ref) != 0)
            end_run(now, ref, std::string("job is ") + to_text(phase));
    std::vector<unit_ref> reserved;
    for (auto at = reservations_.lower_bound({id, {}});
         at != reservations_.end() && at->first.job == id; ++at)
        reserved.push_back(at->first);
    for (auto const& ref : reserved)
        drop_reservation(ref);
    changed_ = true;
}

void dispatcher::adopt(milliseconds now, job_entry& e)
{
    for (auto& [id, u] : e.progress.units)
    {
        if (u.phase != unit_phase::active && u.phase != unit_phase::ending)
            continue;
        unit_ref const ref{e.job.id, id};
        auto const& step = step_of(e, ref);
        auto& a = active_[ref];
        a.run = u.run;
        a.over = u.phase == unit_phase::ending;
        a.counted = u.failed_run == u.run;
        a.first_sent = a.saved_at = a.placed_at = now;
        a.number = next_number_++;
        for (std::size_t i = 0; i < u.places.size(); ++i)
        {
            member m;
            m.worker = u.places[i];
            m.phase =
                u.places[i].empty() ? member_phase::off : member_phase::adopted;
            a.members.push_back(m);
            if (m.phase == member_phase::off)
                continue;
            auto& w = workers_[m.worker];
            if (w.info.id.empty())
                w.listed = false;
            w.add(run_of(ref, u.run, i, step.gang),
                  {ref, held_by(step), a.over, 0});
        }
    }
    std::vector<unit_ref> empty;
    for (auto at = active_.lower_bound({e.job.id, {}});
         at != active_.end() && at->first.job == e.job.id; ++at)
        if (std::all_of(at->second.members.begin(), at->second.members.end(),
                        [](member const& m)
                        { return m.phase == member_phase::off; }))
            empty.push_back(at->first);
    for (auto const& ref : empty)
        finish_run(now, ref);
}

void dispatcher::check_hanging(milliseconds now)
{
    std::vector<unit_ref> hanging;
    for (auto& [ref, a] : active_)
    {
        if (a.over)
            continue;
        auto const& step = step_of(jobs_.at(ref.job), ref);
        if (step.lasting)
            continue;
        auto const patience =
            std::max(hang_ms, step.estimate_ms * hang_points / hundred);
        for (auto const& m : a.members)
            if (m.phase == member_phase::running &&
                now - m.moved_at > patience &&
                workers_.at(m.worker).answered_at > m.moved_at + hang_ms)
            {
                hanging.push_back(ref);
                break;
            }
    }
    for (auto const& ref : hanging)
    {
        auto const at = active_.find(ref);
        if (at == active_.end())
            continue;
        for (auto const& m : at->second.members)
            if (auto const w = workers_.find(m.worker);
                w != workers_.end() && at->second.members.size() == 1)
                w->second.avoid_until = now + hang_rest_ms;
        end_run(now, ref, "its progress stands still");
    }
}

void dispatcher::check_draining(milliseconds now)
{
    std::vector<unit_ref> leaving;
    for (auto const& [id, w] : workers_)
    {
        if (!w.info.draining || !w.listed || w.info.remaining_ms <= 0)
            continue;
        auto const left =
            w.draining_since + w.info.remaining_ms - now - bounds_.stop_ms;
        for (auto const& [run, o] : w.occupants)
        {
            auto const at = active_.find(o.unit);
            if (o.ending || at == active_.end() || at->second.over)
                continue;
            auto const index = member_index(o.unit, at->second, run);
            if (index && should_leave(now, at->second, *index, left,
                                      step_of(jobs_.at(o.unit.job), o.unit)))
                leaving.push_back(o.unit);
        }
    }
    for (auto const& ref : leaving)
        if (active_.count(ref) != 0)
            end_run(now, ref, "a worker leaves before it can end");
}

/// A run that saves its progress leaves at the last moment; one that does not
/// leaves as soon as it is clear that it cannot end.
bool dispatcher::should_leave(milliseconds now, active_run const& a,
                              std::size_t index, milliseconds left,
                              step_spec const& step)
{
    auto const& m = a.members[index];
    if (m.phase != member_phase::running || step.lasting)
        return false;
    auto const ran = std::max<milliseconds>(1, now - a.first_sent);
    auto const needs = m.percent > 0 ? ran * (hundred - m.percent) / m.percent
                                     : step.estimate_ms;
    if (needs <= left + leave_slack_ms)
        return false;
    return step.checkpoints ? left <= 0 : ran < needs;
}

} // namespace jasminetrack::tasks
