#pragma once
/// \file
/// Workers and their free and allocated capacity.

#include <jasminetrack/core/config.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetrack::core
{

/// Condition of a worker.
enum class worker_condition : std::uint8_t
{
    live,
    leaving,     ///< finishes its tasks and gets no new ones
    quarantined, ///< jobs failed on it; gets no tasks until the quarantine ends
    lost,        ///< not answering; its tasks count as ended
};

/// A worker as the platform lists it.
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
    std::string data_center{}; ///< empty: the platform does not tell

    friend bool operator==(worker const&, worker const&) = default;
};

/// Evacuation of one data center by an operator.
struct evacuation
{
    /// Whether unused seats there have moved to other data centers. Otherwise
    /// they stay, and their guarantees are not met until the data center is
    /// restored.
    bool move_seats = true;
    log_offset offset = 0; ///< of its record

    friend bool operator==(evacuation const&, evacuation const&) = default;
};

/// Evacuations in force, by data center.
using evacuation_map = std::map<std::string, evacuation>;

/// One bit for each accelerator of a worker, the lowest first.
using accelerator_mask = std::uint64_t;

/// \returns a mask with `count` bits set from bit `first` on.
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

/// The places of all members of a gang, in member order.
using assignment = std::vector<accelerator_range>;

/// Total and free capacity of one worker.
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

/// Allocated capacity of one worker.
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
    /// All capacity of the live workers is free, except of those in evacuated
    /// data centers, which have no slots.
    explicit occupancy(std::map<std::string, worker> const& workers,
                       evacuation_map const& evacuations = {});

    [[nodiscard]] std::vector<free_capacity> const& slots() const noexcept
    {
        return slots_;
    }
    [[nodiscard]] free_capacity const* find(std::string_view name) const;
    /// \returns the indices [first, last) of the slots of a region.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    region_range(std::string_view region) const;
    [[nodiscard]] int free_accelerators(std::string_view region) const;

    void allocate(assignment const& places, shape const& per_member);
    void release(assignment const& places, shape const& per_member);
    /// Sets the total allocated capacity of a worker.
    void set_allocated(std::string_view name,
                       allocated_capacity const& allocated);
    /// Marks all accelerators outside `keep` as not free.
    void restrict_to(std::map<std::string, accelerator_mask> const& keep);
    /// Marks the accelerators in `excluded` as not free.
    void exclude(std::map<std::string, accelerator_mask> const& excluded);
    /// Marks all capacity of a worker as not free.
    void exclude_worker(std::string_view name);

private:
    [[nodiscard]] free_capacity* find(std::string_view name);

    std::vector<free_capacity> slots_;
    std::map<std::string, std::size_t, std::less<>> index_;
};

/// \returns the accelerators of an assignment as one mask per worker.
[[nodiscard]] std::map<std::string, accelerator_mask>
masks_of(assignment const& places);

} // namespace jasminetrack::core
