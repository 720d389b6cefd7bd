#include <jasminetrack/tasks/dispatcher.hpp>
#include <jasminetrack/tasks/fencing.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{

worker_view& dispatcher::find_or_add_worker(std::string const& id)
{
    auto const [at, is_new] = workers_.try_emplace(id);
    if (is_new)
        at->second.token = next_view_token_;
    return at->second;
}

/// The renewal to the earlier process may take seconds to fail, and that to the
/// new one ends the time in which late orders are carried out there.
void dispatcher::raise_token(milliseconds now, worker_view& w)
{
    ++w.token;
    if (w.token >= next_epoch(token_))
    {
        deposed_ = true;
        log_decision("dispatcher.tokens_used_up", "", "worker=" + w.info.id);
    }
    w.renewal_sent = false;
    renewals_.set(w.info.id, now);
}

void dispatcher::accept_token(milliseconds now, worker_view& w)
{
    w.accepted_token = w.token;
    changed_ = true;
    std::int64_t refused = 0;
    for (auto& [run, o] : w.hosted_runs)
    {
        auto const until = std::exchange(o.late_start_until, 0);
        if (until == 0)
            continue;
        ++refused;
        auto const at = active_.find(o.unit);
        auto const index = at == active_.end()
                               ? std::nullopt
                               : member_index(o.unit, at->second, run);
        if (!index)
            continue;
        detail::drop_unanswered(at->second.members[*index]);
        if (until > now && is_placed_again(o.unit))
            note_late_start(o.unit, *index, until);
    }
    if (w.has_restarted())
        log_decision(
            "worker.fenced", "",
            "worker=" + w.info.id + " token=" + std::to_string(w.token) +
                " incarnation=" + std::to_string(w.info.incarnation) +
                " late_starts=" + std::to_string(refused) +
                " clock_ms=" + std::to_string(w.clock_ms_) + " lease_ms=" +
                std::to_string(std::max(w.lease_until_ - w.clock_ms_,
                                        late_lease_end(w) - now)));
}

void dispatcher::note_late_start(unit_ref const& ref, std::size_t index,
                                 milliseconds until)
{
    auto& late = find_job(ref.job)->late_starts[ref];
    late.places.clear();
    for (auto const& m : active_.at(ref).members)
        late.places.push_back(m.worker);
    auto& end = late.until[index];
    end = std::max(end, until);
}

/// The earlier dispatcher sent them before the claim of this one.
void dispatcher::adopt_late_starts(job_entry& e, unit_ref const& ref,
                                   unit const& u) const
{
    auto& late = e.late_starts[ref];
    late.places = u.places;
    for (std::size_t i = 0; i < u.places.size(); ++i)
        late.until[i] = created_at_ + detail::late_order_ms;
}

void dispatcher::drop_late_starts(job_entry& e, unit_ref const& ref)
{
    if (e.late_starts.erase(ref) == 0)
        return;
    e.progress.units.at(ref.unit).places.clear();
    mark_dirty(ref.job);
}

milliseconds dispatcher::late_start_end(unit_ref const& ref, std::size_t index,
                                        member const& m) const
{
    auto const end = detail::late_start_end(m);
    auto const& all = jobs_.at(ref.job).late_starts;
    auto const at = all.find(ref);
    if (at == all.end() || index >= at->second.places.size() ||
        at->second.places[index] != m.worker)
        return end;
    auto const until = at->second.until.find(index);
    return until == at->second.until.end() ? end : std::max(end, until->second);
}

/// From `until` on no start can arrive, and an answer to a renewal sent since
/// shows whether one has. Work must not wait for a worker that leaves or has
/// left the list, as it may not return.
bool dispatcher::may_start_late(milliseconds now, std::string const& worker,
                                milliseconds until) const
{
    auto const at = workers_.find(worker);
    if (at == workers_.end())
        return false;
    auto const& w = at->second;
    bool const leaves = w.info.draining || w.evacuated;
    bool const has_left = !w.listed && list_currency_.is_current(now);
    return !leaves && !has_left && w.answered_renewal_at < until &&
           now < until + longest_lease();
}

detail::late_sends const*
dispatcher::open_late_starts(milliseconds now, job_entry const& e,
                             unit_ref const& ref) const
{
    auto const at = e.late_starts.find(ref);
    if (at == e.late_starts.end())
        return nullptr;
    auto const& late = at->second;
    bool const any = std::any_of(
        late.until.begin(), late.until.end(),
        [&](auto const& entry) {
            return may_start_late(now, late.places[entry.first], entry.second);
        });
    return any ? &late : nullptr;
}

void dispatcher::keep_places(milliseconds now, job_entry& e,
                             unit_ref const& ref, unit_need& need)
{
    auto const* const late = open_late_starts(now, e, ref);
    if (!late)
    {
        drop_late_starts(e, ref);
        return;
    }
    std::set<std::string> const kept(late->places.begin(), late->places.end());
    for (auto const& [id, w] : workers_)
        if (w.info.service == e.service && kept.count(id) == 0)
            need.avoid.insert(id);
}

bool dispatcher::arrange_members(milliseconds now, job_entry const& e,
                                 unit_ref const& ref,
                                 std::vector<std::string>& places) const
{
    auto const* const late = open_late_starts(now, e, ref);
    if (!late)
        return true;
    if (late->places.size() != places.size())
        return true; // the record is not of this step
    auto const is_kept = [&](std::size_t index)
    { return late->until.count(index) != 0; };
    for (auto const& entry : late->until)
    {
        auto const index = entry.first;
        auto from = index;
        for (std::size_t i = 0; i < places.size(); ++i)
            if (places[from] != late->places[index] && !is_kept(i))
                from = i;
        if (places[from] != late->places[index])
            return false;
        std::swap(places[from], places[index]);
    }
    return true;
}

void dispatcher::drop_worker(milliseconds now, worker_view const& w)
{
    unknown_orders_at_ = now;
    forget_address(w);
    renewals_.erase(w.info.id);
    next_view_token_ = std::max(next_view_token_, w.token + 1);
}

bool dispatcher::is_deposing(std::string const& worker,
                             std::int64_t token) const
{
    auto const at = workers_.find(worker);
    return at == workers_.end() || token >= at->second.token;
}

} // namespace jasminetrack::tasks
