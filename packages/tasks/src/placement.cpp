#include <jasminetrack/tasks/placement.hpp>

#include "placement_fit.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

using namespace detail;

/// \returns whether the unit prefers workers of another speed.
bool is_of_other_speed(worker_candidate const& w, unit_need const& need)
{
    bool const is_slow = w.slower || w.slow_machine;
    switch (need.speeds)
    {
    case speed_preference::usual_first:
        return is_slow;
    case speed_preference::slower_first:
        return !is_slow;
    case speed_preference::none:
        break;
    }
    return w.slower;
}

/// \returns the key by which workers are filled: lowest penalty first, then
/// those without vulnerable runs, verified workers, the preferred rack, the
/// preferred speed, those least likely to leave, and the least free capacity,
/// or the most if the unit is isolated.
auto fill_order(worker_candidate const& w, unit_need const& need)
{
    bool const wants_empty = need.isolated || need.vulnerable;
    std::int64_t const sign = wants_empty ? -1 : 1;
    return std::tuple(need.failed_on.count(w.id), w.penalty, w.vulnerable,
                      wants_empty && w.starting, is_unverified(w, need),
                      !need.rack.empty() && w.rack != need.rack,
                      is_of_other_speed(w, need),
                      need.avoids_departures ? w.departure_rank : 0, w.suspects,
                      sign * w.free.accelerators, sign * w.free.memory_mb,
                      std::string_view(w.id));
}

std::optional<std::vector<std::string>>
fill_any_speed(candidate_pointers const& candidates, unit_need const& need)
{
    // Under load, few workers have room.
    candidate_pointers with_room;
    std::int64_t room = 0;
    for (auto const* w : candidates)
    {
        auto const n = tasks_in(w->free, *w, need);
        room += n;
        if (n > 0)
            with_room.push_back(w);
    }
    if (room < need.count)
        return std::nullopt;
    auto const comes_later =
        [&](worker_candidate const* a, worker_candidate const* b)
    { return fill_order(*b, need) < fill_order(*a, need); };
    // A unit takes few workers, so the rest need no order.
    std::make_heap(with_room.begin(), with_room.end(), comes_later);
    std::vector<std::string> places;
    while (!with_room.empty())
    {
        std::pop_heap(with_room.begin(), with_room.end(), comes_later);
        auto const* w = with_room.back();
        with_room.pop_back();
        auto n = tasks_in(w->free, *w, need);
        for (; n > 0 && std::ssize(places) < need.count; --n)
            places.push_back(w->id);
        if (std::ssize(places) == need.count)
            return places;
    }
    return std::nullopt;
}

/// How the workers of a gang differ in speed. A gang goes on at the speed of
/// its slowest member, so that the usual ones among slower ones are wasted.
enum class speed_mix : std::uint8_t
{
    preferred, ///< all have the preferred speed
    other,     ///< all have another one
    mixed,
};

/// The worst properties of places, the most important one first.
struct placement_drawbacks
{
    bool failed_on = false;
    int penalty = 0;
    bool vulnerable = false;
    bool starting = false;
    bool unverified = false;
    bool off_rack = false;

    friend auto operator<=>(placement_drawbacks const&,
                            placement_drawbacks const&) = default;
};

struct places_quality
{
    placement_drawbacks worst;
    speed_mix speeds = speed_mix::preferred;
    /// The gang ends with the first member that leaves.
    std::int64_t departure_rank = 0;
};

places_quality quality_of(std::vector<std::string> const& places,
                          candidate_pointers const& candidates,
                          unit_need const& need)
{
    places_quality q;
    bool any_other = false;
    bool any_preferred = false;
    for (auto const* w : candidates)
    {
        if (std::find(places.begin(), places.end(), w->id) == places.end())
            continue;
        auto& worst = q.worst;
        worst.failed_on = worst.failed_on || need.failed_on.count(w->id) != 0;
        worst.penalty = std::max(worst.penalty, w->penalty);
        worst.vulnerable = worst.vulnerable || w->vulnerable;
        worst.starting = worst.starting ||
                         ((need.isolated || need.vulnerable) && w->starting);
        worst.unverified = worst.unverified || is_unverified(*w, need);
        worst.off_rack =
            worst.off_rack || (!need.rack.empty() && w->rack != need.rack);
        if (need.avoids_departures)
            q.departure_rank = std::max(q.departure_rank, w->departure_rank);
        (is_of_other_speed(*w, need) ? any_other : any_preferred) = true;
    }
    if (any_other)
        q.speeds = any_preferred ? speed_mix::mixed : speed_mix::other;
    return q;
}

/// Fills workers of one speed only, if these are otherwise no worse.
std::optional<std::vector<std::string>>
fill_one_speed(candidate_pointers const& candidates, unit_need const& need,
               placement_drawbacks const& limit)
{
    for (bool const other : {false, true})
    {
        candidate_pointers alike;
        for (auto const* w : candidates)
            if (is_of_other_speed(*w, need) == other)
                alike.push_back(w);
        auto places = fill_any_speed(alike, need);
        if (places && quality_of(*places, alike, need).worst <= limit)
            return places;
    }
    return std::nullopt;
}

std::optional<std::vector<std::string>>
fill(candidate_pointers const& candidates, unit_need const& need)
{
    auto places = fill_any_speed(candidates, need);
    if (!places || need.count == 1 || need.speeds == speed_preference::none)
        return places;
    auto const quality = quality_of(*places, candidates, need);
    if (quality.speeds != speed_mix::mixed)
        return places;
    auto alike = fill_one_speed(candidates, need, quality.worst);
    return alike ? alike : places;
}

/// Chooses the rack with the fewest free accelerators in which the unit fits.
std::optional<std::vector<std::string>>
fill_one_rack(candidate_pointers const& candidates, unit_need const& need)
{
    std::optional<std::vector<std::string>> best;
    std::tuple<int, bool, speed_mix, std::int64_t, std::int64_t> best_rank{};
    for (auto const& [rack, members] : by_rack(candidates))
    {
        auto places = fill(members, need);
        if (!places)
            continue;
        std::int64_t free = 0;
        for (auto const* w : members)
            free += w->free.accelerators;
        auto const q = quality_of(*places, members, need);
        // Without a preference, any slower member counts.
        auto const speeds = need.speeds == speed_preference::none &&
                                    q.speeds == speed_mix::mixed
                                ? speed_mix::other
                                : q.speeds;
        std::tuple const rank{q.worst.penalty, q.worst.unverified, speeds,
                              q.departure_rank, free};
        if (best && best_rank <= rank)
            continue;
        best = std::move(places);
        best_rank = rank;
    }
    return best;
}

} // namespace

double core_seconds(resources const& held, milliseconds time) noexcept
{
    constexpr double cores_an_accelerator = 8;
    constexpr double thousand = 1000;
    auto const cores =
        static_cast<double>(held.millicores) / thousand +
        cores_an_accelerator * static_cast<double>(held.accelerators);
    return cores * static_cast<double>(time) / thousand;
}

std::optional<std::vector<std::string>>
find_places(std::vector<worker_candidate> const& candidates,
            unit_need const& need, rack_spread allowed_racks)
{
    auto const list = allowed_candidates(candidates, need);
    if (allowed_racks == rack_spread::single)
        return fill_one_rack(list, need);
    return fill(list, need);
}

bool fits_one_rack(std::vector<worker_candidate> const& candidates,
                   unit_need const& need)
{
    for (auto const& [rack, members] :
         by_rack(allowed_candidates(candidates, need)))
    {
        std::int64_t held = 0;
        for (auto const* w : members)
            held += tasks_in(w->capacity, *w, need);
        if (held >= need.count)
            return true;
    }
    return false;
}

namespace
{

/// Stops are worthwhile up to this multiple of the work that they save.
constexpr double max_loss_factor = 3;

std::optional<reclaim_plan>
places_now(std::vector<worker_candidate> const& candidates,
           unit_need const& need, rack_spread allowed_racks)
{
    auto places = find_places(candidates, need, allowed_racks);
    if (!places)
        return std::nullopt;
    return reclaim_plan{std::move(*places), {}, 0, true};
}

bool is_worthwhile(reclaim_plan const& plan, double saved)
{
    return plan.lost_work <= max_loss_factor * saved;
}

/// Chooses for a gang that wants one rack and would fit into an empty one.
std::optional<reclaim_plan>
choose_rack(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms)
{
    if (auto now = places_now(candidates, need, rack_spread::single))
        return now;
    auto const spread_loss = terms.own_work * (terms.far_factor - 1);
    if (terms.may_stop)
    {
        auto plan =
            plan_reclaim(candidates, need, rack_spread::single, terms.excess);
        if (plan && is_worthwhile(*plan, spread_loss))
            return plan;
    }
    return std::nullopt;
}

/// Chooses without regard to racks.
std::optional<reclaim_plan>
choose_any(std::vector<worker_candidate> const& candidates,
           unit_need const& need, reclaim_terms const& terms)
{
    if (auto now = places_now(candidates, need, rack_spread::multiple))
        return now;
    if (!terms.may_stop)
        return std::nullopt;
    auto plan =
        plan_reclaim(candidates, need, rack_spread::multiple, terms.excess);
    if (plan && (terms.guaranteed || is_worthwhile(*plan, terms.own_work)))
        return plan;
    return std::nullopt;
}

} // namespace

std::optional<reclaim_plan>
choose_plan(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms)
{
    if (!need.same_rack || need.count == 1)
        return choose_any(candidates, need, terms);
    auto choice = choose_rack(candidates, need, terms);
    if (choice || need.waited_ms < terms.max_rack_wait_ms)
        return choice;
    return choose_any(candidates, need, terms);
}

std::optional<reclaim_plan>
choose_places(std::vector<worker_candidate> const& candidates, unit_need need,
              reclaim_terms const& terms)
{
    auto choice = choose_plan(candidates, need, terms);
    if (choice || need.may_wait || !need.avoids_failed_on)
        return choice;
    need.avoids_failed_on = false;
    return choose_plan(candidates, need, terms);
}

} // namespace jasminetrack::tasks
