#include <jasminetrack/core/region_owner.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::core
{
namespace
{

constexpr std::size_t most_placements_a_round = 64;

} // namespace

region_owner::region_owner(std::string region, epoch_number epoch,
                           milliseconds now, timing_settings timing,
                           policy_settings policy)
    : region_(std::move(region)), epoch_(epoch), since_(now), timing_(timing),
      policy_(policy)
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
    links_.clear();
    for (auto const& [name, w] : listed_)
        links_.emplace_back(&w, &contacts_[name]);
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
    if (c.heard_ms == 0 || c.silent_since_ms >= 0)
        workers_dirty_ = places_dirty_ = true;
    c.heard_ms = now;
    c.asked_ms = -1;
    c.silent_since_ms = -1;
    if (report.refused)
        return;
    if (report.resend)
    {
        c.full_taken = false;
        c.sent_once = false;
        return;
    }
    if (report.sequence == c.full_sequence)
        c.full_taken = true;
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
    if (c.silent_since_ms < 0)
        c.silent_since_ms = c.asked_ms >= 0 ? c.asked_ms : now;
    c.asked_ms = -1;
    c.last_tasks.clear();
    c.full_taken = false;
    c.sent_ms = now;
}

void region_owner::on_record_rejected(milliseconds now, record const& body)
{
    auto const* place = std::get_if<place_record>(&body);
    auto const found =
        place == nullptr ? proposals_.end() : proposals_.find(place->job);
    if (found != proposals_.end())
    {
        found->second.at =
            now - timing_.retry_interval_ms + timing_.settle_interval_ms;
        place_again_ms_ = now + timing_.settle_interval_ms;
    }
}

bool region_owner::is_silent(std::string const& worker_name) const
{
    auto const found = contacts_.find(worker_name);
    return found != contacts_.end() && found->second.silent_since_ms >= 0;
}

bool region_owner::is_lost(milliseconds now,
                           std::string const& worker_name) const
{
    auto const found = contacts_.find(worker_name);
    if (found == contacts_.end() || found->second.silent_since_ms < 0)
        return false;
    auto const last = std::max(found->second.heard_ms, since_);
    return now - last > timing_.task_lease_ms + timing_.owner_lease_ms +
                            timing_.retry_interval_ms;
}

std::set<std::string> region_owner::doubtful_workers(milliseconds now) const
{
    std::set<std::string> doubtful;
    for (auto const& [name, c] : contacts_)
    {
        bool const overdue =
            c.asked_ms >= 0 && now - c.asked_ms > timing_.retry_interval_ms;
        if (c.silent_since_ms >= 0 || overdue)
            doubtful.insert(name);
    }
    for (auto const& [name, until] : avoid_until_)
        if (now < until)
            doubtful.insert(name);
    return doubtful;
}

void region_owner::forget_old(milliseconds now, cluster_state const& state)
{
    std::erase_if(placed_since_,
                  [&](auto const& entry)
                  {
                      auto const j = state.jobs.find(entry.first.first);
                      return j == state.jobs.end() ||
                             j->second.state != job_state::placed ||
                             j->second.attempt != entry.first.second;
                  });
    std::erase_if(
        proposals_, [&](auto const& entry)
        { return now - entry.second.at > 2 * timing_.retry_interval_ms; });
}

bool region_owner::is_placement_due(milliseconds now,
                                    cluster_state const& state,
                                    bool sweep) const
{
    return sweep || places_dirty_ ||
           state.ledger.revision() != placed_revision_ ||
           (place_again_ms_ >= 0 && now >= place_again_ms_);
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
                               now - p.at < timing_.retry_interval_ms;
                    });
    if (outstanding)
        return;
    places_dirty_ = false;
    place_again_ms_ = -1;
    placed_revision_ = state.ledger.revision();
    auto const order = queue_order(state, region_, policy_);
    if (order.empty())
        return;
    placement_round round(state, policy_, region_, doubtful_workers(now));
    std::size_t placed = 0;
    for (auto const* j : order)
    {
        auto decision = round.decide(*j);
        if (!decision)
            continue;
        decision->epoch = epoch_;
        proposals_[j->id] = {j->attempt, -1, now};
        out.push_back(append_action{std::move(*decision)});
        if (++placed == most_placements_a_round)
            return;
    }
}

actions region_owner::step(milliseconds now, cluster_state const& state,
                           bool fresh, bool may_renew)
{
    constexpr milliseconds sweep_ms = 1000;
    actions out;
    bool const sweep = swept_ms_ < 0 || now - swept_ms_ >= sweep_ms;
    if (sweep)
    {
        swept_ms_ = now;
        forget_old(now, state);
    }
    if (fresh)
    {
        if (sweep || workers_dirty_)
            keep_workers(now, state, out);
        workers_dirty_ = false;
        drive_jobs(now, state, sweep, out);
        if (is_placement_due(now, state, sweep))
            place_jobs(now, state, out);
    }
    if (may_renew)
        send_orders(now, state, sweep, out);
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
        drive_dirty_jobs(now, state, out);
    // What was wanted of it may have changed while its order was under way.
    auto const listed = listed_.find(worker_name);
    if (may_renew && listed != listed_.end())
        order_worker(now, state, listed->second, contacts_[worker_name], out);
    return out;
}

} // namespace jasminetrack::core
