#pragma once
/// \file
/// Random days of a simulated fleet. A profile selects which disturbances a day
/// has, so that a broken invariant can be attributed to them.

#include "dispatch_simulation.hpp"

#include <random>
#include <string>
#include <vector>

namespace support
{

class random_fleet;
using fleet_event = void (random_fleet::*)();

/// Workers of a fleet.
enum class fleet_layout : std::uint8_t
{
    two_racks,     ///< of four workers
    five_racks,    ///< of four workers
    uneven_memory, ///< the same, with different memory
};

/// What may happen on a day, besides jobs, tasks that crash their workers and
/// capacities that change.
struct fleet_profile
{
    std::string name;
    simulation_faults faults;
    std::vector<fleet_event> events;
    bool has_crashing_jobs = true;
    bool has_changing_capacity = true;
    /// Some jobs need a label, or limit the tasks of a step on one worker.
    bool has_constrained_jobs = false;
    fleet_layout layout = fleet_layout::two_racks;
    /// Urgent work uses many workers for a second, again and again.
    bool has_bursts = false;
    /// Several teams have guarantees, and one has none.
    bool has_teams = false;
};

/// \returns the faults, with evacuations that are in force after 5 s.
[[nodiscard]] inline simulation_faults with_evacuations(simulation_faults f)
{
    f.evacuation_bound_ms = 5'000;
    return f;
}
/// \returns the profiles of fleets with five racks.
[[nodiscard]] std::vector<fleet_profile>
rack_profiles(simulation_faults const& faults);
/// \returns all profiles.
[[nodiscard]] std::vector<fleet_profile> const& fleet_profiles();

/// Plays one day.
class random_fleet
{
public:
    random_fleet(unsigned seed, fleet_profile const& profile);

    void run();
    [[nodiscard]] dispatch_simulation& world() noexcept
    {
        return world_;
    }
    /// \returns the jobs that have not ended.
    [[nodiscard]] std::vector<std::string> unfinished() const;

    void submit_sound();
    void submit_crashing();
    void cancel();
    void resubmit();
    void shrink();
    void grow();
    void crash();
    void crash_and_change_kind();
    void crash_and_change_label();
    void restart_with_other_label();
    void restart_at_once();
    /// About half of the workers at the same time.
    void crash_many();
    void restart_many();
    void disconnect();
    void reconnect();
    void refuse();
    void accept();
    void take_over();
    void replace_leader();
    void pause_leader();
    /// The dispatcher is replaced while it is frozen, and wakes up later.
    void freeze_leader();
    void wake();
    /// Freezes the dispatcher, then cuts it off from the log while half of the
    /// workers do not reach its successor.
    void freeze_and_isolate();
    /// The dispatcher is replaced while it is cut off from the log.
    void isolate_leader();
    /// The same, while it alone reaches some workers.
    void isolate_with_workers();
    /// A worker loses its connection to the newest dispatcher only.
    void cut_from_leader();
    /// A worker loses its connection to the one before the newest only.
    void cut_from_earlier();
    void restore_links();
    void log_outage();
    /// A dispatcher takes over as soon as it can after an outage.
    void log_outage_with_take_over();
    /// While placements wait for the log, workers come back as other kinds.
    void log_outage_with_other_labels();
    void list_outage();
    void unlist();
    void report_wrong_address();
    void report_wrong_service();
    void list_twice();
    void correct_entries();
    /// Evacuates a rack, if none is evacuated.
    void evacuate();
    void restore();

    // random_fleet_teams.cpp
    /// Urgent work of a team without a guarantee, which fills the service.
    void submit_borrowed();
    /// Urgent work within the guarantee of a team that has no other.
    void submit_guaranteed();

    // random_fleet_queues.cpp
    /// A new configuration has the queue's host and path under another name.
    void rename_queue();
    /// A new configuration lacks the queue.
    void remove_queue();
    /// A new configuration has the queue's name for another service.
    void move_queue();
    /// A new configuration has both queues, under the names of the first one.
    void restore_queues();

    // random_fleet_racks.cpp
    /// A gang of whole or half workers that wants one rack.
    void submit_rack_gang();
    /// Tasks that use workers of one rack for a long time.
    void submit_long();
    /// Tasks that fill half of a worker's memory.
    void submit_half_memory();
    void submit_lasting();

private:
    [[nodiscard]] int below(int n);
    [[nodiscard]] std::string any_worker();
    /// Adds what only some workers can satisfy.
    void constrain(job_spec& spec);
    /// Submits jobs during an outage, with this event after each.
    void submit_and(fleet_event event);
    void settle();

    // random_fleet_teams.cpp
    void configure_teams();
    void submit_urgent(job_spec const& spec, milliseconds duration_ms,
                       std::string const& team);

    // random_fleet_queues.cpp
    [[nodiscard]] std::string prefix_of_any_queue();
    /// \returns the name under which jobs are submitted at this path; nothing
    /// if no queue of the fleet's service has it.
    [[nodiscard]] std::optional<std::string>
    queue_at(std::string const& prefix) const;
    /// Replaces the queue at the path, or removes it if there is no new one.
    void replace_queue(std::string const& prefix,
                       std::optional<queue> const& q);

    /// Lets time pass, with bursts of urgent work if the profile has them.
    void pass(milliseconds ms);

    // random_fleet_racks.cpp
    void add_workers();
    [[nodiscard]] resources usual_capacity(std::string const& id) const;
    void submit_burst();
    /// Lasting tasks would keep their workers from others without end.
    void cancel_lasting();
    void submit_sized(job_spec spec, milliseconds duration_ms);

    std::mt19937 random_;
    std::vector<fleet_event> events_;
    int renamed_queues_ = 0;
    bool has_teams_;
    std::map<std::string, std::string> guaranteed_; ///< newest job, by team
    bool has_constrained_jobs_;
    fleet_layout layout_;
    bool has_bursts_;
    int bursts_ = 0;
    std::int64_t burst_workers_ = 0;
    milliseconds next_burst_at_ = 0;
    int lasting_ = 0;
    std::map<std::string, resources> usual_capacities_; ///< of five racks
    dispatch_simulation world_;
    std::vector<std::string> sound_;
    std::vector<std::string> crashing_;
    std::set<std::string> ghosts_; ///< entries without a process
};

} // namespace support
