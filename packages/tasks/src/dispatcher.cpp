#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Part of a record for its key, in bytes.
constexpr std::int64_t max_key_bytes = 256;
/// The progress of a job with fewer units fits a record, so that its size is
/// not checked. A gang counts as one unit, however many members it has.
constexpr std::int64_t min_bounded_units = 500;

/// \returns whether the log takes the job's progress as one record.
bool fits_record(detail::job_entry const& e)
{
    return std::ssize(encode(e.progress)) <= max_record_bytes - max_key_bytes;
}

} // namespace

dispatcher::dispatcher(std::int64_t token, dispatch_limits limits,
                       milliseconds now, listener listen)
    : token_(token), next_view_token_(token), limits_(limits), created_at_(now),
      role_(limits, now), listen_(std::move(listen)),
      list_currency_(limits, now), evacuations_(limits.evacuation_bound_ms),
      shares_(limits)
{
}

job_progress const* dispatcher::progress_of(std::string const& id) const
{
    auto const at = jobs_.find(id);
    return at == jobs_.end() ? nullptr : &at->second.progress;
}

worker_view const* dispatcher::find_worker(std::string const& id) const
{
    auto const at = workers_.find(id);
    return at == workers_.end() ? nullptr : &at->second;
}

task_run dispatcher::run_of(unit_ref const& ref, std::int64_t run,
                            std::size_t index, bool gang) const
{
    auto const task = gang ? static_cast<std::int64_t>(index) : ref.unit.index;
    return {{ref.job, ref.unit.occurrence, ref.unit.step, task}, run};
}

std::optional<unit_ref> dispatcher::ref_of(task_run const& run)
{
    auto const* e = find_job(run.task.job);
    if (!e || run.task.step < 0 ||
        run.task.step >= std::ssize(e->job.spec.steps))
        return std::nullopt;
    auto const& step =
        e->job.spec.steps[static_cast<std::size_t>(run.task.step)];
    unit_ref ref{
        run.task.job,
        {run.task.occurrence, run.task.step, step.gang ? 0 : run.task.index}};
    if (e->progress.units.count(ref.unit) == 0)
        return std::nullopt;
    return ref;
}

dispatcher::job_entry* dispatcher::find_job(std::string const& id)
{
    auto const at = jobs_.find(id);
    return at == jobs_.end() ? nullptr : &at->second;
}

unit* dispatcher::find_unit(unit_ref const& ref)
{
    auto* e = find_job(ref.job);
    if (!e)
        return nullptr;
    auto const at = e->progress.units.find(ref.unit);
    return at == e->progress.units.end() ? nullptr : &at->second;
}

queue const* dispatcher::queue_of(job_entry const& e)
{
    return e.job.terms ? &*e.job.terms : nullptr;
}

void dispatcher::log_decision(std::string step, std::string job,
                              std::string text) const
{
    if (listen_)
        listen_({std::move(step), std::move(job), std::move(text)});
}

void dispatcher::log_job_decision(std::string step, job_entry const& e,
                                  std::string text) const
{
    if (listen_)
        listen_(
            {std::move(step), e.job.id, std::move(text), e.job.accepted_ms});
}

void dispatcher::mark_dirty(std::string const& job)
{
    dirty_.insert(job);
}

void dispatcher::set_configuration(configuration const& c)
{
    if (c.version <= config_.version)
        return;
    config_ = c;
    changed_ = true;
    attempts_changed_ = true;
    for (auto& [id, e] : jobs_)
        apply_queue(e);
}

void dispatcher::put_job(milliseconds now, accepted_job const& job,
                         job_progress progress)
{
    if (jobs_.count(job.id) != 0 || is_final(progress.phase))
        return;
    if (unread_final_records_.count(job.id) != 0)
    {
        log_decision(
            "job.ended_before", job.id,
            "why=\"the progress that was read is older than its end\"");
        return;
    }
    job_entry e;
    e.job = job;
    e.progress = std::move(progress);
    e.known_at = now;
    e.critical_paths = critical_paths_of(job.spec);
    for (auto const& [id, u] : e.progress.units)
    {
        e.waiting += u.phase == unit_phase::waiting ? 1 : 0;
        e.unfinished += u.phase == unit_phase::done ? 0 : 1;
    }
    auto& placed = jobs_.emplace(job.id, std::move(e)).first->second;
    apply_queue(placed);
    changed_ = true;
    adopt_runs(now, placed);
    update_job_phase(now, placed);
}

/// A job keeps the terms of its acceptance, also if its queue has gone or has
/// other ones now. A job without terms, from an earlier build, gets those of
/// the first configuration that has its queue. Only advice is a matter of the
/// queue as it is: the workers go by that.
void dispatcher::apply_queue(job_entry& e) const
{
    auto const* const q = find_queue(config_, e.job.queue);
    auto& terms = e.job.terms;
    if (!terms && q)
        terms = *q;
    if (!terms)
        return;
    e.priority = terms->priority;
    e.service = terms->service;
    e.objective_ms = objective_of(*terms, e.job.spec);
    if (!q || q->service != terms->service)
        return;
    terms->advised = q->advised;
    terms->advice_ms = q->advice_ms;
    terms->advice_each_ms = q->advice_each_ms;
}

void dispatcher::cancel_job(milliseconds now, std::string const& id)
{
    auto* e = find_job(id);
    if (!e || is_final(e->progress.phase))
        return;
    log_decision("job.cancel", id, "");
    finish_job(now, *e, job_phase::cancelled);
}

void dispatcher::on_final_record_read(std::string const& id)
{
    unread_final_records_.erase(id);
}

void dispatcher::on_stored(milliseconds now, std::int64_t batch)
{
    stored_batch_ = std::max(stored_batch_, batch);
    batch_sent_ = false;
    std::erase_if(unacknowledged_,
                  [&](std::string const& id)
                  {
                      auto const at = workers_.find(id);
                      if (at == workers_.end())
                          return true;
                      if (at->second.processed_batch > stored_batch_)
                          return false;
                      schedule_renewal(id, at->second, now);
                      return true;
                  });
    while (!unsent_.empty())
    {
        auto const ref = unsent_.front();
        auto const at = active_.find(ref);
        if (at != active_.end() && at->second.batch > stored_batch_)
            break;
        unsent_.pop_front();
        send_starts(now, ref);
    }
    for (auto at = final_batch_.begin(); at != final_batch_.end();)
    {
        auto const run = active_.lower_bound({at->first, {}});
        bool const busy = run != active_.end() && run->first.job == at->first;
        if (busy || at->second > stored_batch_)
        {
            ++at;
            continue;
        }
        advice_.erase_job(at->first);
        departures_.erase_job(at->first);
        std::erase_if(stale_units_, [&](unit_ref const& ref)
                      { return ref.job == at->first; });
        jobs_.erase(at->first);
        at = final_batch_.erase(at);
    }
    emit_batch(now);
}

void dispatcher::tick(milliseconds now, milliseconds wall)
{
    wall_offset_ms_ = wall - now;
    if (jobs_read_)
    {
        monitor(now);
        update_speeds(now);
        schedule(now, wall);
        update_holds(now, wall);
        record_answers(now);
    }
    send_due_renewals(now);
    if (jobs_read_)
        emit_batch(now);
}

/// The log refuses a record that is too large, and all others of its append
/// with it, so that nothing of any job would be stored any more. Losses of
/// workers are dropped first, then the job fails.
void dispatcher::bound_record(milliseconds now, job_entry& e)
{
    if (std::ssize(e.progress.units) < min_bounded_units || fits_record(e))
        return;
    log_job_decision("job.too_large", e,
                     "why=\"its progress does not fit a record\"");
    for (auto& [id, u] : e.progress.units)
        u.losses.clear();
    if (!fits_record(e))
        finish_job(now, e, job_phase::failed);
}

void dispatcher::emit_batch(milliseconds now)
{
    if (batch_sent_)
        return;
    auto const speeds =
        limits_.learn_speeds
            ? speed_writer_.take_due(now, speeds_.slower_workers())
            : std::nullopt;
    if (dirty_.empty() && !speeds)
        return;
    store_order order;
    order.batch = next_batch_++;
    for (auto const& id : dirty_)
        if (auto* e = find_job(id))
        {
            bound_record(now, *e);
            order.records.push_back({id, encode(e->progress)});
            unrecorded_answers_.erase(id);
        }
    if (speeds)
        order.records.push_back(*speeds);
    dirty_.clear();
    batch_sent_ = true;
    out_.push_back(std::move(order));
}

actions dispatcher::take_actions()
{
    return std::exchange(out_, {});
}

} // namespace jasminetrack::tasks
