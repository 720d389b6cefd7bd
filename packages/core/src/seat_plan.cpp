#include <jasminetrack/core/placement.hpp>
#include <jasminetrack/core/seat_plan.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminetrack::core
{
namespace
{

std::vector<seat> wanted_seats(configuration const& config)
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

/// Whole-worker and rack shapes first: small ones fit into what is left.
bool goes_before(seat const& a, seat const& b)
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

bool still_stands(occupancy const& free, assignment const& places,
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
    planner(std::map<std::string, worker> const& workers) : free_(workers) {}

    void keep(seat s, assignment const& places)
    {
        free_.allocate(places, s.wanted);
        s.places = places;
        plan_.seats[s.name] = std::move(s);
    }
    void keep_if_possible(seat const& s, assignment const& places,
                          std::vector<seat>& left)
    {
        if (still_stands(free_, places, s.wanted))
            keep(s, places);
        else
            left.push_back(s);
    }
    void place_all(std::vector<seat> const& seats)
    {
        for (auto const& s : seats)
        {
            auto const places = fit(free_, s.region, s.wanted, best_fit{});
            if (places)
            {
                keep(s, *places);
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
    occupancy free_;
    seat_plan plan_;
};

/// One round; with `move_open` false the open seats keep their places.
seat_plan plan_round(std::vector<seat> const& wanted,
                     std::map<std::string, worker> const& workers,
                     seat_map const& current,
                     std::map<std::string, bool> const& in_use, bool move_open)
{
    planner round(workers);
    std::vector<seat> open;
    for (auto const& s : wanted)
    {
        auto const found = current.find(s.name);
        bool const pinned = in_use.count(s.name) != 0 &&
                            found != current.end() &&
                            found->second.wanted == s.wanted;
        if (pinned)
            round.keep_if_possible(s, found->second.places, open);
        else
            open.push_back(s);
    }
    std::vector<seat> homeless;
    for (auto const& s : open)
    {
        auto const found = current.find(s.name);
        bool const same = found != current.end() &&
                          found->second.wanted == s.wanted &&
                          found->second.region == s.region;
        if (!move_open && same)
            round.keep_if_possible(s, found->second.places, homeless);
        else
            homeless.push_back(s);
    }
    round.place_all(homeless);
    return round.plan();
}

} // namespace

seat_plan plan_seats(configuration const& config,
                     std::map<std::string, worker> const& workers,
                     seat_map const& current,
                     std::map<std::string, bool> const& in_use)
{
    auto wanted = wanted_seats(config);
    std::sort(wanted.begin(), wanted.end(), goes_before);
    auto steady = plan_round(wanted, workers, current, in_use, false);
    if (steady.unseated.empty())
        return steady;
    auto moved = plan_round(wanted, workers, current, in_use, true);
    return moved.unseated.size() < steady.unseated.size() ? moved : steady;
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
