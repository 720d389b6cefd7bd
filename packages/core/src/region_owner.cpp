#include <jasminetrack/core/region_owner.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::core
{
namespace
{

constexpr std::size_t max_placements_per_round = 64;

} // namespace

region_owner::region_owner(std::string region, epoch_number epoch,
                           milliseconds now, timing_settings timing,
                           policy_settings policy)
    : region_(std::move(region)), epoch_(epoch), owned_since_ms_(now),
      timing_(timing), policy_(policy)
{
}

void region_owner::on_vm_list(std::vector<worker> const& listed)
{
    std::map<std::string, worker> next;
    for (auto const& w : listed)
        if (w.region == region_)
            next[w.name] = w;
    if (next == listed_)
        return;
    listed_ = std::move(next);
    listed_contacts_.clear();
    for (auto const& [name, w] : listed_)
        listed_contacts_.emplace_back(&w, &contacts_[name]);
    workers_dirty_ = true;
}

void region_owner::on_report(milliseconds now,
                             worker_report_event const& report)
{
    auto const found = contacts_.find(report.worker);
    if (found == contacts_.end())
        return;
    auto& c = found->second;
    if (report.sequence != c.sequence)
        return;
    if (c.heard_ms == 0 || c.unresponsive_since_ms >= 0)
        workers_dirty_ = places_dirty_ = true;
    c.heard_ms = now;
    c.in_flight_since_ms = -1;
    c.unresponsive_since_ms = -1;
    if (report.refused)
        return;
    if (report.resend)
    {
        c.full_order_acknowledged = false;
        c.sent_once = false;
        return;
    }
    if (report.sequence == c.full_order_sequence)
        c.full_order_acknowledged = true;
    if (report.same)
        return;
    c.known = digest_of(report.tasks);
    std::map<std::string, task_status> reported;
    for (auto const& status : report.tasks)
        reported[status.task] = status;
    if (reported == c.reported)
        return;
    c.reported = std::move(reported);
    c.unsettled = is_unsettled(c, c.last_tasks);
    for (auto const& status : report.tasks)
        dirty_jobs_.insert(status.task.substr(0, status.task.find('.')));
}

void region_owner::on_worker_timeout(milliseconds now,
                                     std::string const& worker_name)
{
    workers_dirty_ = places_dirty_ = true;
    auto& c = contacts_[worker_name];
    if (c.unresponsive_since_ms < 0)
        c.unresponsive_since_ms =
            c.in_flight_since_ms >= 0 ? c.in_flight_since_ms : now;
    c.in_flight_since_ms = -1;
    c.last_tasks.clear();
    c.full_order_acknowledged = false;
    c.sent_ms = now;
}

void region_owner::on_record_rejected(milliseconds now, record const& body)
{
    auto const* place = std::get_if<place_record>(&body);
    auto const found =
        place == nullptr ? proposals_.end() : proposals_.find(place->job);
    if (found != proposals_.end())
    {
        found->second.proposed_ms =
            now - timing_.retry_interval_ms + timing_.settle_interval_ms;
        placement_retry_ms_ = now + timing_.settle_interval_ms;
    }
}

bool region_owner::is_unresponsive(std::string const& worker_name) const
{
    auto const found = contacts_.find(worker_name);
    return found != contacts_.end() && found->second.unresponsive_since_ms >= 0;
}

bool region_owner::is_lost(milliseconds now,
                           std::string const& worker_name) const
{
    auto const found = contacts_.find(worker_name);
    if (found == contacts_.end() || found->second.unresponsive_since_ms < 0)
        return false;
    auto const last = std::max(found->second.heard_ms, owned_since_ms_);
    return now - last > timing_.task_lease_ms + timing_.owner_lease_ms +
                            timing_.retry_interval_ms;
}

std::set<std::string> region_owner::avoided_workers(milliseconds now) const
{
    std::set<std::string> avoided;
    for (auto const& [name, c] : contacts_)
    {
        bool const overdue =
            c.in_flight_since_ms >= 0 &&
            now - c.in_flight_since_ms > timing_.retry_interval_ms;
        if (c.unresponsive_since_ms >= 0 || overdue)
            avoided.insert(name);
    }
    for (auto const& [name, until] : avoid_until_ms_)
        if (now < until)
            avoided.insert(name);
    return avoided;
}

void region_owner::erase_expired(milliseconds now, cluster_state const& state)
{
    std::erase_if(placed_since_ms_,
                  [&](auto const& entry)
                  {
                      auto const j = state.jobs.find(entry.first.first);
                      return j == state.jobs.end() ||
                             j->second.state != job_state::placed ||
                             j->second.attempt != entry.first.second;
                  });
    std::erase_if(proposals_,
                  [&](auto const& entry) {
                      return now - entry.second.proposed_ms >
                             2 * timing_.retry_interval_ms;
                  });
}

bool region_owner::is_placement_due(milliseconds now,
                                    cluster_state const& state,
                                    bool full_pass) const
{
    return full_pass || places_dirty_ ||
           state.ledger.revision() != placed_revision_ ||
           (placement_retry_ms_ >= 0 && now >= placement_retry_ms_);
}

void region_owner::place_jobs(milliseconds now, cluster_state const& state,
                              actions& out)
{
    bool const outstanding =
        std::any_of(proposals_.begin(), proposals_.end(),
                    [&](auto const& entry)
                    {
                        auto const& [id, p] = entry;
                        auto const j = state.jobs.find(id);
                        return p.change < 0 && j != state.jobs.end() &&
                               j->second.attempt == p.attempt &&
                               j->second.state == job_state::waiting &&
                               now - p.proposed_ms < timing_.retry_interval_ms;
                    });
    if (outstanding)
        return;
    places_dirty_ = false;
    placement_retry_ms_ = -1;
    placed_revision_ = state.ledger.revision();
    auto const order = queue_order(state, region_, policy_);
    if (order.empty())
        return;
    placement_round round(state, policy_, region_, avoided_workers(now));
    std::size_t placed = 0;
    for (auto const* j : order)
    {
        auto decision = round.decide(*j);
        if (!decision)
            continue;
        decision->epoch = epoch_;
        proposals_[j->id] = {j->attempt, -1, now};
        out.push_back(append_action{std::move(*decision)});
        if (++placed == max_placements_per_round)
            return;
    }
}

actions region_owner::step(milliseconds now, cluster_state const& state,
                           bool fresh, bool may_renew)
{
    constexpr milliseconds full_pass_interval_ms = 1000;
    actions out;
    bool const full_pass = last_full_pass_ms_ < 0 ||
                           now - last_full_pass_ms_ >= full_pass_interval_ms;
    if (full_pass)
    {
        last_full_pass_ms_ = now;
        erase_expired(now, state);
    }
    if (fresh)
    {
        if (full_pass || workers_dirty_)
            propose_worker_changes(now, state, out);
        workers_dirty_ = false;
        reconcile_jobs(now, state, full_pass, out);
        if (is_placement_due(now, state, full_pass))
            place_jobs(now, state, out);
    }
    if (may_renew)
        send_orders(now, state, full_pass, out);
    return out;
}

actions region_owner::step_worker(milliseconds now, cluster_state const& state,
                                  bool fresh, bool may_renew,
                                  std::string const& worker_name)
{
    actions out;
    if (fresh && workers_dirty_)
        out = step(now, state, fresh, may_renew);
    else if (fresh)
        reconcile_dirty_jobs(now, state, out);
    // The desired tasks may have changed while the order was in flight.
    auto const listed = listed_.find(worker_name);
    if (may_renew && listed != listed_.end())
        send_order_if_due(now, state, listed->second, contacts_[worker_name],
                          out);
    return out;
}

} // namespace jasminetrack::core
