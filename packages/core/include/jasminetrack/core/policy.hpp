#pragma once
/// \file
/// Which waiting job comes next and where it goes.

#include <jasminetrack/core/placement.hpp>
#include <jasminetrack/core/state.hpp>

#include <memory>
#include <set>

namespace jasminetrack::core
{

/// How decisions lean; from the settings of a deployment.
struct policy_settings
{
    /// Weight of short expected runs in the queue's order; 0: by arrival.
    double completion_weight = 0.5;
    /// From this on gangs are put where least is left over; 0: first fit.
    double fragmentation_weight = 0.5;
    /// A job that waited this long may stop spare work that came later.
    milliseconds max_wait_ms = 600'000;
    /// Whether guaranteed seats may move to accelerators that are free.
    bool move_seats = true;

    friend bool operator==(policy_settings const&,
                           policy_settings const&) = default;
};

/// \returns the waiting jobs of a region, the next one first.
/// Guaranteed work leads, then teams by what they hold for their weight,
/// then expected run time (learned, else the declared one) against waiting
/// time, then arrival.
[[nodiscard]] std::vector<job const*>
queue_order(cluster_state const& state, std::string const& region,
            policy_settings const& settings);

/// Decides places for one round: several jobs against one state.
class placement_round
{
public:
    /// \param avoid workers that did not answer lately
    placement_round(cluster_state const& state, policy_settings settings,
                    std::string region, std::set<std::string> avoid);

    /// \returns the places for the job, or nothing if it has to wait.
    [[nodiscard]] std::optional<place_record> decide(job const& j);

private:
    struct choice;

    [[nodiscard]] std::optional<choice> in_seat(job const& j, seat const& s);
    [[nodiscard]] std::optional<choice>
    with_moved_seat(job const& j, seat const& s, bool free_only);
    [[nodiscard]] std::optional<choice> on_guarantee(job const& j);
    [[nodiscard]] std::optional<choice> beyond(job const& j);
    [[nodiscard]] std::optional<choice> choose(job const& j);
    /// The same without the workers on which the job failed.
    [[nodiscard]] std::optional<choice> choose_elsewhere(job const& j);
    /// Whether the job would take its team beyond its limit of spare work.
    [[nodiscard]] bool is_over_limit(job const& j);
    [[nodiscard]] std::optional<choice> over_later_jobs(job const& j);
    [[nodiscard]] std::vector<job_id>
    victims_of(job const& j, assignment const& places) const;
    /// Whether a holder of places may be stopped for an older job.
    [[nodiscard]] bool gives_way(job const& holder, job const& to) const;
    void note(job const& j, choice const& c);

    cluster_state const& state_;
    policy_settings settings_;
    std::string region_;
    std::unique_ptr<placement_policy> policy_;
    occupancy free_;               ///< nobody holds it
    occupancy free_of_guaranteed_; ///< no guaranteed work holds it
    std::map<std::string, accelerator_mask> reserved_;
    std::set<std::string> used_seats_;
    std::set<job_id> victims_;
    std::map<std::string, int> spare_taken_; ///< in this round, per team
    std::map<std::string, accelerator_mask> spare_now_; ///< in this round
    std::set<shape> no_room_;    ///< shapes that found no free places
    std::set<shape> none_later_; ///< nor any by stopping later jobs
};

/// \returns why the job is where it is, in one sentence.
[[nodiscard]] std::string explain(cluster_state const& state, job const& j,
                                  policy_settings const& settings);

} // namespace jasminetrack::core
