#include <jasminetrack/core/region_owner.hpp>

#include "task_phases.hpp"

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

using detail::is_over;

constexpr milliseconds run_parts = 5; ///< an end is seen within a fifth

desired_phase wish_for(job_state state) noexcept
{
    if (state == job_state::placed)
        return desired_phase::prepared;
    return state == job_state::running ? desired_phase::running
                                       : desired_phase::stopped;
}

/// Whether a task still has to reach what is wanted of it.
bool is_settled(desired_phase wish, task_phase phase) noexcept
{
    if (wish == desired_phase::prepared)
        return phase == task_phase::prepared || phase == task_phase::failed;
    return wish == desired_phase::running ? phase != task_phase::prepared
                                          : is_over(phase);
}

} // namespace

std::uint64_t digest_of(std::vector<task_status> const& statuses) noexcept
{
    constexpr std::uint64_t start = 1469598103934665603ULL; // FNV-1a
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t h = start;
    auto const mix = [&](unsigned char c) { h = (h ^ c) * prime; };
    for (auto const& s : statuses)
    {
        for (unsigned char c : s.task)
            mix(c);
        mix(static_cast<unsigned char>(s.phase));
        for (unsigned char c : s.detail)
            mix(c);
        mix(0);
    }
    return h;
}

std::string task_name(job const& j, std::size_t member)
{
    return j.id + "." + std::to_string(j.attempt) + "." +
           std::to_string(member);
}

std::optional<worker> region_owner::changed_worker(milliseconds now,
                                                   cluster_state const& state,
                                                   worker const& listed)
{
    worker next = listed;
    auto const known = state.workers.find(listed.name);
    if (known != state.workers.end() &&
        known->second.condition == worker_condition::quarantined &&
        next.condition == worker_condition::live)
    {
        auto const faults = state.faults.find(listed.name);
        bool const trial_due = faults == state.faults.end() ||
                               state.log_time - faults->second.quarantined_ms >
                                   timing_.quarantine_ms;
        if (!trial_due)
            next.condition = worker_condition::quarantined;
    }
    auto const asked = contacts_.find(listed.name);
    bool const answers = asked != contacts_.end() &&
                         asked->second.heard_ms > 0 &&
                         asked->second.silent_since_ms < 0;
    bool const was_lost = known != state.workers.end() &&
                          known->second.condition == worker_condition::lost;
    if (is_lost(now, listed.name) || (was_lost && !answers))
        next.condition = worker_condition::lost;
    if (known == state.workers.end() && !answers)
        return std::nullopt;
    if (known != state.workers.end() && known->second == next)
        return std::nullopt;
    return next;
}

void region_owner::keep_workers(milliseconds now, cluster_state const& state,
                                actions& out)
{
    std::vector<worker> changed;
    for (auto const& [name, listed] : listed_)
        if (auto w = changed_worker(now, state, listed))
            changed.push_back(std::move(*w));
    for (auto const& [name, known] : state.workers)
    {
        bool const gone = known.region == region_ &&
                          known.condition != worker_condition::lost &&
                          !listed_.empty() && listed_.count(name) == 0 &&
                          is_lost(now, name);
        if (!gone)
            continue;
        worker lost = known;
        lost.condition = worker_condition::lost;
        changed.push_back(std::move(lost));
    }
    bool const told = changed == workers_told_ && workers_proposed_ >= 0 &&
                      now - workers_proposed_ < timing_.retry_interval_ms;
    if (changed.empty() || told)
        return;
    workers_told_ = changed;
    workers_proposed_ = now;
    out.push_back(
        append_action{workers_record{region_, epoch_, std::move(changed)}});
}

std::vector<task_order> region_owner::wanted_tasks(cluster_state const& state,
                                                   worker const& w) const
{
    std::vector<task_order> tasks;
    for (auto const& h : state.ledger.holders(w.name))
    {
        auto const& j = state.jobs.at(h.job);
        for (std::size_t m = 0; m < j.places.size(); ++m)
            if (j.places[m].worker == w.name)
                tasks.push_back({task_name(j, m), wish_for(j.state),
                                 j.places[m], j.payload,
                                 j.calm_stop ? timing_.graceful_stop_ms
                                             : timing_.grace_ms});
    }
    return tasks;
}

bool region_owner::is_unsettled(contact const& c,
                                std::vector<task_order> const& tasks)
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [&](task_order const& t)
                       {
                           auto const found = c.reported.find(t.task);
                           return found == c.reported.end() ||
                                  !is_settled(t.wish, found->second.phase);
                       });
}

milliseconds region_owner::interval(milliseconds now,
                                    contact const& c) const noexcept
{
    if (c.silent_since_ms >= 0)
        return timing_.retry_interval_ms;
    if (c.last_tasks.empty())
        return timing_.idle_poll_interval_ms;
    if (c.unsettled)
        return timing_.settle_interval_ms;
    return std::clamp((now - c.settled_ms) / run_parts,
                      timing_.settle_interval_ms, timing_.renew_interval_ms);
}

void region_owner::order_worker(milliseconds now, cluster_state const& state,
                                worker const& w, contact& c, actions& out)
{
    if (c.asked_ms >= 0)
        return;
    bool const due = !c.sent_once || now - c.sent_ms >= interval(now, c);
    auto const revision = state.ledger.revision_of(w.name);
    bool const may_differ = c.silent_since_ms < 0 && c.revision != revision;
    if (!due && !may_differ)
        return;
    auto tasks = wanted_tasks(state, w);
    c.revision = revision;
    bool const differs = tasks != c.last_tasks;
    if (!due && !differs)
        return;
    c.sent_once = true;
    c.sent_ms = now;
    c.asked_ms = now;
    c.sequence = ++sequence_;
    if (differs)
        c.settled_ms = now;
    c.last_tasks = tasks;
    c.unsettled = is_unsettled(c, tasks);
    worker_order order;
    order.region = region_;
    order.epoch = epoch_;
    order.sequence = c.sequence;
    order.lease_ms = timing_.task_lease_ms;
    order.known = c.known;
    if (!differs && c.full_taken)
        order.same_as = c.full_sequence;
    else
    {
        c.full_sequence = c.sequence;
        c.full_taken = false;
        order.tasks = std::move(tasks);
    }
    out.push_back(order_action{w.name, w.address, std::move(order)});
}

void region_owner::send_orders(milliseconds now, cluster_state const& state,
                               bool sweep, actions& out)
{
    bool const changed = state.ledger.revision() != ordered_revision_;
    ordered_revision_ = state.ledger.revision();
    for (auto const& [w, c] : links_)
    {
        bool const due = !c->sent_once || now - c->sent_ms >= interval(now, *c);
        if (changed || due)
            order_worker(now, state, *w, *c, out);
    }
    if (!sweep)
        return;
    for (auto const& [name, w] : state.workers)
        if (w.region == region_ && listed_.count(name) == 0 &&
            w.condition != worker_condition::lost)
            order_worker(now, state, w, contacts_[name], out);
}

} // namespace jasminetrack::core
