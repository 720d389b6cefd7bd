#include <jasminetrack/core/region_owner.hpp>

#include "task_phases.hpp"

#include <utility>

namespace jasminetrack::core
{
namespace
{

using detail::is_over;

constexpr milliseconds avoid_ms = 5000;

} // namespace

task_status const* region_owner::status_of(job const& j,
                                           std::size_t member) const
{
    auto const known = contacts_.find(j.places[member].worker);
    if (known == contacts_.end() || known->second.heard_ms == 0)
        return nullptr;
    auto const& reported = known->second.reported;
    auto const found = reported.find(task_name(j, member));
    return found == reported.end() ? nullptr : &found->second;
}

void region_owner::propose(milliseconds now, job const& j, job_change change,
                           std::string detail, actions& out, std::string blamed,
                           bool clean)
{
    auto& p = proposals_[j.id];
    bool const same =
        p.attempt == j.attempt && p.change == static_cast<int>(change);
    if (same && now - p.at < timing_.retry_interval_ms)
        return;
    p = {j.attempt, static_cast<int>(change), now};
    job_record r;
    r.job = j.id;
    r.epoch = epoch_;
    r.attempt = j.attempt;
    r.change = change;
    r.detail = std::move(detail);
    r.blamed = std::move(blamed);
    r.clean = clean;
    out.push_back(append_action{std::move(r)});
}

void region_owner::drive_placed(milliseconds now, job const& j, actions& out)
{
    auto const since =
        placed_since_.try_emplace({j.id, j.attempt}, now).first->second;
    std::size_t prepared = 0;
    std::string late;
    for (std::size_t m = 0; m < j.places.size(); ++m)
    {
        auto const* status = status_of(j, m);
        if (status != nullptr && status->phase == task_phase::failed)
        {
            propose(now, j, job_change::failed, status->detail, out,
                    j.places[m].worker);
            return;
        }
        if (status != nullptr && status->phase == task_phase::prepared)
            ++prepared;
        else if (status == nullptr)
            late = j.places[m].worker;
    }
    if (prepared == j.places.size())
    {
        propose(now, j, job_change::started, "", out);
        return;
    }
    auto const waited = now - since;
    bool const no_word = !late.empty() && waited > timing_.prepare_timeout_ms;
    auto const grace =
        j.seat.empty() ? timing_.graceful_stop_ms : timing_.grace_ms;
    bool const too_long = waited > timing_.prepare_timeout_ms + 2 * grace;
    if (!no_word && !too_long)
        return;
    if (!late.empty())
        avoid_until_[late] = now + avoid_ms;
    propose(now, j, job_change::withdrawn,
            late.empty() ? "accelerators were not freed in time"
                         : "no answer from worker " + late,
            out);
}

void region_owner::drive_running(milliseconds now, job const& j, actions& out)
{
    std::size_t done = 0;
    std::string result;
    for (std::size_t m = 0; m < j.places.size(); ++m)
    {
        auto const* status = status_of(j, m);
        auto const& worker_name = j.places[m].worker;
        if (status == nullptr)
        {
            if (is_lost(now, worker_name))
                propose(now, j, job_change::stopping,
                        "worker " + worker_name + " is lost", out);
            continue;
        }
        if (status->phase == task_phase::failed)
        {
            propose(now, j, job_change::failed, status->detail, out,
                    worker_name);
            return;
        }
        if (status->phase == task_phase::done)
        {
            ++done;
            result += (result.empty() ? "" : "\n") + status->detail;
        }
        else if (is_over(status->phase))
        {
            propose(now, j, job_change::stopping,
                    "member " + std::to_string(m) + " on worker " +
                        worker_name + " is gone",
                    out);
            return;
        }
    }
    if (done == j.places.size())
        propose(now, j, job_change::done, result, out);
}

void region_owner::drive_stopping(milliseconds now, cluster_state const& state,
                                  job const& j, actions& out)
{
    std::size_t done = 0;
    bool clean = true;
    std::string result;
    for (std::size_t m = 0; m < j.places.size(); ++m)
    {
        auto const* status = status_of(j, m);
        auto const& worker_name = j.places[m].worker;
        auto const w = state.workers.find(worker_name);
        bool const lost = w == state.workers.end() ||
                          w->second.condition == worker_condition::lost ||
                          is_lost(now, worker_name);
        if (lost)
        {
            clean = false;
            continue;
        }
        if (status == nullptr || !is_over(status->phase))
            return;
        if (status->phase == task_phase::done)
        {
            ++done;
            result += (result.empty() ? "" : "\n") + status->detail;
        }
        else if (status->phase != task_phase::stopped)
            clean = false;
    }
    if (done == j.places.size())
        propose(now, j, job_change::done, result, out);
    else
        propose(now, j, job_change::stopped,
                clean ? "all members kept a checkpoint"
                      : "not all members kept a checkpoint",
                out, {}, clean && done == 0);
}

void region_owner::drive_job(milliseconds now, cluster_state const& state,
                             job const& j, actions& out)
{
    if (j.state == job_state::placed)
        drive_placed(now, j, out);
    else if (j.state == job_state::running)
        drive_running(now, j, out);
    else
        drive_stopping(now, state, j, out);
}

/// Running jobs are looked at when a report has changed, and at sweeps.
void region_owner::drive_jobs(milliseconds now, cluster_state const& state,
                              bool sweep, actions& out)
{
    for (auto const& id : state.ledger.active())
    {
        auto const& j = state.jobs.at(id);
        bool const calm = !sweep && j.state == job_state::running &&
                          dirty_jobs_.count(id) == 0;
        if (j.region == region_ && !calm)
            drive_job(now, state, j, out);
    }
    dirty_jobs_.clear();
}

void region_owner::drive_dirty_jobs(milliseconds now,
                                    cluster_state const& state, actions& out)
{
    for (auto const& id : std::exchange(dirty_jobs_, {}))
    {
        auto const j = state.jobs.find(id);
        if (j != state.jobs.end() && holds_places(j->second) &&
            j->second.region == region_)
            drive_job(now, state, j->second, out);
    }
}

} // namespace jasminetrack::core
