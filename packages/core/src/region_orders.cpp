#include <jasminetrack/core/region_owner.hpp>

#include "task_phases.hpp"

#include <algorithm>

namespace jasminetrack::core
{
namespace
{

using detail::is_over;

/// An order is sent again after a fifth of the time since its tasks changed,
/// so that the end of a run is detected within a fifth of its duration.
constexpr milliseconds poll_divisor = 5;

desired_phase desired_phase_of(job_state state) noexcept
{
    if (state == job_state::placed)
        return desired_phase::prepared;
    return state == job_state::running ? desired_phase::running
                                       : desired_phase::stopped;
}

/// Whether a task has reached its desired phase or cannot reach it any more.
bool is_settled(desired_phase desired, task_phase phase) noexcept
{
    if (desired == desired_phase::prepared)
        return phase == task_phase::prepared || phase == task_phase::failed;
    return desired == desired_phase::running ? phase != task_phase::prepared
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

std::optional<worker>
region_owner::next_worker_state(milliseconds now, cluster_state const& state,
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
    auto const c = contacts_.find(listed.name);
    bool const answers = c != contacts_.end() && c->second.heard_ms > 0 &&
                         c->second.unresponsive_since_ms < 0;
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

void region_owner::propose_worker_changes(milliseconds now,
                                          cluster_state const& state,
                                          actions& out)
{
    std::vector<worker> changed;
    for (auto const& [name, listed] : listed_)
        if (auto w = next_worker_state(now, state, listed))
            changed.push_back(std::move(*w));
    for (auto const& [name, known] : state.workers)
    {
        bool const to_mark_lost =
            known.region == region_ &&
            known.condition != worker_condition::lost && !listed_.empty() &&
            listed_.count(name) == 0 && is_lost(now, name);
        if (!to_mark_lost)
            continue;
        worker lost = known;
        lost.condition = worker_condition::lost;
        changed.push_back(std::move(lost));
    }
    bool const proposed_recently =
        changed == proposed_workers_ && workers_proposed_ms_ >= 0 &&
        now - workers_proposed_ms_ < timing_.retry_interval_ms;
    if (changed.empty() || proposed_recently)
        return;
    proposed_workers_ = changed;
    workers_proposed_ms_ = now;
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
                tasks.push_back({task_name(j, m), desired_phase_of(j.state),
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
    if (c.unresponsive_since_ms >= 0)
        return timing_.retry_interval_ms;
    if (c.last_tasks.empty())
        return timing_.idle_poll_interval_ms;
    if (c.unsettled)
        return timing_.settle_interval_ms;
    return std::clamp((now - c.tasks_changed_ms) / poll_divisor,
                      timing_.settle_interval_ms, timing_.renew_interval_ms);
}

/// Orders may reach a worker whose answers are lost. They must not move the end
/// of its leases, after which it counts as lost.
milliseconds region_owner::grantable_lease(milliseconds now,
                                           contact const& c) const noexcept
{
    if (c.unresponsive_since_ms < 0)
        return timing_.task_lease_ms;
    auto const passed = now - c.unresponsive_since_ms;
    return std::max<milliseconds>(0, timing_.task_lease_ms - passed);
}

void region_owner::send_order_if_due(milliseconds now,
                                     cluster_state const& state,
                                     worker const& w, contact& c, actions& out)
{
    if (c.in_flight_since_ms >= 0)
        return;
    bool const due = !c.sent_once || now - c.sent_ms >= interval(now, c);
    auto const revision = state.ledger.revision_of(w.name);
    bool const may_differ =
        c.unresponsive_since_ms < 0 && c.revision != revision;
    if (!due && !may_differ)
        return;
    auto tasks = wanted_tasks(state, w);
    c.revision = revision;
    bool const differs = tasks != c.last_tasks;
    if (!due && !differs)
        return;
    c.sent_once = true;
    c.sent_ms = now;
    c.in_flight_since_ms = now;
    c.sequence = ++sequence_;
    if (differs)
        c.tasks_changed_ms = now;
    c.last_tasks = tasks;
    c.unsettled = is_unsettled(c, tasks);
    worker_order order;
    order.region = region_;
    order.epoch = epoch_;
    order.sequence = c.sequence;
    order.lease_ms = grantable_lease(now, c);
    order.known = c.known;
    if (!differs && c.full_order_acknowledged)
        order.same_as = c.full_order_sequence;
    else
    {
        c.full_order_sequence = c.sequence;
        c.full_order_acknowledged = false;
        order.tasks = std::move(tasks);
    }
    out.push_back(order_action{w.name, w.address, std::move(order)});
}

void region_owner::send_orders(milliseconds now, cluster_state const& state,
                               bool full_pass, actions& out)
{
    bool const changed = state.ledger.revision() != ordered_revision_;
    ordered_revision_ = state.ledger.revision();
    for (auto const& [w, c] : listed_contacts_)
    {
        bool const due = !c->sent_once || now - c->sent_ms >= interval(now, *c);
        if (changed || due)
            send_order_if_due(now, state, *w, *c, out);
    }
    if (!full_pass)
        return;
    for (auto const& [name, w] : state.workers)
        if (w.region == region_ && listed_.count(name) == 0 &&
            w.condition != worker_condition::lost)
            send_order_if_due(now, state, w, contacts_[name], out);
}

} // namespace jasminetrack::core
