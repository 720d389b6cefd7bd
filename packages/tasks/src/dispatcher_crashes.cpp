#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <cstdlib>

namespace jasminetrack::tasks
{
namespace
{

/// Workers of a rack that is lost become silent within this time: the longest
/// wait of a renewal and the time until it counts as unanswered.
constexpr milliseconds rack_loss_ms = 3'000;
/// A worker that is neither listed nor answers for this time has crashed.
constexpr milliseconds gone_ms = 20'000;
/// Longest wait for silent workers to show whether they have crashed.
constexpr milliseconds max_silence_wait_ms = gone_ms + 5'000;
/// Longest wait for a worker on which nothing is being started, after one loss
/// and after several.
constexpr milliseconds max_isolation_wait_ms = 2'000;
constexpr milliseconds max_repeated_isolation_wait_ms = 20'000;

/// The earlier dispatcher may have had an answer, which speaks against a task
/// that is suspected already.
crash_exposure exposure_before_adoption(detail::active_run const& a)
{
    return a.fresh_exposure == crash_exposure::starting
               ? crash_exposure::unanswered
               : crash_exposure::starting;
}

/// \returns whether most workers of its rack became silent with it.
bool lost_with_rack(worker_view const& w,
                    std::map<std::string, worker_view> const& workers)
{
    if (w.unresponsive_since < 0)
        return false;
    std::int64_t others = 0;
    std::int64_t silent = 0;
    for (auto const& [id, other] : workers)
    {
        if (&other == &w || other.info.rack != w.info.rack ||
            (!other.listed && other.unresponsive_since < 0))
            continue;
        ++others;
        bool const together = other.unresponsive_since >= 0 &&
                              std::abs(other.unresponsive_since -
                                       w.unresponsive_since) <= rack_loss_ms;
        silent += together ? 1 : 0;
    }
    return others > 0 && 2 * silent >= others;
}

/// \param u  nullptr: not known any more
bool has_unclear_loss(unit const* u, std::string const& worker)
{
    return u && std::any_of(u->losses.begin(), u->losses.end(),
                            [&](worker_loss const& l)
                            { return l.worker == worker && !l.crashed; });
}

std::string crash_text(unit_ref const& ref, worker_loss const& l)
{
    return "worker=" + l.worker +
           " incarnation=" + std::to_string(l.incarnation) +
           " step=" + std::to_string(ref.unit.step) +
           " index=" + std::to_string(ref.unit.index) +
           " task=" + std::to_string(l.index) +
           " run=" + std::to_string(l.run) + " exposure=" + to_text(l.exposure);
}

} // namespace

crash_verdict dispatcher::verdict_on(milliseconds now, job_entry const& e,
                                     unit_ref const& ref) const
{
    auto const& losses = e.progress.units.at(ref.unit).losses;
    if (losses.empty())
        return crash_verdict::none;
    auto const at = e.lost_at.find(ref);
    auto const waited = now - (at == e.lost_at.end() ? e.known_at : at->second);
    auto verdict = judge(losses);
    auto max_wait_ms = losses.size() > 1 ? max_repeated_isolation_wait_ms
                                         : max_isolation_wait_ms;
    if (verdict == crash_verdict::wait)
    {
        if (waited <= max_silence_wait_ms)
            return verdict;
        verdict = crash_verdict::isolate;
        max_wait_ms += max_silence_wait_ms;
    }
    if (verdict == crash_verdict::isolate && waited > max_wait_ms)
        return crash_verdict::none;
    return verdict;
}

void dispatcher::record_loss(milliseconds now, worker_view const& w,
                             task_run const& run, unit_ref const& ref,
                             bool crashed)
{
    auto const at = active_.find(ref);
    auto const index =
        at == active_.end() ? std::nullopt : member_index(ref, at->second, run);
    if (!index || w.info.draining)
        return; // a worker that leaves as announced has not crashed
    auto& u = *find_unit(ref);
    auto const& m = at->second.members[*index];
    if (m.phase == member_phase::recorded ||
        m.phase == member_phase::awaiting_late_start ||
        u.phase == unit_phase::done)
        return;
    add_loss(u.losses,
             {static_cast<std::int64_t>(*index), run.run, m.worker,
              w.info.incarnation, exposure_of(w, at->second, m), crashed});
    if (!crashed)
        unclear_losses_[m.worker].insert(ref);
    find_job(ref.job)->lost_at[ref] = now;
    mark_dirty(ref.job);
}

crash_exposure dispatcher::exposure_of(worker_view const& w,
                                       active_run const& a,
                                       member const& m) const
{
    if (m.phase == member_phase::adopted)
        return exposure_before_adoption(a);
    if (m.phase != member_phase::running)
        return crash_exposure::unanswered;
    if (detail::is_proven(m))
        return crash_exposure::proven;
    if (detail::is_established(m) || lost_with_rack(w, workers_))
        return crash_exposure::established;
    return a.fresh_exposure;
}

crash_exposure dispatcher::join_suspects(unit_ref const& ref,
                                         std::vector<std::string> const& places)
{
    std::set<unit_ref> others;
    for (auto const& id : places)
    {
        auto const& w = workers_.at(id);
        if (!w.hosts_isolated_run() && is_starting_runs(w))
            return crash_exposure::starting;
        for (auto const& [run, o] : w.hosted_runs)
            if (o.isolated && o.unit != ref)
                others.insert(o.unit);
    }
    for (auto const& other : others)
        if (auto const at = active_.find(other); at != active_.end())
            at->second.fresh_exposure = crash_exposure::grouped;
    return others.empty() ? crash_exposure::isolated : crash_exposure::grouped;
}

void dispatcher::confirm_losses(milliseconds now, std::string const& worker,
                                std::int64_t before_incarnation)
{
    auto const at = unclear_losses_.find(worker);
    if (at == unclear_losses_.end())
        return;
    for (auto const& ref : at->second)
        if (confirm_losses_of(ref, worker, before_incarnation))
            update_job_phase(now, *find_job(ref.job));
    std::erase_if(at->second, [&](unit_ref const& ref)
                  { return !has_unclear_loss(find_unit(ref), worker); });
    if (at->second.empty())
        unclear_losses_.erase(at);
}

bool dispatcher::confirm_losses_of(unit_ref const& ref,
                                   std::string const& worker,
                                   std::int64_t before_incarnation)
{
    auto* const u = find_unit(ref);
    if (!u)
        return false;
    bool any = false;
    for (auto& l : u->losses)
    {
        if (l.worker != worker || l.crashed ||
            l.incarnation >= before_incarnation)
            continue;
        l.crashed = any = true;
        log_decision("run.crashed", ref.job, crash_text(ref, l));
    }
    if (!any)
        return false;
    mark_dirty(ref.job);
    changed_ = true;
    return true;
}

void dispatcher::dismiss_losses(std::string const& worker,
                                std::int64_t incarnation)
{
    auto const at = unclear_losses_.find(worker);
    if (at == unclear_losses_.end())
        return;
    for (auto const& ref : at->second)
    {
        auto* const u = find_unit(ref);
        if (!u)
            continue;
        std::erase_if(u->losses,
                      [&](worker_loss const& l) {
                          return l.worker == worker && !l.crashed &&
                                 l.incarnation == incarnation;
                      });
        mark_dirty(ref.job);
    }
    unclear_losses_.erase(at);
    changed_ = true;
}

void dispatcher::confirm_gone_workers(milliseconds now)
{
    std::vector<std::string> gone;
    for (auto const& [id, refs] : unclear_losses_)
    {
        auto const at = workers_.find(id);
        bool const is_known = at != workers_.end();
        if (is_known && at->second.listed)
            continue;
        auto const away_since =
            is_known ? std::max(at->second.unlisted_since, created_at_)
                     : created_at_;
        if (now - away_since > gone_ms)
            gone.push_back(id);
    }
    for (auto const& id : gone)
        confirm_losses(now, id, detail::any_incarnation);
}

void dispatcher::record_loss_before_adoption(worker_view const& w,
                                             unit_ref const& ref,
                                             std::size_t index,
                                             std::int64_t sent_to)
{
    if (sent_to == 0 || w.info.incarnation <= sent_to || w.info.draining)
        return;
    auto& u = *find_unit(ref);
    worker_loss const loss{
        static_cast<std::int64_t>(index),          u.run, w.info.id, sent_to,
        exposure_before_adoption(active_.at(ref)), true};
    log_decision("run.crashed", ref.job, crash_text(ref, loss));
    add_loss(u.losses, loss);
    mark_dirty(ref.job);
}

void dispatcher::adopt_losses(unit_ref const& ref, unit const& u)
{
    for (auto const& l : u.losses)
        if (!l.crashed)
            unclear_losses_[l.worker].insert(ref);
}

bool dispatcher::is_starting_runs(worker_view const& w) const
{
    if (w.reserved != resources{})
        return true;
    return std::any_of(
        w.hosted_runs.begin(), w.hosted_runs.end(),
        [&](auto const& entry)
        {
            auto const& [run, o] = entry;
            auto const at = active_.find(o.unit);
            if (at == active_.end())
                return false;
            auto const index = member_index(o.unit, at->second, run);
            if (!index)
                return false;
            auto const& m = at->second.members[*index];
            return m.phase != member_phase::awaiting_late_start &&
                   !detail::is_established(m);
        });
}

void dispatcher::log_given_up(job_entry const& e, unit_id const& id,
                              unit const& u) const
{
    auto const task = most_crashed_task(u.losses);
    std::string workers;
    for (auto const& l : u.losses)
        if (l.index == task && l.crashed)
            workers += (workers.empty() ? "" : ",") + l.worker + ":" +
                       to_text(l.exposure);
    bool const is_gang =
        e.job.spec.steps[static_cast<std::size_t>(id.step)].gang;
    log_job_decision(
        "unit.given_up", e,
        "step=" + std::to_string(id.step) +
            " index=" + std::to_string(is_gang ? task : id.index) +
            " crashes=" + std::to_string(crashes_of(u.losses, task)) +
            " workers=" + workers);
}

} // namespace jasminetrack::tasks
