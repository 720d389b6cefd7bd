#pragma once
/// \file
/// Order of the queue, and placement of the waiting jobs.

#include <jasminetrack/core/placement.hpp>
#include <jasminetrack/core/state.hpp>

#include <memory>
#include <set>

namespace jasminetrack::core
{

/// Settings of the scheduling policy of a deployment.
struct policy_settings
{
    /// Weight of a short expected run time in the order of the queue, within
    /// a tier and team. 0: order of arrival.
    double completion_weight = 0.5;
    /// Above 0: best fit; 0: first fit.
    double fragmentation_weight = 0.5;
    /// A job that has waited this long may preempt spare jobs submitted later.
    milliseconds max_wait_ms = 600'000;
    /// Whether unused seats may move to other accelerators.
    bool move_seats = true;

    friend bool operator==(policy_settings const&,
                           policy_settings const&) = default;
};

/// \returns the waiting jobs of a region in the order of the queue: first jobs
/// for which their team has an open seat, then jobs that have waited for
/// `max_wait_ms`, then the others by spare accelerators held per weight of
/// the team, by expected run time (the mean of the class) less waiting time,
/// and by arrival.
[[nodiscard]] std::vector<job const*>
queue_order(cluster_state const& state, std::string const& region,
            policy_settings const& settings);

/// Decides the places of several jobs against one state.
class placement_round
{
public:
    /// \param avoid workers that are not used, such as unresponsive ones
    placement_round(cluster_state const& state, policy_settings settings,
                    std::string region, std::set<std::string> avoid);

    /// \returns the places for the job, or nothing if it has to wait.
    [[nodiscard]] std::optional<place_record> decide(job const& j);

private:
    /// Places of a job, and the jobs to preempt for it.
    struct choice;

    /// Places the job on the places of a seat.
    [[nodiscard]] std::optional<choice> place_in_seat(job const& j,
                                                      seat const& s);
    /// Moves an unused seat and places the job on its new places.
    /// \param free_only whether only free accelerators may be used; else those
    ///                  of spare jobs too
    [[nodiscard]] std::optional<choice>
    place_with_moved_seat(job const& j, seat const& s, bool free_only);
    /// \returns the choice with the fewest preempted jobs over all seats that
    /// the team has open.
    [[nodiscard]] std::optional<choice> place_on_guarantee(job const& j);
    /// Places the job on free capacity, outside seats if possible.
    [[nodiscard]] std::optional<choice> place_beyond_guarantees(job const& j);
    /// Tries the guarantee, then free capacity, then preemption of later jobs.
    [[nodiscard]] std::optional<choice> choose_places(job const& j);
    /// As choose_places, without the workers on which the job failed.
    [[nodiscard]] std::optional<choice> choose_on_other_workers(job const& j);
    /// Whether the job would exceed its team's limit of spare accelerators.
    [[nodiscard]] bool exceeds_spare_limit(job const& j);
    /// Places a job that has waited for max_wait_ms, if the preemption of spare
    /// jobs submitted later frees enough capacity.
    [[nodiscard]] std::optional<choice> preempt_later_jobs(job const& j);
    [[nodiscard]] std::vector<job_id>
    victims_of(job const& j, assignment const& places) const;
    /// Whether the job `holder` may be preempted for the older job `to`.
    [[nodiscard]] bool is_preemptible(job const& holder, job const& to) const;
    /// Accounts for a choice in the rest of the round.
    void record_choice(job const& j, choice const& c);

    cluster_state const& state_;
    policy_settings settings_;
    std::string region_;
    std::unique_ptr<placement_policy> policy_;
    occupancy free_;               ///< not held by any job
    occupancy free_of_guaranteed_; ///< not held by guaranteed jobs
    std::map<std::string, accelerator_mask> reserved_; ///< by seats
    std::set<std::string> used_seats_;
    std::set<job_id> victims_;
    std::map<std::string, int> spare_allocated_; ///< in this round, per team
    std::map<std::string, accelerator_mask> spare_masks_; ///< in this round
    /// Shapes without free places.
    std::set<shape> unplaceable_;
    /// Shapes without places even after preemption.
    std::set<shape> unplaceable_by_preemption_;
};

/// \returns one sentence for the job's owner that explains its state.
[[nodiscard]] std::string explain(cluster_state const& state, job const& j,
                                  policy_settings const& settings);

} // namespace jasminetrack::core
