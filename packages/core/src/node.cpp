#include <jasminetrack/core/node.hpp>

#include <algorithm>
#include <limits>

namespace jasminetrack::core
{
namespace
{

constexpr milliseconds pause_ms = 1000;    ///< a longer gap is a paused process
constexpr milliseconds steady_ms = 10'000; ///< before a region is handed on
constexpr milliseconds never = std::numeric_limits<milliseconds>::max() / 4;

/// FNV-1a, so that all nodes rank alike.
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
    return contact_ms_ < 0 ? never : now - contact_ms_;
}

bool node::is_fresh(milliseconds now) const noexcept
{
    return contact_ms_ >= resumed_ms_ &&
           log_age(now) <= settings_.timing.owner_lease_ms;
}

/// Without fresh contact a claim by another cannot be ruled out, unless
/// every peer that answers has lost the log as well.
bool node::is_current(milliseconds now) const
{
    if (contact_ms_ < 0 || contact_ms_ < resumed_ms_)
        return false;
    if (is_fresh(now))
        return true;
    bool heard = peers_.empty();
    for (auto const& [name, p] : peers_)
    {
        if (now - p.heard_ms > settings_.timing.peer_timeout_ms)
            continue;
        heard = true;
        if (p.log_age_ms <= settings_.timing.owner_lease_ms)
            return false;
    }
    return heard;
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
    if (last_step_ms_ >= 0 && now - last_step_ms_ > pause_ms)
        resumed_ms_ = now;
    last_step_ms_ = now;
    std::visit([&](auto const& body) { take(now, body, out); }, e);
    return out;
}

void node::take(milliseconds now, tick_event const&, actions& out)
{
    consider_claims(now, out);
    act(now, out);
}

void node::take(milliseconds now, log_entries_event const& e, actions& out)
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
    follow_ownership(now);
    act(now, out);
}

void node::take(milliseconds now, log_caught_up_event const& e, actions& out)
{
    if (e.end > state_.next)
        return;
    bool const was_fresh = is_fresh(now);
    contact_ms_ = std::max(contact_ms_, e.requested_ms);
    if (!was_fresh)
        act(now, out);
}

void node::take(milliseconds now, peer_event const& e, actions&)
{
    auto const known = peers_.find(e.node);
    bool const same =
        known != peers_.end() && known->second.incarnation == e.incarnation;
    auto const since = same ? known->second.since_ms : now;
    peers_[e.node] = {e.incarnation, e.region,     since,
                      now,           e.log_age_ms, e.draining};
}

void node::take(milliseconds now, vm_list_event const& e, actions& out)
{
    listed_ = e.workers;
    for (auto& [region, owner] : owners_)
        owner.on_vm_list(listed_);
    act(now, out);
}

void node::take(milliseconds now, worker_report_event const& e, actions& out)
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

void node::take(milliseconds now, worker_timeout_event const& e, actions& out)
{
    for (auto& [region, owner] : owners_)
        owner.on_worker_timeout(now, e.worker);
    act(now, out);
}

void node::take(milliseconds now, drain_event const&, actions& out)
{
    draining_ = true;
    for (auto const& [region, owner] : owners_)
        give_up(now, region, out);
}

void node::give_up(milliseconds now, std::string const& region, actions& out)
{
    claimed_at_[region] = now;
    out.push_back(append_action{
        claim_record{region, "", "", state_.owners.at(region).epoch}});
}

void node::follow_ownership(milliseconds now)
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

bool node::is_able(milliseconds now, peer_state const& p) const
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
                           return p.region == region && is_able(now, p) &&
                                  now - p.since_ms > steady_ms;
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
        if (is_able(now, p) && key(name, p.region) < own)
            ++before;
    }
    return before;
}

void node::consider_claims(milliseconds now, actions& out)
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
        consider_claim(now, region, out);
}

void node::consider_claim(milliseconds now, std::string const& region,
                          actions& out)
{
    auto const found = state_.owners.find(region);
    ownership const owner =
        found == state_.owners.end() ? ownership{} : found->second;
    bool const mine = owner.incarnation == settings_.incarnation;
    auto const last = claimed_at_.find(region);
    bool const asked = last != claimed_at_.end() &&
                       now - last->second < settings_.timing.retry_interval_ms;
    if (mine && !asked && should_hand_over(now, region))
        give_up(now, region, out);
    if (mine || is_alive(now, owner))
    {
        vacant_since_.erase(region);
        return;
    }
    auto const since = vacant_since_.try_emplace(region, now).first->second;
    constexpr milliseconds step_ms = 400;
    auto wait = static_cast<milliseconds>(rank_for(now, region)) * step_ms;
    if (seems_alive(now, owner.incarnation))
        wait += settings_.timing.peer_timeout_ms; // its next word may be better
    if (draining_ || asked || now - since < wait)
        return;
    claimed_at_[region] = now;
    out.push_back(append_action{claim_record{
        region, settings_.name, settings_.incarnation, owner.epoch}});
}

void node::act(milliseconds now, actions& out)
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
