/// \file
/// The simulated workers and the invariants that they check.

#include "dispatch_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

constexpr milliseconds step_ms = 10;
constexpr milliseconds stop_duration_ms = 300;
constexpr milliseconds min_slow_stop_ms = 100;
constexpr milliseconds max_slow_stop_ms = 900;
constexpr milliseconds gang_wait_ms = 3'000;
constexpr milliseconds checkpoint_ms = 2'000;
/// The default of dispatch_limits.
constexpr double far_factor = 3;

} // namespace

/// The format of a ticket is "INCARNATION/EXPIRY".
bool dispatch_simulation::has_ticket(sim_worker const& w,
                                     start_order const& o) const
{
    auto const& job = jobs_.at(o.run.task.job).job;
    bool const advised = std::any_of(
        config_.queues.begin(), config_.queues.end(),
        [&](queue const& q) { return q.name == job.queue && q.advised; });
    if (!advised)
        return true;
    auto const slash = o.ticket.find('/');
    return slash != std::string::npos &&
           o.ticket.substr(0, slash) == std::to_string(w.incarnation) &&
           std::stoll(o.ticket.substr(slash + 1)) > now_;
}

renew_reply dispatch_simulation::handle_renew(sim_worker& w,
                                              renew_order const& o)
{
    if (o.token < w.token)
    {
        renew_reply r;
        r.worker = w.info.id;
        r.result = call_result::fenced;
        return r;
    }
    w.token = o.token;
    if (o.until_ms > 0)
        extend_lease(w, o.until_ms);
    acknowledge(w, o.last_seen);
    return report(w);
}

renew_reply dispatch_simulation::report(sim_worker const& w) const
{
    renew_reply r;
    r.worker = w.info.id;
    r.result = call_result::done;
    r.incarnation = w.incarnation;
    r.clock_ms = clock_of(w);
    for (auto const& [run, s] : w.runs)
        r.running.push_back(
            {run,
             step_of(run)->checkpoints && s.checkpoint_base > 0
                 ? std::to_string(s.checkpoint_base)
                 : "",
             static_cast<std::int64_t>(100 * s.done_ms /
                                       static_cast<double>(s.total_ms))});
    r.ended = w.ends;
    return r;
}

void dispatch_simulation::extend_lease(sim_worker& w, milliseconds until) const
{
    w.lease =
        std::max(w.lease, std::min(until, clock_of(w) + faults_.max_lease_ms));
}

resources dispatch_simulation::held_on(sim_worker const& w) const
{
    resources held;
    for (auto const& [run, s] : w.runs)
        held += s.held;
    return held;
}

void dispatch_simulation::acknowledge(sim_worker& w, std::int64_t upto)
{
    for (auto const& e : w.ends)
    {
        if (e.number > upto || e.number <= w.expired_ends)
            continue;
        auto& j = jobs_.at(e.run.task.job);
        if (e.how == run_end::failed)
            ++j.acknowledged_failures[e.run.task];
        if (e.how == run_end::done)
            j.acknowledged_done.insert(e.run.task);
    }
    std::erase_if(w.ends,
                  [&](ended_task const& e) { return e.number <= upto; });
}

void dispatch_simulation::check_start(sim_worker const& w, start_order const& o)
{
    auto const name = o.run.task.job + "." + std::to_string(o.run.task.step) +
                      "." + std::to_string(o.run.task.index) + " run " +
                      std::to_string(o.run.run) + " on " + w.info.id;
    auto const& step = *step_of(o.run);
    auto const& j = jobs_.at(o.run.task.job);
    for (auto const& [id, other] : workers_)
        for (auto const& [run, s] : other.runs)
            if (run.task == o.run.task && !step.copies &&
                stray_starts_.count(run) == 0)
                report_violation(violation_kind::two_runs,
                                 name + " started while run " +
                                     std::to_string(run.run) + " is on " + id);
    if (j.acknowledged_done.count(o.run.task) != 0)
        report_violation(
            violation_kind::run_after_end,
            name + " started after its task was acknowledged as done");
    if (!fits(held_on(w) + step.need, counted_capacity(w)))
        report_violation(violation_kind::over_capacity,
                         name + " exceeds the capacity of the worker");
    for (int const before : step.after)
    {
        auto const& earlier =
            j.job.spec.steps[static_cast<std::size_t>(before)];
        auto const units = earlier.gang ? 1 : earlier.count;
        for (std::int64_t i = 0; i < units; ++i)
            if (j.done_units.count({o.run.task.occurrence, before, i}) == 0)
                report_violation(
                    violation_kind::step_order,
                    name + " started before an earlier step was done");
    }
    auto const* q = j.accepted_by();
    auto const failures = j.acknowledged_failures.find(o.run.task);
    if (q && !step.lasting && failures != j.acknowledged_failures.end() &&
        failures->second >= q->max_attempts)
        report_violation(violation_kind::attempts,
                         name + " started after the last permitted attempt");
    if (j.cancelled && now_ - j.submitted > 60'000)
        report_violation(violation_kind::cancelled_job,
                         name + " started after its job was cancelled");
    check_crash_budget(o, name);
    check_evacuation(w, name);
    check_worker(w, o, name);
}

void dispatch_simulation::check_worker(sim_worker const& w,
                                       start_order const& o,
                                       std::string const& name)
{
    auto const& step = *step_of(o.run);
    auto const* q = jobs_.at(o.run.task.job).accepted_by();
    if (q && q->service != w.info.service)
        report_violation(violation_kind::wrong_worker,
                         name + " is of service " + w.info.service);
    auto const& labels = w.info.labels;
    if (!step.label.empty() &&
        std::find(labels.begin(), labels.end(), step.label) == labels.end())
        report_violation(violation_kind::wrong_worker,
                         name + " lacks label " + step.label);
    auto const same_step =
        std::count_if(w.runs.begin(), w.runs.end(),
                      [&](auto const& entry)
                      {
                          auto const& task = entry.first.task;
                          return task.job == o.run.task.job &&
                                 task.occurrence == o.run.task.occurrence &&
                                 task.step == o.run.task.step;
                      });
    if (step.most_per_worker > 0 && same_step >= step.most_per_worker)
        report_violation(violation_kind::wrong_worker,
                         name + " beside " + std::to_string(same_step) +
                             " tasks of its step");
}

call_result dispatch_simulation::handle_start(sim_worker& w,
                                              start_order const& o,
                                              bool is_intended)
{
    if (o.token < w.token)
        return call_result::fenced;
    w.token = o.token;
    if (w.runs.count(o.run) != 0)
        return call_result::done;
    auto const highest = w.highest.find(o.run.task);
    if (highest != w.highest.end() && o.run.run <= highest->second)
    {
        extend_lease(w, o.until_ms);
        return call_result::old_run;
    }
    if (o.until_ms <= clock_of(w))
        return call_result::expired;
    if (!has_ticket(w, o))
        return call_result::no_ticket;
    extend_lease(w, o.until_ms);
    if (faults_.rejecting_workers &&
        !fits(held_on(w) + step_of(o.run)->need, w.info.capacity))
        return call_result::no_capacity;
    if (is_intended || faults_.checks_stray_orders)
        check_start(w, o);
    else
        stray_starts_.insert(o.run);
    trace("run " + o.run.task.job + "." + std::to_string(o.run.task.index) +
          " run=" + std::to_string(o.run.run) + " on " + w.info.id +
          (is_intended ? "" : " stray"));
    auto& j = jobs_.at(o.run.task.job);
    auto const& step = *step_of(o.run);
    sim_run s;
    s.run = o.run;
    s.held = step.need;
    s.arrived = now_;
    s.begun = step.gang ? -1 : now_;
    s.total_ms = j.work.duration_ms;
    s.checkpoint_base = o.checkpoint.empty() ? 0 : std::stoll(o.checkpoint);
    s.done_ms = static_cast<double>(s.checkpoint_base);
    s.will_fail = j.work.always_fails || chance(faults_.failing);
    w.runs[o.run] = s;
    ++j.starts;
    j.begun.insert(o.run.task);
    if (j.begun_at < 0 && std::count_if(j.begun.begin(), j.begun.end(),
                                        [](task_id const& t) {
                                            return t.step == 0;
                                        }) == j.job.spec.steps[0].count)
        j.begun_at = now_;
    return call_result::done;
}

call_result dispatch_simulation::handle_stop(sim_worker& w, stop_order const& o)
{
    if (o.token < w.token)
        return call_result::fenced;
    w.token = o.token;
    auto& highest = w.highest[o.run.task];
    highest = std::max(highest, o.run.run);
    auto const at = w.runs.find(o.run);
    if (at != w.runs.end() && at->second.stop_at < 0)
        at->second.stop_at =
            now_ + (faults_.slow_stops
                        ? between(min_slow_stop_ms, max_slow_stop_ms)
                        : stop_duration_ms);
    return call_result::done;
}

void dispatch_simulation::end_run(sim_worker& w, task_run const& run,
                                  run_end how)
{
    auto const s = w.runs.at(run);
    w.runs.erase(run);
    auto& highest = w.highest[run.task];
    highest = std::max(highest, run.run);
    ++ended_[how];
    if (how != run_end::done)
        count_lost_work(s);
    trace("end " + run.task.job + "." + std::to_string(run.task.index) +
          " run=" + std::to_string(run.run) + " on " + w.info.id + " " +
          to_text(how));
    auto const checkpoint =
        step_of(run)->checkpoints && s.done_ms > 0
            ? std::to_string(static_cast<std::int64_t>(s.done_ms))
            : "";
    w.ends.push_back({w.next_end++, run, how, checkpoint});
    note_end(run, how);
    if (how == run_end::failed)
        ++jobs_.at(run.task.job).failed_ends;
    if (how == run_end::done)
        jobs_.at(run.task.job)
            .done_units.insert({run.task.occurrence, run.task.step,
                                step_of(run)->gang ? 0 : run.task.index});
}

void dispatch_simulation::advance_worker(sim_worker& w)
{
    std::vector<std::pair<task_run, run_end>> over;
    bool const is_expired = clock_of(w) > w.lease;
    if (is_expired)
        w.expired_ends = w.next_end - 1;
    for (auto& [run, s] : w.runs)
    {
        if (is_expired)
            over.emplace_back(run, run_end::lapsed);
        else if (s.stop_at >= 0 && now_ >= s.stop_at)
            over.emplace_back(run, run_end::stopped);
        else if (s.begun < 0)
        {
            if (now_ - s.arrived > gang_wait_ms)
                over.emplace_back(run, run_end::alone);
        }
        else if (!w.hangs)
        {
            s.done_ms += static_cast<double>(step_ms) / w.slow / s.slowdown;
            auto const saved = static_cast<std::int64_t>(s.done_ms) /
                               checkpoint_ms * checkpoint_ms;
            s.checkpoint_base = std::max(s.checkpoint_base, saved);
            bool const fails = s.will_fail || w.fails;
            if (fails && s.done_ms * 2 >= static_cast<double>(s.total_ms))
                over.emplace_back(run, run_end::failed);
            else if (!step_of(run)->gang &&
                     s.done_ms >= static_cast<double>(s.total_ms))
                over.emplace_back(run, run_end::done);
        }
    }
    for (auto const& [run, how] : over)
        end_run(w, run, how);
}

void dispatch_simulation::advance_gangs()
{
    std::map<std::pair<task_run, std::int64_t>, std::vector<sim_worker*>> all;
    for (auto& [id, w] : workers_)
        for (auto const& [run, s] : w.runs)
            if (step_of(run)->gang)
            {
                auto key = run;
                key.task.index = 0;
                all[{key, run.run}].push_back(&w);
            }
    for (auto const& [key, members] : all)
    {
        auto const& step = *step_of(key.first);
        bool const whole = std::ssize(members) == step.count;
        bool ready = whole;
        std::set<std::string> racks;
        for (auto const* w : members)
            racks.insert(w->info.rack);
        bool const is_far = step.same_rack && racks.size() > 1;
        std::vector<std::pair<sim_worker*, task_run>> runs;
        for (auto* w : members)
            for (auto& [run, s] : w->runs)
            {
                auto same = run;
                same.task.index = 0;
                if (same != key.first)
                    continue;
                if (std::find(runs.begin(), runs.end(), std::pair(w, run)) !=
                    runs.end())
                    continue;
                runs.emplace_back(w, run);
                if (whole && s.begun < 0)
                    s.begun = now_;
                s.slowdown = is_far ? far_factor : 1;
                ready = ready && s.done_ms >= static_cast<double>(s.total_ms);
            }
        for (auto const& [w, run] : runs)
        {
            auto const& s = w->runs.at(run);
            if (ready)
                end_run(*w, run, run_end::done);
            else if (!whole && s.begun >= 0 && !w->disconnected)
                end_run(*w, run, run_end::broken);
        }
    }
}

} // namespace support
