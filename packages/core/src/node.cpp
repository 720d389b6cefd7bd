#include <jasminetrack/core/node.hpp>

#include <algorithm>
#include <limits>

namespace jasminetrack::core
{
namespace
{

/// A longer gap between two events means that the process was paused.
constexpr milliseconds pause_threshold_ms = 1000;
/// A peer must be up this long before a region is handed over to it.
constexpr milliseconds handover_stability_ms = 10'000;
/// Age of the log if it was never read to its end.
constexpr milliseconds log_never_read_ms =
    std::numeric_limits<milliseconds>::max() / 4;

/// \returns the FNV-1a hash; std::hash may differ between nodes, and they must
/// compute the same ranks.
std::uint64_t hash_of(std::string const& text) noexcept
{
    std::uint64_t h = 1469598103934665603ULL;
    for (unsigned char c : text)
        h = (h ^ c) * 1099511628211ULL;
    return h;
}

} // namespace

node::node(node_settings settings) : settings_(std::move(settings)) {}

void node::restore(cluster_state state)
{
    state_ = std::move(state);
    rebuild_derived(state_);
}

milliseconds node::log_age(milliseconds now) const noexcept
{
    return log_caught_up_ms_ < 0 ? log_never_read_ms : now - log_caught_up_ms_;
}

bool node::is_fresh(milliseconds now) const noexcept
{
    return log_caught_up_ms_ >= resumed_ms_ &&
           log_age(now) <= settings_.timing.owner_lease_ms;
}

/// Without a recent read of the log another node may have claimed a region,
/// unless each of them says that it cannot read the log either. A node that is
/// not heard may be on the other side of a cut, with the log.
bool node::is_current(milliseconds now) const
{
    if (log_caught_up_ms_ < 0 || log_caught_up_ms_ < resumed_ms_)
        return false;
    if (is_fresh(now))
        return true;
    auto const others = other_nodes();
    return std::all_of(others.begin(), others.end(),
                       [&](std::string const& name)
                       { return is_without_log(now, name); });
}

std::set<std::string> node::other_nodes() const
{
    auto others = listed_entries_;
    if (others.empty())
        for (auto const& [name, p] : peers_)
            others.insert(name);
    others.erase(settings_.name);
    return others;
}

bool node::is_without_log(milliseconds now, std::string const& name) const
{
    auto const found = peers_.find(name);
    return found != peers_.end() &&
           now - found->second.heard_ms <= settings_.timing.peer_timeout_ms &&
           found->second.log_age_ms > settings_.timing.owner_lease_ms;
}

bool node::seems_alive(milliseconds now, std::string const& incarnation) const
{
    if (incarnation == settings_.incarnation)
        return true;
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](auto const& entry)
                       {
                           return entry.second.incarnation == incarnation &&
                                  now - entry.second.heard_ms <=
                                      settings_.timing.peer_timeout_ms;
                       });
}

actions node::step(milliseconds now, event const& e)
{
    actions out;
    if (started_ms_ < 0)
        started_ms_ = now;
    if (last_step_ms_ >= 0 && now - last_step_ms_ > pause_threshold_ms)
        resumed_ms_ = now;
    last_step_ms_ = now;
    std::visit([&](auto const& body) { handle(now, body, out); }, e);
    return out;
}

void node::handle(milliseconds now, tick_event const&, actions& out)
{
    evaluate_claims(now, out);
    step_owners(now, out);
}

void node::handle(milliseconds now, log_entries_event const& e, actions& out)
{
    for (auto const& entry : e.entries)
    {
        if (entry.offset < state_.next)
            continue;
        if (entry.offset > state_.next)
            break;
        auto v = apply(state_, entry);
        if (!v.accepted && entry.writer == settings_.incarnation)
            for (auto& [region, owner] : owners_)
                owner.on_record_rejected(now, entry.body);
        out.push_back(record_applied_action{entry.offset, entry.writer,
                                            entry.sequence, std::move(v)});
    }
    update_owned_regions(now);
    step_owners(now, out);
}

void node::handle(milliseconds now, log_caught_up_event const& e, actions& out)
{
    if (e.end > state_.next)
        return;
    bool const was_fresh = is_fresh(now);
    log_caught_up_ms_ = std::max(log_caught_up_ms_, e.requested_ms);
    if (!was_fresh)
        step_owners(now, out);
}

void node::handle(milliseconds now, peer_event const& e, actions&)
{
    auto const known = peers_.find(e.node);
    bool const same =
        known != peers_.end() && known->second.incarnation == e.incarnation;
    auto const since = same ? known->second.since_ms : now;
    peers_[e.node] = {e.incarnation, e.region,     since,
                      now,           e.log_age_ms, e.draining};
}

void node::handle(milliseconds now, vm_list_event const& e, actions& out)
{
    listed_ = e.workers;
    listed_entries_ = e.entries;
    for (auto& [region, owner] : owners_)
        owner.on_vm_list(listed_);
    step_owners(now, out);
}

void node::handle(milliseconds now, worker_report_event const& e, actions& out)
{
    bool const fresh = is_fresh(now);
    bool const renew = is_current(now);
    for (auto& [region, owner] : owners_)
    {
        owner.on_report(now, e);
        auto more = owner.step_worker(now, state_, fresh, renew, e.worker);
        std::move(more.begin(), more.end(), std::back_inserter(out));
    }
}

void node::handle(milliseconds now, worker_timeout_event const& e, actions& out)
{
    for (auto& [region, owner] : owners_)
        owner.on_worker_timeout(now, e.worker);
    step_owners(now, out);
}

void node::handle(milliseconds now, drain_event const&, actions& out)
{
    draining_ = true;
    for (auto const& [region, owner] : owners_)
        release_region(now, region, out);
}

void node::release_region(milliseconds now, std::string const& region,
                          actions& out)
{
    claim_proposed_ms_[region] = now;
    out.push_back(append_action{
        claim_record{region, "", "", state_.owners.at(region).epoch}});
}

void node::update_owned_regions(milliseconds now)
{
    std::erase_if(owners_,
                  [&](auto const& entry)
                  {
                      auto const& o = state_.owners.at(entry.first);
                      return o.epoch != entry.second.epoch();
                  });
    for (auto const& [region, o] : state_.owners)
    {
        if (o.incarnation != settings_.incarnation ||
            owners_.count(region) != 0)
            continue;
        auto const at = owners_.try_emplace(region, region, o.epoch, now,
                                            settings_.timing, settings_.policy);
        at.first->second.on_vm_list(listed_);
    }
}

bool node::is_alive(milliseconds now, ownership const& owner) const
{
    if (owner.holder.empty())
        return false;
    if (owner.holder == settings_.name)
        return owner.incarnation == settings_.incarnation;
    auto const found = peers_.find(owner.holder);
    if (found == peers_.end() || found->second.incarnation != owner.incarnation)
        return false;
    return now - found->second.heard_ms <= settings_.timing.peer_timeout_ms &&
           found->second.log_age_ms <= settings_.timing.owner_lease_ms;
}

bool node::is_eligible(milliseconds now, peer_state const& p) const
{
    return now - p.heard_ms <= settings_.timing.peer_timeout_ms &&
           !p.draining && p.log_age_ms <= settings_.timing.owner_lease_ms;
}

bool node::should_hand_over(milliseconds now, std::string const& region) const
{
    if (draining_)
        return true;
    if (region == settings_.region)
        return false;
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](auto const& entry)
                       {
                           auto const& p = entry.second;
                           return p.region == region && is_eligible(now, p) &&
                                  now - p.since_ms > handover_stability_ms;
                       });
}

std::size_t node::rank_for(milliseconds now, std::string const& region) const
{
    auto const key = [&](std::string const& name, std::string const& at)
    { return std::pair(at == region ? 0 : 1, hash_of(region + "/" + name)); };
    auto const own = key(settings_.name, settings_.region);
    std::size_t before = 0;
    for (auto const& [name, p] : peers_)
    {
        if (is_eligible(now, p) && key(name, p.region) < own)
            ++before;
    }
    return before;
}

void node::evaluate_claims(milliseconds now, actions& out)
{
    if (!is_fresh(now) ||
        now - started_ms_ < 2 * settings_.timing.peer_timeout_ms)
        return;
    std::set<std::string> regions;
    for (auto const& w : listed_)
        regions.insert(w.region);
    for (auto const& [region, owner] : state_.owners)
        regions.insert(region);
    for (auto const& region : regions)
        evaluate_claim(now, region, out);
}

void node::evaluate_claim(milliseconds now, std::string const& region,
                          actions& out)
{
    auto const found = state_.owners.find(region);
    ownership const owner =
        found == state_.owners.end() ? ownership{} : found->second;
    bool const owned_here = owner.incarnation == settings_.incarnation;
    auto const last = claim_proposed_ms_.find(region);
    bool const proposed_recently =
        last != claim_proposed_ms_.end() &&
        now - last->second < settings_.timing.retry_interval_ms;
    if (owned_here && !proposed_recently && should_hand_over(now, region))
        release_region(now, region, out);
    if (owned_here || is_alive(now, owner))
    {
        vacant_since_ms_.erase(region);
        return;
    }
    auto const since = vacant_since_ms_.try_emplace(region, now).first->second;
    // The next rank claims later, so that usually one node claims.
    constexpr milliseconds delay_per_rank_ms = 400;
    auto wait =
        static_cast<milliseconds>(rank_for(now, region)) * delay_per_rank_ms;
    if (seems_alive(now, owner.incarnation))
        // The owner's next heartbeat may show that it reads the log again.
        wait += settings_.timing.peer_timeout_ms;
    if (draining_ || proposed_recently || now - since < wait)
        return;
    claim_proposed_ms_[region] = now;
    out.push_back(append_action{claim_record{
        region, settings_.name, settings_.incarnation, owner.epoch}});
}

void node::step_owners(milliseconds now, actions& out)
{
    bool const fresh = is_fresh(now);
    bool const renew = is_current(now);
    for (auto& [region, owner] : owners_)
    {
        auto more = owner.step(now, state_, fresh, renew);
        std::move(more.begin(), more.end(), std::back_inserter(out));
    }
}

} // namespace jasminetrack::core
