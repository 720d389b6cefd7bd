#pragma once
/// \file
/// Where a gang fits: one search, varied by a small strategy object.

#include <jasminetrack/core/inventory.hpp>

#include <optional>

namespace jasminetrack::core
{

/// How places are compared; lower cost is taken first.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Cost of putting `members` members of `wanted` on this worker.
    [[nodiscard]] virtual int cost(free_capacity const& slot,
                                   shape const& wanted,
                                   int members) const noexcept = 0;
};

/// Takes workers in their order.
class first_fit final : public placement_policy
{
public:
    [[nodiscard]] int cost(free_capacity const&, shape const&,
                           int) const noexcept override;
};

/// Takes the worker with the least left over, so that whole workers stay
/// whole for gangs that need them.
class best_fit final : public placement_policy
{
public:
    [[nodiscard]] int cost(free_capacity const& slot, shape const& wanted,
                           int members) const noexcept override;
};

/// Finds places for all members, or for none.
/// \param free    what may be used
/// \param region  the region to search
/// \param wanted  members, accelerators of each and their adjacency
/// \returns the places in member order, or nothing if the gang does not fit.
/// \remarks Deterministic: ties go to the first worker in order.
[[nodiscard]] std::optional<assignment> fit(occupancy const& free,
                                            std::string_view region,
                                            shape const& wanted,
                                            placement_policy const& policy);

/// \returns what is wrong with the places of a gang, or nothing.
[[nodiscard]] std::optional<std::string>
find_flaw(assignment const& places, shape const& wanted,
          std::string_view region,
          std::map<std::string, worker> const& workers);

/// \returns the lowest bit at which `count` free bits stand side by side,
/// aligned to the run's size where possible; -1 if there is none.
[[nodiscard]] int find_free_range(accelerator_mask free, int count) noexcept;

} // namespace jasminetrack::core
