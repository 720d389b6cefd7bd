#pragma once
/// \file
/// Runs the tasks of all jobs on all workers. One process at a time holds the
/// dispatcher's role; its token fences off those that held it before.

#include <jasminetrack/tasks/headroom.hpp>
#include <jasminetrack/tasks/placement.hpp>
#include <jasminetrack/tasks/placement_advice.hpp>
#include <jasminetrack/tasks/queue_order.hpp>
#include <jasminetrack/tasks/service_utilization.hpp>
#include <jasminetrack/tasks/worker_view.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace jasminetrack::tasks
{

/// Bounds that the platform sets.
struct dispatch_limits
{
    milliseconds max_lease_ms = 10'000; ///< workers shorten longer leases
    milliseconds max_stop_ms = 900;     ///< a stop takes at most this
    milliseconds gang_wait_ms = 3'000;  ///< a member waits this for the others
    milliseconds max_reclaim_ms = 3'400;
    std::int64_t far_factor = 3; ///< slower over racks or far from the data

    friend bool operator==(dispatch_limits const&,
                           dispatch_limits const&) = default;
};

/// A decision, for the log: what was decided on which job or worker, and why.
struct decision
{
    std::string step;             ///< such as "unit.place"
    std::string job;              ///< id, may be empty
    std::string text;             ///< "key=value" fields
    milliseconds accepted_ms = 0; ///< time of day; of a job that began or ended
};

/// \code
/// dispatcher d(token, bounds, now);
/// d.put_worker(now, info);
/// d.put_job(now, job, initial_progress(job.spec));
/// d.tick(now, wall_now);
/// for (auto const& a : d.take_actions())
///     perform(a);
/// \endcode
class dispatcher
{
public:
    using listener = std::function<void(decision const&)>;

    /// \param token   higher than that of every dispatcher before
    /// \param listen  gets each decision
    dispatcher(std::int64_t token, dispatch_limits bounds, milliseconds now,
               listener listen);

    /// \returns whether a worker knows a higher token: the role is lost.
    [[nodiscard]] bool deposed() const noexcept
    {
        return deposed_;
    }
    [[nodiscard]] job_progress const* progress_of(std::string const& id) const;
    [[nodiscard]] worker_view const* find_worker(std::string const& id) const;
    [[nodiscard]] std::size_t open_jobs() const noexcept
    {
        return jobs_.size();
    }
    /// \returns jobs whose ends the node has not read yet.
    [[nodiscard]] std::size_t unread_final_records() const noexcept
    {
        return unread_final_records_.size();
    }
    [[nodiscard]] std::size_t reservations() const noexcept
    {
        return reservations_.size();
    }

    /// \returns the newest utilization of each service; at most a second old
    /// while something changes.
    [[nodiscard]] std::map<std::string, service_utilization> const&
    utilization() const noexcept
    {
        return utilization_;
    }

    void set_configuration(configuration const& c);
    /// Takes a job over; `progress` is as the node has read it in the log. A
    /// job whose end was decided here is not taken again.
    void put_job(milliseconds now, accepted_job const& job,
                 job_progress progress);
    void cancel_job(milliseconds now, std::string const& id);
    /// The node has read the job's end in the log: it offers the job no more.
    void on_final_record_read(std::string const& id);
    void put_worker(milliseconds now, worker_info const& info);
    /// The list no longer has the worker.
    void unlist_worker(milliseconds now, std::string const& id);
    void on_renew(milliseconds now, renew_reply const& reply);
    void on_start(milliseconds now, start_reply const& reply);
    void on_stop(milliseconds now, stop_reply const& reply);
    void on_advice(milliseconds now, advice_reply const& reply);
    /// The batch, and all before it, are in the log.
    void on_stored(milliseconds now, std::int64_t batch);
    /// \param wall time of day
    void tick(milliseconds now, milliseconds wall);
    [[nodiscard]] actions take_actions();

private:
    enum class member_phase : std::uint8_t
    {
        recorded,    ///< its start waits for the log
        starting,    ///< the start was sent and not answered
        unconfirmed, ///< no answer; the next hold tells
        adopted,     ///< an earlier dispatcher placed it; the next hold tells
        running,
        released,
    };

    [[nodiscard]] static constexpr bool is_unconfirmed(member_phase p) noexcept
    {
        return p == member_phase::starting || p == member_phase::unconfirmed;
    }

    struct member
    {
        std::string worker;
        member_phase phase = member_phase::recorded;
        milliseconds until_ms = 0;     ///< last time it can be started
        milliseconds started_ms = 0;   ///< worker's clock when it said so
        milliseconds sent_at = 0;      ///< first
        milliseconds last_sent_at = 0; ///< again, for want of an answer
        std::int64_t percent = 0;
        milliseconds progress_at = 0; ///< when its percent last rose
        run_progress progress;
    };

    /// The newest run of a unit while any member may be on a worker.
    struct active_run
    {
        std::int64_t run = 0;
        std::vector<member> members;
        bool over = false;
        bool counted = false;   ///< its failure was counted
        std::int64_t batch = 0; ///< that records its places
        milliseconds placed_at = 0;
        milliseconds first_sent = 0;
        std::size_t number = 0;
    };

    struct job_entry
    {
        accepted_job job;
        job_progress progress;
        std::int64_t priority = 0;
        std::string service; ///< of its queue
        milliseconds known_at = 0;
        milliseconds objective_ms = 0;
        std::vector<milliseconds>
            critical_paths;          ///< of work, from each step on
        std::int64_t waiting = 0;    ///< units in phase waiting
        std::int64_t unfinished = 0; ///< units not done
        std::map<unit_ref, std::set<std::string>> failed_on;
        std::map<unit_ref, milliseconds> failed_at;       ///< newest failure
        std::map<std::int64_t, step_durations> durations; ///< by step
    };

    /// Places that wait for stops to come through.
    struct reservation
    {
        std::vector<std::string> places;
        milliseconds since = 0;
    };

    /// The waiting units of one step; all need the same.
    struct waiting_units
    {
        job_entry* entry = nullptr;
        std::int64_t occurrence = 0;
        std::int64_t step = 0;
        std::vector<std::int64_t> indices;
        ordering_key key;
    };

    [[nodiscard]] step_spec const& step_of(job_entry const& e,
                                           unit_ref const& ref) const;
    [[nodiscard]] resources held_by(step_spec const& s) const;
    [[nodiscard]] task_run run_of(unit_ref const& ref, std::int64_t run,
                                  std::size_t index, bool gang) const;
    [[nodiscard]] std::optional<unit_ref> ref_of(task_run const& run);
    [[nodiscard]] job_entry* find_job(std::string const& id);
    [[nodiscard]] unit* find_unit(unit_ref const& ref);
    [[nodiscard]] queue const* queue_of(job_entry const& e) const;
    void apply_queue(job_entry& e) const;
    [[nodiscard]] bool is_ready(job_entry const& e, unit_id const& id,
                                milliseconds wall) const;
    void log_decision(std::string step, std::string job,
                      std::string text) const;
    void log_job_decision(std::string step, job_entry const& e,
                          std::string text) const;
    void mark_dirty(std::string const& job);

    // dispatcher_workers.cpp, dispatcher_renewals.cpp
    void start_incarnation(milliseconds now, worker_view& w,
                           std::int64_t incarnation, milliseconds clock_ms,
                           std::string const& why);
    [[nodiscard]] std::map<task_run, hosted_run>
    unconfirmed_starts(worker_view const& w);
    void send_due_renewals(milliseconds now);
    void send_renewal(milliseconds now, worker_view& w, bool wait);
    void record_unresponsive(milliseconds now, worker_view& w,
                             call_result result);
    void record_answer(milliseconds now, worker_view& w, renew_reply const& r);
    void check_lost_workers(milliseconds now);
    void end_lost_runs(milliseconds now, worker_view& w, std::string const& why,
                       std::map<task_run, hosted_run> const& kept = {});
    void process_ended(milliseconds now, worker_view& w, renew_reply const& r);
    void process_running(milliseconds now, worker_view& w,
                         renew_reply const& r);
    void process_missing(milliseconds now, worker_view& w,
                         renew_reply const& r);
    void stop_unexpected_run(milliseconds now, worker_view& w,
                             running_task const& t);
    void record_outcome(milliseconds now, worker_view& w,
                        std::string const& job, run_end how);
    void update_pace(milliseconds now, worker_view& w, unit_ref const& ref,
                     member& m, milliseconds clock_ms, std::int64_t percent);
    void send_stop(milliseconds now, worker_view& w, task_run const& run);

    // dispatcher_starts.cpp, dispatcher_runs.cpp, dispatcher_monitor.cpp
    void place(milliseconds now, job_entry& e, unit_ref const& ref,
               std::vector<std::string> const& places);
    [[nodiscard]] std::size_t
    count_racks(std::vector<std::string> const& places) const;
    void send_starts(milliseconds now, unit_ref const& ref);
    void send_start(milliseconds now, job_entry& e, unit_ref const& ref,
                    std::size_t index);
    void member_started(milliseconds now, unit_ref const& ref,
                        std::size_t index, milliseconds clock_ms);
    void start_failed(milliseconds now, unit_ref const& ref, std::size_t index,
                      call_result result);
    [[nodiscard]] bool can_start(milliseconds now, unit_ref const& ref,
                                 active_run const& a) const;
    void release_member(milliseconds now, unit_ref const& ref,
                        std::size_t index);
    /// Stops what is left of a run; `ended` is already off its worker.
    void end_run(milliseconds now, unit_ref const& ref, std::string const& why,
                 std::optional<std::size_t> ended = std::nullopt);
    void run_ended(milliseconds now, unit_ref const& ref, std::size_t index,
                   run_end how);
    /// A run that counted as lost had ended done: the work is done.
    void complete_from_earlier_run(milliseconds now, unit_ref const& ref);
    void count_failure(milliseconds now, job_entry& e, unit_ref const& ref,
                       unit& u, active_run& a, std::string const& worker);
    void finish_run(milliseconds now, unit_ref const& ref);
    void set_unit_phase(job_entry& e, unit& u, unit_phase phase);
    void evaluate(milliseconds now, job_entry& e);
    void finish_job(milliseconds now, job_entry& e, job_phase phase);
    void adopt(milliseconds now, job_entry& e);
    void check_hanging(milliseconds now);
    /// Moves runs off workers that leave before the runs can end.
    void check_draining(milliseconds now);
    [[nodiscard]] static bool should_leave(milliseconds now,
                                           active_run const& a,
                                           std::size_t index, milliseconds left,
                                           step_spec const& step);
    [[nodiscard]] std::optional<std::size_t>
    member_index(unit_ref const& ref, active_run const& a,
                 task_run const& run) const;

    // dispatcher_schedule.cpp
    void schedule(milliseconds now, milliseconds wall);
    [[nodiscard]] milliseconds max_stop_time() const noexcept;
    void process_reservations(milliseconds now);
    void drop_reservation(unit_ref const& ref);
    [[nodiscard]] std::vector<waiting_units> collect_waiting(milliseconds wall);
    [[nodiscard]] static bool has_failed(waiting_units const& w,
                                         std::int64_t index);
    /// \returns false if there is no room for units of this step now.
    bool start_unit(milliseconds now, waiting_units const& w,
                    std::int64_t index);
    void reclaim(milliseconds now, unit_ref const& ref,
                 reclaim_plan const& plan, resources const& each);
    /// \returns the workers of a service as this pass sees them, by id.
    [[nodiscard]] std::vector<worker_candidate>&
    candidates_of(milliseconds now, std::string const& service,
                  std::int64_t priority);
    [[nodiscard]] worker_candidate candidate_of(milliseconds now,
                                                worker_view const& w,
                                                std::int64_t priority) const;
    [[nodiscard]] static bool may_start_on(milliseconds now,
                                           worker_view const& w);
    void deduct_capacity(std::string const& service,
                         std::vector<std::string> const& places,
                         resources const& each);
    void count_same_step(std::vector<worker_candidate>& candidates,
                         unit_ref const& ref, unit_need const& need) const;
    [[nodiscard]] unit_need need_of(milliseconds now, job_entry const& e,
                                    unit_ref const& ref) const;
    [[nodiscard]] verification_level
    verification_for(milliseconds now, job_entry const& e,
                     unit_ref const& ref) const;
    [[nodiscard]] reclaim_terms terms_of(job_entry const& e,
                                         unit_ref const& ref) const;
    [[nodiscard]] milliseconds max_rack_wait(reclaim_terms const& terms,
                                             milliseconds estimate) const;
    /// Whether all urgent jobs of the team fit into its guarantee.
    [[nodiscard]] bool is_guaranteed(job_entry const& e) const;
    [[nodiscard]] double lost_work(milliseconds now, active_run const& a,
                                   step_spec const& s) const;
    [[nodiscard]] double delay_cost(milliseconds now, job_entry const& e,
                                    unit_ref const& ref) const;
    [[nodiscard]] ordering_key ordering_key_of(job_entry const& e,
                                               unit_id const& id,
                                               milliseconds wall) const;
    [[nodiscard]] bool fits_now(milliseconds now, job_entry const& e,
                                unit_ref const& ref,
                                std::vector<std::string> const& places) const;
    /// Accelerators of a service, as a pass of the schedule counts them.
    struct accelerator_count
    {
        std::int64_t capacity = 0;
        std::int64_t free = 0;
        std::int64_t urgent = 0;                   ///< held or reserved
        std::int64_t least_share = 0;              ///< of each lower priority
        std::map<std::int64_t, std::int64_t> held; ///< by priority
    };
    [[nodiscard]] std::map<std::string, accelerator_count>
    count_accelerators() const;
    [[nodiscard]] std::map<std::string, std::set<std::int64_t>>
    lower_priorities() const;
    /// Whether a lower priority would hold less than its least share with
    /// `less` accelerators less.
    [[nodiscard]] bool is_below_share(std::string const& service,
                                      std::int64_t priority,
                                      std::int64_t less = 0) const;
    /// Whether work of a lower priority may take `need`: from its least share,
    /// which a gang may exceed, or from what urgent work leaves.
    [[nodiscard]] bool may_use(milliseconds now, job_entry const& e,
                               std::string const& service,
                               unit_need const& need);
    /// Whether lower priorities may take `need` and leave enough.
    [[nodiscard]] bool leaves_headroom(milliseconds now,
                                       std::string const& service,
                                       unit_need const& need);
    // dispatcher_utilization.cpp
    void update_utilization(milliseconds now);
    void count_worker(milliseconds now, worker_view const& w,
                      service_utilization& c) const;
    [[nodiscard]] std::optional<std::string>
    service_of_spread_gang(unit_ref const& ref, active_run const& a) const;
    void count_waiting_step(job_entry const& e,
                            std::int64_t priority_utilization::*as);
    // dispatcher_advice.cpp
    /// Adds to what the unit avoids the workers that hold no ticket for it.
    void exclude_unadvised(milliseconds now, unit_ref const& ref,
                           std::string const& service, unit_need& need) const;
    void request_advice(milliseconds now, unit_ref const& ref, queue const& q,
                        unit_need const& need);
    [[nodiscard]] std::string const* ticket_of(milliseconds now,
                                               unit_ref const& ref,
                                               std::string const& worker) const;
    void emit_batch();

    std::int64_t token_;
    dispatch_limits limits_;
    milliseconds began_;
    listener listen_;
    bool deposed_ = false;
    bool changed_ = true; ///< something that placement depends on
    milliseconds scheduled_at_ = 0;
    std::int64_t next_batch_ = 1;
    std::int64_t stored_batch_ = 0;
    bool batch_sent_ = false;
    configuration config_;
    std::map<std::string, job_entry> jobs_; ///< not final, or not stored
    std::map<std::string, worker_view> workers_;
    std::map<unit_ref, active_run> active_;
    std::map<unit_ref, reservation> reservations_;
    placement_advice advice_;
    std::map<std::string, urgent_headroom> headroom_; ///< by service
    std::map<std::string, accelerator_count>
        counts_; ///< of this pass, by service
    /// Of this pass, by service and priority.
    std::map<std::pair<std::string, std::int64_t>,
             std::vector<worker_candidate>>
        candidates_;
    milliseconds utilization_at_ = 0;
    std::map<std::string, service_utilization>
        utilization_; ///< newest, by service
    std::map<std::string, service_utilization>
        pending_utilization_;     ///< of what waits
    std::deque<unit_ref> unsent_; ///< runs whose starts wait for the log
    std::set<std::string> dirty_;
    std::map<std::string, std::int64_t> final_batch_;
    std::set<std::string> unread_final_records_; ///< of jobs that ended here
    std::size_t next_number_ = 1;
    actions out_;
};

} // namespace jasminetrack::tasks
