#pragma once
/// \file
/// Search for places of a gang, with an interchangeable cost function.

#include <jasminetrack/core/inventory.hpp>

#include <optional>

namespace jasminetrack::core
{

/// Cost function that orders the workers; the lowest cost is used first.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// \returns the cost of placing `members` members of `wanted` on a worker.
    [[nodiscard]] virtual int cost(free_capacity const& slot,
                                   shape const& wanted,
                                   int members) const noexcept = 0;
};

/// Uses workers in the order of the slots.
class first_fit final : public placement_policy
{
public:
    [[nodiscard]] int cost(free_capacity const&, shape const&,
                           int) const noexcept override;
};

/// Prefers the worker that has the fewest accelerators left over, which keeps
/// whole workers free for gangs that need them.
class best_fit final : public placement_policy
{
public:
    [[nodiscard]] int cost(free_capacity const& slot, shape const& wanted,
                           int members) const noexcept override;
};

/// Finds places for all members of a gang.
/// \param free    the capacity that may be used
/// \param region  the region to search
/// \param wanted  the shape of the gang
/// \param policy  cost function to order the workers
/// \returns the places in member order, or nothing if the gang does not fit.
/// \remarks Deterministic: on equal costs the first worker is used.
[[nodiscard]] std::optional<assignment> fit(occupancy const& free,
                                            std::string_view region,
                                            shape const& wanted,
                                            placement_policy const& policy);

/// Checks the places of a gang against its shape and the workers.
/// \returns the reason why they are invalid, or nothing.
[[nodiscard]] std::optional<std::string>
find_placement_error(assignment const& places, shape const& wanted,
                     std::string_view region,
                     std::map<std::string, worker> const& workers);

/// \returns the first bit of `count` consecutive free bits, aligned to the
/// next power of two of `count` where possible; -1 if there is no such range.
[[nodiscard]] int find_free_range(accelerator_mask free, int count) noexcept;

} // namespace jasminetrack::core
