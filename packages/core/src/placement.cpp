#include <jasminetrack/core/placement.hpp>

#include <algorithm>
#include <bit>
#include <climits>

namespace jasminetrack::core
{
namespace
{

/// A worker that can hold some members, and at what cost.
struct candidate
{
    std::size_t slot = 0;
    int members = 0;
    int cost = 0;
};

int members_by_accelerators(accelerator_mask free, int count, int most)
{
    if (count == 0)
        return most;
    int members = 0;
    for (int first;
         members < most && (first = find_free_range(free, count)) >= 0;
         ++members)
        free &= ~range_mask(first, count);
    return members;
}

int members_that_fit(free_capacity const& slot, shape const& wanted)
{
    int members = wanted.members;
    if (wanted.millicores > 0)
        members = static_cast<int>(std::min<std::int64_t>(
            members, slot.millicores / wanted.millicores));
    if (wanted.memory_mb > 0)
        members = static_cast<int>(
            std::min<std::int64_t>(members, slot.memory_mb / wanted.memory_mb));
    if (members <= 0)
        return 0;
    return members_by_accelerators(slot.free, wanted.accelerators, members);
}

bool holds_whole_gang(free_capacity const& slot, shape const& wanted)
{
    return slot.millicores >=
               std::int64_t{wanted.millicores} * wanted.members &&
           slot.memory_mb >= std::int64_t{wanted.memory_mb} * wanted.members &&
           (wanted.accelerators == 0 ||
            find_free_range(slot.free, total_accelerators(wanted)) >= 0);
}

std::optional<assignment> fit_one_worker(occupancy const& free,
                                         std::size_t first, std::size_t last,
                                         shape const& wanted,
                                         placement_policy const& policy)
{
    free_capacity const* best = nullptr;
    int best_cost = INT_MAX;
    for (std::size_t i = first; i < last; ++i)
    {
        auto const& slot = free.slots()[i];
        if (!holds_whole_gang(slot, wanted))
            continue;
        int const cost = policy.cost(slot, wanted, wanted.members);
        if (cost < best_cost)
        {
            best = &slot;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    int const start =
        wanted.accelerators == 0
            ? 0
            : find_free_range(best->free, total_accelerators(wanted));
    assignment places;
    for (int m = 0; m < wanted.members; ++m)
        places.push_back({best->worker, start + m * wanted.accelerators,
                          wanted.accelerators});
    return places;
}

std::vector<candidate> candidates_of(occupancy const& free, std::size_t first,
                                     std::size_t last, shape const& wanted,
                                     placement_policy const& policy)
{
    std::vector<candidate> found;
    for (std::size_t i = first; i < last; ++i)
    {
        auto const& slot = free.slots()[i];
        int const members = members_that_fit(slot, wanted);
        if (members > 0)
            found.push_back({i, members, policy.cost(slot, wanted, members)});
    }
    return found;
}

int members_of(std::vector<candidate> const& candidates)
{
    int sum = 0;
    for (auto const& c : candidates)
        sum += c.members;
    return sum;
}

assignment spread(occupancy const& free, std::vector<candidate> candidates,
                  shape const& wanted)
{
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](candidate const& a, candidate const& b)
                     { return a.cost < b.cost; });
    assignment places;
    for (auto const& c : candidates)
    {
        auto const& slot = free.slots()[c.slot];
        accelerator_mask left = slot.free;
        for (int m = 0; m < c.members; ++m)
        {
            if (static_cast<int>(places.size()) == wanted.members)
                return places;
            int const first = wanted.accelerators == 0
                                  ? 0
                                  : find_free_range(left, wanted.accelerators);
            left &= ~range_mask(first, wanted.accelerators);
            places.push_back({slot.worker, first, wanted.accelerators});
        }
    }
    return places;
}

std::optional<assignment> fit_one_rack(occupancy const& free, std::size_t first,
                                       std::size_t last, shape const& wanted,
                                       placement_policy const& policy)
{
    std::vector<candidate> best;
    int best_left = INT_MAX;
    for (std::size_t begin = first; begin < last;)
    {
        std::size_t end = begin;
        while (end < last && free.slots()[end].rack == free.slots()[begin].rack)
            ++end;
        auto found = candidates_of(free, begin, end, wanted, policy);
        int const left = members_of(found) - wanted.members;
        if (left >= 0 && left < best_left)
        {
            best_left = left;
            best = std::move(found);
        }
        begin = end;
    }
    if (best.empty())
        return std::nullopt;
    return spread(free, std::move(best), wanted);
}

std::optional<std::string> find_place_flaw(accelerator_range const& place,
                                           shape const& wanted,
                                           std::string_view region,
                                           worker const& w)
{
    if (w.region != region)
        return "worker " + w.name + " is in region " + w.region;
    if (place.count != wanted.accelerators || place.first < 0 ||
        place.first + place.count > w.accelerators)
        return "accelerators out of range on " + w.name;
    return std::nullopt;
}

bool is_one_run(assignment const& places)
{
    for (std::size_t i = 1; i < places.size(); ++i)
        if (places[i].worker != places[0].worker ||
            places[i].first != places[i - 1].first + places[i].count)
            return false;
    return true;
}

} // namespace

std::optional<std::string>
find_flaw(assignment const& places, shape const& wanted,
          std::string_view region, std::map<std::string, worker> const& workers)
{
    if (static_cast<int>(places.size()) != wanted.members)
        return "not all members have a place";
    std::map<std::string, accelerator_mask> taken;
    std::string rack;
    for (auto const& place : places)
    {
        auto const found = workers.find(place.worker);
        if (found == workers.end())
            return "worker " + place.worker + " is not known";
        auto const& w = found->second;
        if (auto flaw = find_place_flaw(place, wanted, region, w))
            return flaw;
        if (wanted.adjacent == adjacency::rack && !rack.empty() &&
            rack != w.rack)
            return "members stand in two racks";
        rack = w.rack;
        auto const mask = range_mask(place.first, place.count);
        if ((taken[place.worker] & mask) != 0)
            return "an accelerator is given to two members";
        taken[place.worker] |= mask;
    }
    if (wanted.adjacent == adjacency::worker && !is_one_run(places))
        return "members do not stand side by side";
    return std::nullopt;
}

int first_fit::cost(free_capacity const&, shape const&, int) const noexcept
{
    return 0;
}

int best_fit::cost(free_capacity const& slot, shape const& wanted,
                   int members) const noexcept
{
    return std::popcount(slot.free) - members * wanted.accelerators;
}

int find_free_range(accelerator_mask free, int count) noexcept
{
    if (count <= 0 || count > 64)
        return -1;
    accelerator_mask starts = free;
    for (int i = 1; i < count && starts != 0; ++i)
        starts &= free >> i;
    if (starts == 0)
        return -1;
    int const step =
        static_cast<int>(std::bit_ceil(static_cast<unsigned>(count)));
    for (int first = 0; first < 64; first += step)
        if ((starts >> first) & 1)
            return first;
    return std::countr_zero(starts);
}

std::optional<assignment> fit(occupancy const& free, std::string_view region,
                              shape const& wanted,
                              placement_policy const& policy)
{
    auto const [first, last] = free.region_range(region);
    if (wanted.adjacent == adjacency::worker)
        return fit_one_worker(free, first, last, wanted, policy);
    if (wanted.adjacent == adjacency::rack)
        return fit_one_rack(free, first, last, wanted, policy);
    auto found = candidates_of(free, first, last, wanted, policy);
    if (members_of(found) < wanted.members)
        return std::nullopt;
    return spread(free, std::move(found), wanted);
}

} // namespace jasminetrack::core
