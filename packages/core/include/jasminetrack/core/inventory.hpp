#pragma once
/// \file
/// Workers and what of them is taken: the ground that placement works on.

#include <jasminetrack/core/config.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetrack::core
{

/// What is known of a worker's condition.
enum class worker_condition : std::uint8_t
{
    live,
    leaving,     ///< runs what it has, gets nothing new
    quarantined, ///< failed what it started; gets trial tasks only
    lost,
};

/// A worker as the platform describes it.
struct worker
{
    std::string name;
    std::string region;
    std::string rack;
    std::string address; ///< IP:port
    int accelerators = 0;
    int millicores = 0;
    int memory_mb = 0;
    worker_condition condition = worker_condition::live;

    friend bool operator==(worker const&, worker const&) = default;
};

/// A bit for each accelerator of a worker, lowest first.
using accelerator_mask = std::uint64_t;

/// \returns `count` ones from bit `first` on.
[[nodiscard]] constexpr accelerator_mask range_mask(int first,
                                                    int count) noexcept
{
    accelerator_mask const ones =
        count >= 64 ? ~accelerator_mask{0} : (accelerator_mask{1} << count) - 1;
    return ones << first;
}

/// Consecutive accelerators of one worker; the place of one gang member.
struct accelerator_range
{
    std::string worker;
    int first = 0;
    int count = 0;

    friend auto operator<=>(accelerator_range const&,
                            accelerator_range const&) = default;
};

/// The places of all members, in member order.
using assignment = std::vector<accelerator_range>;

/// What is free on one worker.
struct free_capacity
{
    std::string worker;
    std::string rack;
    std::string region;
    accelerator_mask total = 0;
    std::int64_t total_millicores = 0;
    std::int64_t total_memory_mb = 0;
    accelerator_mask free = 0;
    std::int64_t millicores = 0; ///< free
    std::int64_t memory_mb = 0;  ///< free

    friend bool operator==(free_capacity const&,
                           free_capacity const&) = default;
};

/// What is taken on one worker.
struct allocated_capacity
{
    accelerator_mask mask = 0;
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
};

/// Free capacity of many workers, ordered by region, rack and name.
class occupancy
{
public:
    occupancy() = default;
    /// Everything free on the workers that may allocate work.
    explicit occupancy(std::map<std::string, worker> const& workers);

    [[nodiscard]] std::vector<free_capacity> const& slots() const noexcept
    {
        return slots_;
    }
    [[nodiscard]] free_capacity const* find(std::string_view name) const;
    /// The slots of a region: indices [first, last).
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    region_range(std::string_view region) const;
    [[nodiscard]] int free_accelerators(std::string_view region) const;

    void allocate(assignment const& places, shape const& per_member);
    void release(assignment const& places, shape const& per_member);
    /// Says how much of a worker is taken, in all.
    void set_allocated(std::string_view name, allocated_capacity const& taken);
    /// Keeps only the accelerators that `keep` names free.
    void restrict_to(std::map<std::string, accelerator_mask> const& keep);
    /// Makes the accelerators named in `hidden` look taken.
    void exclude(std::map<std::string, accelerator_mask> const& hidden);
    void exclude_worker(std::string_view name);

private:
    [[nodiscard]] free_capacity* find(std::string_view name);

    std::vector<free_capacity> slots_;
    std::map<std::string, std::size_t, std::less<>> index_;
};

/// \returns the mask of each worker that an assignment covers.
[[nodiscard]] std::map<std::string, accelerator_mask>
masks_of(assignment const& places);

} // namespace jasminetrack::core
