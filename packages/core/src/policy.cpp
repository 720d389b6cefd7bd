#include <jasminetrack/core/policy.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace jasminetrack::core
{
namespace
{

/// One job's place in the queue.
struct rank
{
    int draws = 0;
    double held = 0;
    double expected = 0;
    log_offset submitted = 0;

    friend auto operator<=>(rank const&, rank const&) = default;
};

double expected_run_ms(cluster_state const& s, job const& j)
{
    auto const found = s.history.find(j.job_class);
    return found == s.history.end()
               ? 0
               : static_cast<double>(found->second.mean_run_ms);
}

double held_per_weight(cluster_state const& s, std::string const& team_name)
{
    auto const found = s.config.teams.find(team_name);
    int const weight = found == s.config.teams.end() ? 1 : found->second.weight;
    return static_cast<double>(s.ledger.spare_held(team_name)) / weight;
}

/// \returns how many seats of the team are open that would hold the job.
std::size_t open_seats(cluster_state const& s, job const& j)
{
    std::size_t open = 0;
    for (auto it = s.seats.lower_bound(j.team + "#");
         it != s.seats.end() && it->second.team == j.team; ++it)
        open += it->second.region == j.region &&
                        covers(it->second.wanted, j.gang) &&
                        !s.ledger.is_in_use(it->first)
                    ? 1
                    : 0;
    return open;
}

rank rank_of(cluster_state const& s, job const& j,
             policy_settings const& settings)
{
    double const waited = static_cast<double>(s.log_time - j.submitted_ms);
    if (waited > static_cast<double>(settings.max_wait_ms))
        return {1, 0, 0, j.submitted};
    double const expected =
        settings.completion_weight * (expected_run_ms(s, j) - waited);
    return {2, held_per_weight(s, j.team), expected, j.submitted};
}

/// Work for which its team has an open seat leads, in order of arrival.
void lead_with_guaranteed(cluster_state const& s,
                          std::vector<std::pair<rank, job const*>>& ranked)
{
    std::vector<std::pair<rank, job const*>*> wanting;
    for (auto& entry : ranked)
        if (entry.second->draws_on == capacity_source::guarantee)
            wanting.push_back(&entry);
    std::sort(wanting.begin(), wanting.end(),
              [](auto const* a, auto const* b)
              { return a->second->submitted < b->second->submitted; });
    std::map<std::string, std::size_t> led;
    for (auto* entry : wanting)
    {
        auto const& j = *entry->second;
        if (led[j.team] >= open_seats(s, j))
            continue;
        ++led[j.team];
        entry->first = {0, 0, 0, j.submitted};
    }
}

std::unique_ptr<placement_policy> policy_for(policy_settings const& settings)
{
    if (settings.fragmentation_weight > 0)
        return std::make_unique<best_fit>();
    return std::make_unique<first_fit>();
}

} // namespace

std::vector<job const*> queue_order(cluster_state const& state,
                                    std::string const& region,
                                    policy_settings const& settings)
{
    std::vector<std::pair<rank, job const*>> ranked;
    for (auto const& id : state.ledger.waiting())
    {
        auto const& j = state.jobs.at(id);
        if (j.region == region)
            ranked.emplace_back(rank_of(state, j, settings), &j);
    }
    lead_with_guaranteed(state, ranked);
    std::sort(ranked.begin(), ranked.end());
    std::vector<job const*> order;
    order.reserve(ranked.size());
    for (auto const& [r, j] : ranked)
        order.push_back(j);
    return order;
}

/// Places with what they cost.
struct placement_round::choice
{
    assignment places;
    std::string seat;
    assignment seat_places;
    std::vector<job_id> victims;
    int stopped_accelerators = 0;
};

placement_round::placement_round(cluster_state const& state,
                                 policy_settings settings, std::string region,
                                 std::set<std::string> avoid)
    : state_(state), settings_(settings), region_(std::move(region)),
      policy_(policy_for(settings)), free_(state.ledger.free()),
      free_of_guaranteed_(state.ledger.free_of_guaranteed()),
      reserved_(reserved_masks(state.seats))
{
    for (auto const& name : avoid)
    {
        free_.exclude_worker(name);
        free_of_guaranteed_.exclude_worker(name);
    }
}

std::vector<job_id> placement_round::victims_of(job const& j,
                                                assignment const& places) const
{
    std::set<job_id> found;
    for (auto const& [worker_name, mask] : masks_of(places))
    {
        auto const* slot = free_.find(worker_name);
        std::int64_t members = 0;
        for (auto const& place : places)
            members += place.worker == worker_name ? 1 : 0;
        std::int64_t cores = members * j.gang.millicores - slot->millicores;
        std::int64_t memory = members * j.gang.memory_mb - slot->memory_mb;
        auto holders = state_.ledger.holders(worker_name);
        std::sort(holders.begin(), holders.end(),
                  [](allocation const& a, allocation const& b)
                  { return a.submitted > b.submitted; });
        for (int pass = 0; pass < 2; ++pass)
            for (auto const& h : holders)
            {
                if (h.guaranteed || found.count(h.job) != 0)
                    continue;
                bool const in_the_way =
                    pass == 0 ? (h.mask & mask) != 0
                              : (cores > 0 && h.millicores > 0) ||
                                    (memory > 0 && h.memory_mb > 0);
                if (!in_the_way)
                    continue;
                found.insert(h.job);
                cores -= h.millicores;
                memory -= h.memory_mb;
            }
    }
    std::erase_if(found,
                  [&](job_id const& id)
                  {
                      auto const& victim = state_.jobs.at(id);
                      return victim.state == job_state::stopping &&
                             !victim.calm_stop;
                  });
    return {found.begin(), found.end()};
}

std::optional<placement_round::choice> placement_round::in_seat(job const& j,
                                                                seat const& s)
{
    occupancy ground = free_of_guaranteed_;
    ground.exclude(spare_now_);
    ground.restrict_to(masks_of(s.places));
    auto places = fit(ground, region_, j.gang, *policy_);
    if (!places)
        return std::nullopt;
    choice c;
    c.victims = victims_of(j, *places);
    c.places = std::move(*places);
    c.seat = s.name;
    c.seat_places = s.places;
    return c;
}

std::optional<placement_round::choice>
placement_round::with_moved_seat(job const& j, seat const& s, bool free_only)
{
    if (!settings_.move_seats || state_.ledger.is_in_use(s.name))
        return std::nullopt;
    auto others = reserved_;
    for (auto const& [worker_name, mask] : masks_of(s.places))
        others[worker_name] &= ~mask;
    occupancy ground = free_only ? free_ : free_of_guaranteed_;
    ground.exclude(others);
    ground.exclude(spare_now_);
    auto seat_places = fit(ground, region_, s.wanted, *policy_);
    if (!seat_places)
        return std::nullopt;
    seat moved = s;
    moved.places = std::move(*seat_places);
    return in_seat(j, moved);
}

std::optional<placement_round::choice>
placement_round::on_guarantee(job const& j)
{
    std::optional<choice> best;
    auto const consider = [&](std::optional<choice> c)
    {
        if (!c)
            return;
        for (auto const& id : c->victims)
            c->stopped_accelerators +=
                total_accelerators(state_.jobs.at(id).gang);
        if (!best || c->victims.size() < best->victims.size() ||
            (c->victims.size() == best->victims.size() &&
             c->stopped_accelerators < best->stopped_accelerators))
            best = std::move(c);
    };
    std::vector<seat const*> open;
    for (auto it = state_.seats.lower_bound(j.team + "#");
         it != state_.seats.end() && it->second.team == j.team; ++it)
        if (it->second.region == region_ && covers(it->second.wanted, j.gang) &&
            used_seats_.count(it->first) == 0)
            open.push_back(&it->second);
    for (auto const* s : open)
        consider(in_seat(j, *s));
    for (auto const* s : open)
        if (!best || !best->victims.empty())
            consider(with_moved_seat(j, *s, true));
    for (auto const* s : open)
        if (!best)
            consider(with_moved_seat(j, *s, false));
    return best;
}

std::optional<placement_round::choice> placement_round::beyond(job const& j)
{
    if (no_room_.count(j.gang) != 0)
        return std::nullopt;
    occupancy unreserved = free_;
    unreserved.exclude(reserved_);
    auto places = fit(unreserved, region_, j.gang, *policy_);
    if (!places)
        places = fit(free_, region_, j.gang, *policy_);
    if (!places)
    {
        no_room_.insert(j.gang);
        return std::nullopt;
    }
    choice c;
    c.places = std::move(*places);
    return c;
}

bool placement_round::gives_way(job const& holder, job const& to) const
{
    return holder.region == region_ && holder.seat.empty() &&
           holder.state != job_state::stopping &&
           holder.submitted > to.submitted && victims_.count(holder.id) == 0;
}

std::optional<placement_round::choice>
placement_round::over_later_jobs(job const& j)
{
    if (state_.log_time - j.submitted_ms < settings_.max_wait_ms ||
        none_later_.count(j.gang) != 0)
        return std::nullopt;
    occupancy ground = free_;
    for (auto const& id : state_.ledger.active())
    {
        auto const& holder = state_.jobs.at(id);
        if (gives_way(holder, j))
            ground.release(holder.places, holder.gang);
    }
    auto places = fit(ground, region_, j.gang, *policy_);
    if (!places)
    {
        none_later_.insert(j.gang);
        return std::nullopt;
    }
    choice c;
    c.victims = victims_of(j, *places);
    c.places = std::move(*places);
    for (auto const& id : c.victims)
        if (!gives_way(state_.jobs.at(id), j))
            return std::nullopt;
    return c;
}

void placement_round::note(job const& j, choice const& c)
{
    free_.allocate(c.places, j.gang);
    if (c.seat.empty())
    {
        spare_taken_[j.team] += total_accelerators(j.gang);
        for (auto const& [name, mask] : masks_of(c.places))
            spare_now_[name] |= mask;
    }
    else
    {
        used_seats_.insert(c.seat);
        free_of_guaranteed_.allocate(c.places, j.gang);
        for (auto const& [name, mask] : masks_of(c.seat_places))
            reserved_[name] |= mask;
    }
    victims_.insert(c.victims.begin(), c.victims.end());
}

bool placement_round::is_over_limit(job const& j)
{
    auto const found = state_.config.teams.find(j.team);
    int const most = found == state_.config.teams.end()
                         ? 0
                         : found->second.spare_accelerators;
    int const held = state_.ledger.spare_held(j.team) + spare_taken_[j.team] +
                     total_accelerators(j.gang);
    return most != 0 && held > most;
}

std::optional<placement_round::choice> placement_round::choose(job const& j)
{
    if (j.draws_on == capacity_source::guarantee)
        if (auto c = on_guarantee(j))
            return c;
    if (is_over_limit(j))
        return std::nullopt;
    if (auto c = beyond(j))
        return c;
    return over_later_jobs(j);
}

std::optional<placement_round::choice>
placement_round::choose_elsewhere(job const& j)
{
    auto const free = free_;
    auto const free_of_guaranteed = free_of_guaranteed_;
    for (auto const& name : j.failed_on)
    {
        free_.exclude_worker(name);
        free_of_guaranteed_.exclude_worker(name);
    }
    auto const no_room = no_room_;
    auto const none_later = none_later_;
    auto c = choose(j);
    free_ = free;
    free_of_guaranteed_ = free_of_guaranteed;
    no_room_ = no_room;
    none_later_ = none_later;
    return c;
}

std::optional<place_record> placement_round::decide(job const& j)
{
    auto c = j.failed_on.empty() ? choose(j) : choose_elsewhere(j);
    if (!c && !j.failed_on.empty())
        c = choose(j);
    if (!c)
        return std::nullopt;
    note(j, *c);
    place_record r;
    r.job = j.id;
    r.places = c->places;
    r.seat = c->seat;
    r.seat_places = c->seat_places;
    r.victims = c->victims;
    return r;
}

} // namespace jasminetrack::core
