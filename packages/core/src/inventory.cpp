#include <jasminetrack/core/inventory.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace jasminetrack::core
{

occupancy::occupancy(std::map<std::string, worker> const& workers,
                     evacuation_map const& evacuations)
{
    for (auto const& [name, w] : workers)
        if (w.condition == worker_condition::live &&
            evacuations.count(w.data_center) == 0)
        {
            auto const all = range_mask(0, w.accelerators);
            slots_.push_back({name, w.rack, w.region, all, w.millicores,
                              w.memory_mb, all, w.millicores, w.memory_mb});
        }
    std::sort(slots_.begin(), slots_.end(),
              [](free_capacity const& a, free_capacity const& b)
              {
                  return std::tie(a.region, a.rack, a.worker) <
                         std::tie(b.region, b.rack, b.worker);
              });
    for (std::size_t i = 0; i < slots_.size(); ++i)
        index_[slots_[i].worker] = i;
}

free_capacity const* occupancy::find(std::string_view name) const
{
    auto const found = index_.find(name);
    return found == index_.end() ? nullptr : &slots_[found->second];
}

free_capacity* occupancy::find(std::string_view name)
{
    auto const found = index_.find(name);
    return found == index_.end() ? nullptr : &slots_[found->second];
}

std::pair<std::size_t, std::size_t>
occupancy::region_range(std::string_view region) const
{
    auto const first = std::partition_point(slots_.begin(), slots_.end(),
                                            [&](free_capacity const& s)
                                            { return s.region < region; });
    auto const last = std::partition_point(first, slots_.end(),
                                           [&](free_capacity const& s)
                                           { return s.region == region; });
    return {static_cast<std::size_t>(first - slots_.begin()),
            static_cast<std::size_t>(last - slots_.begin())};
}

int occupancy::free_accelerators(std::string_view region) const
{
    auto const [first, last] = region_range(region);
    int sum = 0;
    for (std::size_t i = first; i < last; ++i)
        sum += std::popcount(slots_[i].free);
    return sum;
}

void occupancy::allocate(assignment const& places, shape const& per_member)
{
    for (auto const& place : places)
    {
        auto* slot = find(place.worker);
        if (slot == nullptr)
            continue;
        slot->free &= ~range_mask(place.first, place.count);
        slot->millicores -= per_member.millicores;
        slot->memory_mb -= per_member.memory_mb;
    }
}

void occupancy::release(assignment const& places, shape const& per_member)
{
    for (auto const& place : places)
    {
        auto* slot = find(place.worker);
        if (slot == nullptr)
            continue;
        slot->free |= range_mask(place.first, place.count);
        slot->millicores += per_member.millicores;
        slot->memory_mb += per_member.memory_mb;
    }
}

void occupancy::set_allocated(std::string_view name,
                              allocated_capacity const& allocated)
{
    auto* slot = find(name);
    if (slot == nullptr)
        return;
    slot->free = slot->total & ~allocated.mask;
    slot->millicores = slot->total_millicores - allocated.millicores;
    slot->memory_mb = slot->total_memory_mb - allocated.memory_mb;
}

void occupancy::restrict_to(std::map<std::string, accelerator_mask> const& keep)
{
    for (auto& slot : slots_)
    {
        auto const found = keep.find(slot.worker);
        slot.free &= found == keep.end() ? 0 : found->second;
    }
}

void occupancy::exclude(std::map<std::string, accelerator_mask> const& excluded)
{
    for (auto const& [name, mask] : excluded)
        if (auto* slot = find(name))
            slot->free &= ~mask;
}

void occupancy::exclude_worker(std::string_view name)
{
    auto* slot = find(name);
    if (slot == nullptr)
        return;
    slot->free = 0;
    slot->millicores = 0;
    slot->memory_mb = 0;
}

std::map<std::string, accelerator_mask> masks_of(assignment const& places)
{
    std::map<std::string, accelerator_mask> masks;
    for (auto const& place : places)
        masks[place.worker] |= range_mask(place.first, place.count);
    return masks;
}

} // namespace jasminetrack::core
