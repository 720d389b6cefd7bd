#include <jasminetrack/core/placement.hpp>
#include <jasminetrack/core/seat_plan.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminetrack::core
{
namespace
{

std::vector<seat> required_seats(configuration const& config)
{
    std::vector<seat> wanted;
    for (auto const& [name, t] : config.teams)
        for (std::size_t g = 0; g < t.guarantees.size(); ++g)
            for (int i = 0; i < t.guarantees[g].count; ++i)
                wanted.push_back(
                    {name + "#" + std::to_string(g) + "." + std::to_string(i),
                     name,
                     t.guarantees[g].region,
                     t.guarantees[g].wanted,
                     {}});
    return wanted;
}

/// Orders shapes with large ranges and strict adjacency first; small shapes fit
/// into the remaining capacity.
bool is_seated_before(seat const& a, seat const& b)
{
    auto const key = [](seat const& s)
    {
        int const run = s.wanted.adjacent == adjacency::worker
                            ? total_accelerators(s.wanted)
                            : s.wanted.accelerators;
        return std::tuple(-run, -static_cast<int>(s.wanted.adjacent),
                          -total_accelerators(s.wanted));
    };
    return std::tuple(key(a), std::cref(a.name).get()) <
           std::tuple(key(b), std::cref(b.name).get());
}

bool still_fits(occupancy const& free, assignment const& places,
                shape const& wanted)
{
    if (places.empty())
        return false;
    occupancy probe = free;
    for (auto const& place : places)
    {
        auto const* slot = std::as_const(probe).find(place.worker);
        auto const mask = range_mask(place.first, place.count);
        if (slot == nullptr || (slot->free & mask) != mask ||
            slot->millicores < wanted.millicores ||
            slot->memory_mb < wanted.memory_mb)
            return false;
        probe.allocate({place}, wanted);
    }
    return true;
}

class planner
{
public:
    planner(std::map<std::string, worker> const& workers,
            evacuation_map const& evacuations)
        : free_(workers, evacuations), free_anywhere_(workers)
    {
    }

    void add_seat(seat s, assignment const& places)
    {
        free_.allocate(places, s.wanted);
        free_anywhere_.allocate(places, s.wanted);
        s.places = places;
        plan_.seats[s.name] = std::move(s);
    }
    /// Adds a seat that must not move, also in an evacuated data center.
    void add_fixed_seat_if_free(seat const& s, assignment const& places,
                                std::vector<seat>& rest)
    {
        if (still_fits(free_anywhere_, places, s.wanted))
            add_seat(s, places);
        else
            rest.push_back(s);
    }
    void add_seat_if_free(seat const& s, assignment const& places,
                          std::vector<seat>& rest)
    {
        if (still_fits(free_, places, s.wanted))
            add_seat(s, places);
        else
            rest.push_back(s);
    }
    void place_all(std::vector<seat> const& seats)
    {
        for (auto const& s : seats)
        {
            auto const places = fit(free_, s.region, s.wanted, best_fit{});
            if (places)
            {
                add_seat(s, *places);
                continue;
            }
            plan_.unseated.push_back(s.name);
            plan_.seats[s.name] = s;
        }
    }
    [[nodiscard]] seat_plan const& plan() const noexcept
    {
        return plan_;
    }

private:
    occupancy free_; ///< outside evacuated data centers
    occupancy free_anywhere_;
    seat_plan plan_;
};

/// Plans all seats once. Unless `move_open` is set, unused seats keep their
/// places where possible.
seat_plan plan_round(std::vector<seat> const& wanted,
                     std::map<std::string, worker> const& workers,
                     seat_map const& current,
                     std::map<std::string, bool> const& in_use,
                     evacuation_map const& evacuations, bool move_open)
{
    planner round(workers, evacuations);
    std::vector<seat> open;
    for (auto const& s : wanted)
    {
        auto const found = current.find(s.name);
        bool const same =
            found != current.end() && found->second.wanted == s.wanted;
        bool const fixed = same && (in_use.count(s.name) != 0 ||
                                    is_kept_in_place(found->second.places,
                                                     workers, evacuations));
        if (fixed)
            round.add_fixed_seat_if_free(s, found->second.places, open);
        else
            open.push_back(s);
    }
    std::vector<seat> unplaced;
    for (auto const& s : open)
    {
        auto const found = current.find(s.name);
        bool const same = found != current.end() &&
                          found->second.wanted == s.wanted &&
                          found->second.region == s.region;
        if (!move_open && same)
            round.add_seat_if_free(s, found->second.places, unplaced);
        else
            unplaced.push_back(s);
    }
    round.place_all(unplaced);
    return round.plan();
}

} // namespace

bool is_kept_in_place(assignment const& places,
                      std::map<std::string, worker> const& workers,
                      evacuation_map const& evacuations)
{
    auto const is_kept = [&](accelerator_range const& place)
    {
        auto const w = workers.find(place.worker);
        if (w == workers.end())
            return false;
        auto const e = evacuations.find(w->second.data_center);
        return e != evacuations.end() && !e->second.move_seats;
    };
    return std::any_of(places.begin(), places.end(), is_kept);
}

seat_plan plan_seats(configuration const& config,
                     std::map<std::string, worker> const& workers,
                     seat_map const& current,
                     std::map<std::string, bool> const& in_use,
                     evacuation_map const& evacuations)
{
    auto wanted = required_seats(config);
    std::sort(wanted.begin(), wanted.end(), is_seated_before);
    auto stable =
        plan_round(wanted, workers, current, in_use, evacuations, false);
    if (stable.unseated.empty())
        return stable;
    auto moved =
        plan_round(wanted, workers, current, in_use, evacuations, true);
    return moved.unseated.size() < stable.unseated.size() ? moved : stable;
}

std::map<std::string, accelerator_mask> reserved_masks(seat_map const& seats)
{
    std::map<std::string, accelerator_mask> masks;
    for (auto const& [name, s] : seats)
        for (auto const& [worker_name, mask] : masks_of(s.places))
            masks[worker_name] |= mask;
    return masks;
}

} // namespace jasminetrack::core
