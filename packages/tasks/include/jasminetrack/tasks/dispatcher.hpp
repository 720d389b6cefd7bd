#pragma once
/// \file
/// Places the tasks of all jobs on the workers and monitors them to their end.
/// One process at a time holds the dispatcher role. Workers reject orders that
/// carry a lower fencing token than the highest one they have seen, which
/// shuts out earlier dispatchers.

#include <jasminetrack/tasks/decision.hpp>
#include <jasminetrack/tasks/detail/candidate_lists.hpp>
#include <jasminetrack/tasks/detail/crowding.hpp>
#include <jasminetrack/tasks/detail/departure_state.hpp>
#include <jasminetrack/tasks/detail/dispatcher_state.hpp>
#include <jasminetrack/tasks/detail/hold_state.hpp>
#include <jasminetrack/tasks/detail/rack_search.hpp>
#include <jasminetrack/tasks/detail/service_shares.hpp>
#include <jasminetrack/tasks/detail/suspect_counts.hpp>
#include <jasminetrack/tasks/detail/unit_steps.hpp>
#include <jasminetrack/tasks/detail/utilization_state.hpp>
#include <jasminetrack/tasks/dispatch_limits.hpp>
#include <jasminetrack/tasks/due_queue.hpp>
#include <jasminetrack/tasks/evacuations.hpp>
#include <jasminetrack/tasks/list_currency.hpp>
#include <jasminetrack/tasks/load_reading.hpp>
#include <jasminetrack/tasks/placement_advice.hpp>
#include <jasminetrack/tasks/role_proof.hpp>
#include <jasminetrack/tasks/speed_record.hpp>
#include <jasminetrack/tasks/worker_speeds.hpp>

#include <deque>
#include <functional>
#include <optional>

namespace jasminetrack::tasks
{

/// Decides placement, order, starts and stops; performs no I/O itself. The
/// caller performs the returned actions and passes their outcomes back. All
/// `now` arguments are milliseconds of one monotonic clock.
///
/// \code
/// dispatcher d(token, limits, now, listen);
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

    /// \param token   first of its fencing tokens, which are higher than those
    ///                of every earlier dispatcher; the next dispatcher's first
    ///                one is that of next_epoch()
    /// \param listen  called for each decision; may be empty
    dispatcher(std::int64_t token, dispatch_limits limits, milliseconds now,
               listener listen);

    /// \returns true after a worker rejected an order because it has seen a
    /// higher token; this dispatcher has lost the role then.
    [[nodiscard]] bool deposed() const noexcept
    {
        return deposed_;
    }
    /// \returns nullptr if the job is not known.
    [[nodiscard]] job_progress const* progress_of(std::string const& id) const;
    /// \returns nullptr if the worker is not known.
    [[nodiscard]] worker_view const* find_worker(std::string const& id) const;
    [[nodiscard]] std::size_t open_jobs() const noexcept
    {
        return jobs_.size();
    }
    /// \returns the number of jobs whose final record the node has not read
    /// back from the log.
    [[nodiscard]] std::size_t unread_final_records() const noexcept
    {
        return unread_final_records_.size();
    }
    [[nodiscard]] std::size_t reservations() const noexcept
    {
        return reservations_.size();
    }

    /// \returns the newest utilization by service. It is refreshed at most once
    /// a second.
    [[nodiscard]] std::map<std::string, service_utilization> const&
    utilization() const noexcept
    {
        return utilization_.newest;
    }

    /// \returns the load of each service, for the admission of new jobs.
    [[nodiscard]] load_reading read_load(milliseconds now) const;

    /// \returns whether the list of workers is current, so that starts may rely
    /// on it.
    [[nodiscard]] bool knows_workers(milliseconds now) const noexcept
    {
        return list_currency_.is_current(now);
    }

    /// Called by a successor whose jobs are not all read yet. Until
    /// on_jobs_read() it renews leases and does nothing else: it acknowledges
    /// no ends, stops no runs and starts none, as the jobs that it does not
    /// know may be among those to come.
    void await_jobs() noexcept
    {
        jobs_read_ = false;
    }
    /// Every job that earlier dispatchers may have started was added, if it has
    /// not ended.
    void on_jobs_read(milliseconds now);
    /// All jobs and cancellations that the log held at `read_at` were passed
    /// on. After the first call, nothing is started without a recent read.
    void on_jobs_current(milliseconds now, milliseconds read_at);
    void set_configuration(configuration const& c);
    /// Replaces the evacuated data centers.
    /// \param as_of  the log held no later records of operators at this time
    void set_evacuations(milliseconds now, std::set<std::string> data_centers,
                         milliseconds as_of);
    /// Takes over which workers an earlier dispatcher found to be slower,
    /// before they are listed. Has no effect unless speeds are learned.
    void set_slower_workers(milliseconds now,
                            std::vector<slower_worker> const& slower);
    /// Adds a job. A job that this dispatcher has already finished is ignored,
    /// as the progress that was read may be older than its final record.
    /// \param progress  as the node has read it from the log
    void put_job(milliseconds now, accepted_job const& job,
                 job_progress progress);
    void cancel_job(milliseconds now, std::string const& id);
    /// The node has read the job's final record from the log and will not
    /// offer the job again.
    void on_final_record_read(std::string const& id);
    void put_worker(milliseconds now, worker_info const& info);
    /// The platform's list was read to its end, and all that it says was passed
    /// on. Nothing is started without a recent read.
    /// \param as_of  the list had no later entries at this time
    void on_list_read(milliseconds now, milliseconds as_of);
    /// A read of the list has failed.
    void on_list_read_failed() noexcept;
    /// The platform's list no longer contains the worker.
    void unlist_worker(milliseconds now, std::string const& id);
    void on_renew(milliseconds now, renew_reply const& reply);
    void on_start(milliseconds now, start_reply const& reply);
    void on_stop(milliseconds now, stop_reply const& reply);
    void on_advice(milliseconds now, advice_reply const& reply);
    /// The log has stored this batch and all earlier ones.
    void on_stored(milliseconds now, std::int64_t batch);
    /// The log works since this time, so that the list of workers may be older;
    /// before the list is read.
    void on_log_back(milliseconds since) noexcept;
    /// What shows that it holds the role; the caller reports proofs to it.
    [[nodiscard]] role_proof& role() noexcept
    {
        return role_;
    }
    /// Runs all periodic work.
    /// \param wall  wall-clock time, milliseconds since 1970
    void tick(milliseconds now, milliseconds wall);
    /// \returns the actions to perform since the last call, in order.
    [[nodiscard]] actions take_actions();

private:
    using member_phase = detail::member_phase;
    using member = detail::member;
    using active_run = detail::active_run;
    using job_entry = detail::job_entry;
    using waiting_units = detail::waiting_units;
    using candidate_key = detail::candidate_key;

    [[nodiscard]] task_run run_of(unit_ref const& ref, std::int64_t run,
                                  std::size_t index, bool gang) const;
    [[nodiscard]] std::optional<unit_ref> ref_of(task_run const& run);
    [[nodiscard]] job_entry* find_job(std::string const& id);
    [[nodiscard]] unit* find_unit(unit_ref const& ref);
    /// \returns the queue on whose terms the job runs; nullptr for a job of an
    /// earlier build whose queue no configuration had.
    [[nodiscard]] static queue const* queue_of(job_entry const& e);
    void apply_queue(job_entry& e) const;
    void log_decision(std::string step, std::string job,
                      std::string text) const;
    void log_job_decision(std::string step, job_entry const& e,
                          std::string text) const;
    void mark_dirty(std::string const& job);

    // dispatcher_fencing.cpp
    /// \returns the view of the worker; a new one has a token of its own.
    [[nodiscard]] worker_view& find_or_add_worker(std::string const& id);
    /// Orders to the worker carry a higher token from now on. Its next renewal
    /// is sent at once.
    void raise_token(milliseconds now, worker_view& w);
    /// The worker's process has accepted the newest token, so that no start
    /// with a lower one can be carried out there.
    void accept_token(milliseconds now, worker_view& w);
    /// The start of the member may be carried out by a later process.
    void note_late_start(unit_ref const& ref, std::size_t index,
                         milliseconds until);
    /// \returns until when a start of the member's task may be carried out by a
    /// later process of its worker; 0 if none may.
    [[nodiscard]] milliseconds late_start_end(unit_ref const& ref,
                                              std::size_t index,
                                              member const& m) const;
    /// \returns whether a start that can arrive until then may be carried out,
    /// or go on, at a later process of the worker.
    [[nodiscard]] bool may_start_late(milliseconds now,
                                      std::string const& worker,
                                      milliseconds until) const;
    /// \returns nullptr if no start of the waiting unit can come late, so that
    /// it may be placed anywhere.
    [[nodiscard]] detail::late_sends const*
    open_late_starts(milliseconds now, job_entry const& e,
                     unit_ref const& ref) const;
    /// Takes over what an earlier dispatcher has recorded of the waiting unit.
    void adopt_late_starts(job_entry& e, unit_ref const& ref,
                           unit const& u) const;
    /// None of the waiting unit's starts can come late any more.
    void drop_late_starts(job_entry& e, unit_ref const& ref);
    /// Excludes all other places of a unit with starts that may come late, or
    /// forgets these if none can.
    void keep_places(milliseconds now, job_entry& e, unit_ref const& ref,
                     unit_need& need);
    /// Gives each member whose start may come late its earlier worker.
    /// \returns whether that is possible.
    [[nodiscard]] bool arrange_members(milliseconds now, job_entry const& e,
                                       unit_ref const& ref,
                                       std::vector<std::string>& places) const;
    /// Before the view is erased: tokens of it are not used again.
    void drop_worker(milliseconds now, worker_view const& w);
    /// \returns whether the refusal of an order with this token shows that
    /// another dispatcher has the role. Else this one has sent the worker a
    /// higher token itself.
    [[nodiscard]] bool is_deposing(std::string const& worker,
                                   std::int64_t token) const;

    // dispatcher_workers.cpp, dispatcher_renewals.cpp, dispatcher_replies.cpp
    /// Handles a restart of the worker: ends the runs of its earlier
    /// incarnation and delays starts there while late orders may arrive.
    void start_incarnation(milliseconds now, worker_view& w,
                           std::int64_t incarnation, std::string const& why);
    /// \returns the run as it counts at the worker's next incarnation, which
    /// may carry out its start.
    [[nodiscard]] hosted_run stray_run(milliseconds now, hosted_run const& o,
                                       std::size_t index,
                                       member const& m) const;
    /// \returns whether a queue or a job uses the service.
    [[nodiscard]] bool is_used(std::string const& service) const;
    void log_capacity(worker_view const& w, worker_info const& info) const;
    static void record_remaining_time(milliseconds now, worker_view& w,
                                      worker_info const& info);
    [[nodiscard]] std::map<task_run, hosted_run>
    unconfirmed_starts(worker_view const& w) const;
    void send_due_renewals(milliseconds now);
    void send_renewal(milliseconds now, worker_view& w, bool wait);
    /// Sends the worker's next renewal at `due`, or after the answer to the one
    /// that is under way.
    void schedule_renewal(std::string const& worker, worker_view const& w,
                          milliseconds due);
    [[nodiscard]] milliseconds next_renewal(milliseconds now,
                                            worker_view const& w) const;
    /// \returns the pause between renewals of a worker that hosts no run; 0 if
    /// its renewals follow each other.
    [[nodiscard]] milliseconds idle_pause(worker_view const& w) const;
    void record_unresponsive(milliseconds now, worker_view& w,
                             call_result result);
    void record_answer(milliseconds now, worker_view& w, renew_reply const& r);
    /// \param clock_ms  the worker's, in its first answer
    /// \returns until when earlier dispatchers may have granted it leases, on
    /// its clock.
    void note_earlier_leases(worker_view& w, milliseconds clock_ms) const;
    void note_late_leases(milliseconds now, worker_view& w) const;
    /// Handles an answer that arrives before all jobs are read.
    void keep_lease(milliseconds now, worker_view& w, renew_reply const& r,
                    bool is_first_answer);
    /// Looks for what time alone changes: expired leases, runs without
    /// progress, and drains that come to their end.
    void monitor(milliseconds now);
    /// Processes the ended runs of a reply that are new.
    void process_ended(milliseconds now, worker_view& w, renew_reply const& r);
    /// Updates members from the running tasks of a reply, and stops tasks that
    /// should not run there.
    void process_running(milliseconds now, worker_view& w,
                         renew_reply const& r);
    /// The member has run for so long that it is not suspected any more.
    void note_proven(unit_ref const& ref, std::size_t index);
    /// \param clock_ms  the worker's, when it listed the run
    void confirm_running(milliseconds now, unit_ref const& ref, member& m,
                         milliseconds clock_ms);
    /// Ends runs that should be on the worker but are certainly not, or sends
    /// their starts again.
    void process_missing(milliseconds now, worker_view& w,
                         renew_reply const& r);
    void stop_unexpected_run(milliseconds now, worker_view& w,
                             running_task const& t);
    /// \returns whether a worker has listed an earlier run of the unit, which
    /// has not ended since.
    [[nodiscard]] bool has_stale_run(unit_ref const& ref);
    void record_outcome(milliseconds now, worker_view& w,
                        std::string const& job, run_end how);
    void update_pace(milliseconds now, worker_view& w, unit_ref const& ref,
                     member& m, milliseconds clock_ms, std::int64_t percent);
    void send_stop(milliseconds now, worker_view& w, task_run const& run);

    // dispatcher_speeds.cpp
    void observe_speed(milliseconds now, worker_view const& w,
                       unit_ref const& ref, member const& m,
                       milliseconds clock_ms, std::int64_t percent);
    /// Estimates the speeds anew if that is due, and logs what has changed.
    void update_speeds(milliseconds now);
    [[nodiscard]] worker_speed speed_of(milliseconds now,
                                        worker_view const& w) const;
    [[nodiscard]] speed_preference preferred_speeds(milliseconds now,
                                                    job_entry const& e,
                                                    unit_ref const& ref) const;

    // dispatcher_losses.cpp
    void check_lost_workers(milliseconds now);
    void end_expired_runs(milliseconds now, worker_view& w);
    [[nodiscard]] bool have_leases_ended(milliseconds now,
                                         worker_view const& w) const;
    [[nodiscard]] milliseconds late_lease_end(worker_view const& w) const;
    [[nodiscard]] milliseconds
    longest_late_lease(milliseconds now,
                       std::vector<std::string> const& places) const;
    void adopt_late_lease(worker_view& w, unit const& u) const;
    void settle_worker(milliseconds now, worker_view& w);
    [[nodiscard]] milliseconds unreached_runs_end(worker_view const& w) const;
    [[nodiscard]] std::string expired_lease(worker_view const& w) const;
    [[nodiscard]] milliseconds late_run_end(milliseconds now,
                                            worker_view const& w,
                                            task_run const& run,
                                            unit_ref const& ref) const;
    /// \returns after how long each lease has ended, on any worker's clock.
    [[nodiscard]] milliseconds longest_lease() const noexcept;
    /// Ends the runs on a lost worker, except those in `kept`.
    void end_lost_runs(milliseconds now, worker_view& w, std::string const& why,
                       std::map<task_run, hosted_run> const& kept = {});
    /// Notes which worker is at the address, and that another one has been
    /// replaced there.
    void note_address(milliseconds now, worker_view& w);
    void forget_address(worker_view const& w);
    void log_lost_worker(milliseconds now, worker_view const& w,
                         std::size_t runs, std::string const& why) const;
    void log_lost_run(milliseconds now, worker_view const& w,
                      task_run const& run, unit_ref const& ref) const;

    // dispatcher_crashes.cpp
    /// Notes for the run's task that its worker was lost.
    /// \param crashed  false: the worker may only be silent
    void record_loss(milliseconds now, worker_view const& w,
                     task_run const& run, unit_ref const& ref, bool crashed);
    /// \returns the verdict on a unit that waits for its next run. Neither
    /// silent workers nor a fleet that starts runs everywhere delay it for
    /// good.
    [[nodiscard]] crash_verdict verdict_on(milliseconds now, job_entry const& e,
                                           unit_ref const& ref) const;
    /// \returns what a loss counts as while a run of the unit on these workers
    /// is not established. Suspects that are being started there are grouped
    /// with it from now on.
    [[nodiscard]] crash_exposure
    join_suspects(unit_ref const& ref, std::vector<std::string> const& places);
    [[nodiscard]] crash_exposure exposure_of(worker_view const& w,
                                             active_run const& a,
                                             member const& m) const;
    /// Earlier losses of the worker were crashes, up to this incarnation.
    void confirm_losses(milliseconds now, std::string const& worker,
                        std::int64_t before_incarnation);
    /// \returns whether the unit had such a loss.
    bool confirm_losses_of(unit_ref const& ref, std::string const& worker,
                           std::int64_t before_incarnation);
    /// Earlier losses of this incarnation were only silence.
    void dismiss_losses(std::string const& worker, std::int64_t incarnation);
    /// Counts workers as crashed that stay away.
    void confirm_gone_workers(milliseconds now);
    /// Notes the loss if the adopted run was sent to an earlier incarnation.
    void record_loss_before_adoption(worker_view const& w, unit_ref const& ref,
                                     std::size_t index, std::int64_t sent_to);
    void adopt_losses(unit_ref const& ref, unit const& u);
    /// \returns whether it has runs that are not established, or capacity
    /// reserved for some.
    [[nodiscard]] bool is_starting_runs(worker_view const& w) const;
    void mark_starting_candidates(candidate_key const& key);
    void log_given_up(job_entry const& e, unit_id const& id,
                      unit const& u) const;

    // dispatcher_starts.cpp, dispatcher_runs.cpp, dispatcher_monitor.cpp
    /// \param lent  whether it starts within the headroom for urgent work
    void place(milliseconds now, job_entry& e, unit_ref const& ref,
               std::vector<std::string> const& places, bool lent);
    [[nodiscard]] std::size_t
    count_racks(std::vector<std::string> const& places) const;
    void send_starts(milliseconds now, unit_ref const& ref);
    void send_start(milliseconds now, job_entry& e, unit_ref const& ref,
                    std::size_t index);
    bool resend_start(milliseconds now, unit_ref const& ref, std::size_t index);
    /// Sends the starts that had to wait for the list of workers, if it is
    /// current now. The next answer of the worker may be seconds away.
    void send_deferred_resends(milliseconds now);
    /// \returns whether the member's worker has not restarted since the member
    /// was placed.
    [[nodiscard]] bool is_on_recorded_process(unit_ref const& ref,
                                              std::size_t index);
    void member_started(milliseconds now, unit_ref const& ref,
                        std::size_t index, milliseconds clock_ms);
    /// Notes in the job's progress if all starts of the run are answered.
    void note_answered_run(milliseconds now, job_entry& e, unit_ref const& ref);
    /// Records the answers to starts that no other record has taken along.
    void record_answers(milliseconds now);
    void start_failed(milliseconds now, unit_ref const& ref, std::size_t index,
                      call_result result);
    /// \returns whether no job can have been cancelled for so long that
    /// nothing of it may be started.
    [[nodiscard]] bool knows_cancellations(milliseconds now) const noexcept;
    [[nodiscard]] bool can_start(milliseconds now, unit_ref const& ref,
                                 active_run const& a) const;
    void release_member(milliseconds now, unit_ref const& ref,
                        std::size_t index);
    void release_or_await(milliseconds now, unit_ref const& ref,
                          std::size_t index);
    void await_late_start(milliseconds now, unit_ref const& ref,
                          std::size_t index);
    /// \returns whether the unit has further runs after this one.
    [[nodiscard]] bool is_placed_again(unit_ref const& ref) const;
    [[nodiscard]] static bool may_start_late(worker_view const& w,
                                             member const& m);
    /// A send that awaits its answer may get none.
    static void note_unanswered(member& m) noexcept;
    /// Starts of an earlier dispatcher may have got no answer.
    static void note_earlier_sends(member& m) noexcept;
    /// Releases the members that only await late starts.
    void release_awaiting(milliseconds now, unit_ref const& ref);
    /// Ends a run and stops its remaining members.
    /// \param ended  member that has already ended on its worker
    void end_run(milliseconds now, unit_ref const& ref, std::string const& why,
                 std::optional<std::size_t> ended = std::nullopt);
    /// The member's run has ended at its worker.
    static void note_arrived(member& m) noexcept;
    void run_ended(milliseconds now, unit_ref const& ref, std::size_t index,
                   run_end how);
    /// Marks a unit as done after an earlier run, taken for lost, turns out to
    /// have completed.
    void complete_from_earlier_run(milliseconds now, unit_ref const& ref);
    void count_failure(milliseconds now, job_entry& e, unit_ref const& ref,
                       unit& u, active_run& a, std::string const& worker);
    void finish_run(milliseconds now, unit_ref const& ref);
    void set_unit_phase(job_entry& e, unit& u, unit_phase phase);
    /// Completes or fails the job if that is due, or updates its phase.
    void update_job_phase(milliseconds now, job_entry& e);
    void finish_job(milliseconds now, job_entry& e, job_phase phase);
    /// Takes over the runs that an earlier dispatcher has placed.
    void adopt_runs(milliseconds now, job_entry& e);
    /// \param incarnation  to which the runs were sent; 0: not known
    void adopt_worker(milliseconds now, std::string const& id,
                      std::int64_t incarnation);
    void adopt_workers(milliseconds now, job_progress const& p);
    /// Ends runs that make no progress and quarantines their workers.
    void check_hanging(milliseconds now);
    /// Ends runs that cannot complete before their draining worker leaves.
    void check_draining(milliseconds now);
    [[nodiscard]] std::optional<std::size_t>
    member_index(unit_ref const& ref, active_run const& a,
                 task_run const& run) const;

    // dispatcher_schedule.cpp
    void schedule(milliseconds now, milliseconds wall);
    [[nodiscard]] milliseconds max_stop_time() const noexcept;
    /// \returns whether a reservation on the worker is of use.
    [[nodiscard]] bool is_reservable(unit_ref const& ref,
                                     std::string const& worker) const;
    void process_reservations(milliseconds now);
    void drop_reservation(unit_ref const& ref);
    [[nodiscard]] std::vector<waiting_units> collect_waiting(milliseconds now,
                                                             milliseconds wall);
    /// Sets beside which runs the unit may be started. The candidates must be
    /// those of this pass.
    void limit_companions(milliseconds now, candidate_key const& key,
                          unit_need& need);
    /// \returns places for the unit and the stops that they need; nothing if it
    /// should wait.
    [[nodiscard]] std::optional<reclaim_plan>
    plan_unit(milliseconds now, job_entry const& e, unit_ref const& ref,
              unit_need const& need,
              std::vector<worker_candidate> const& candidates);
    /// Places the unit, or sends the stops that make room for it.
    void place_or_reclaim(milliseconds now, job_entry& e, unit_ref const& ref,
                          std::string const& service, unit_need const& need,
                          reclaim_plan const& plan);
    /// \returns false if no unit of this step can be placed now.
    bool start_unit(milliseconds now, waiting_units const& w,
                    std::int64_t index);
    void reclaim(milliseconds now, unit_ref const& ref,
                 reclaim_plan const& plan, resources const& each);
    /// \returns the candidates of a service for this pass, sorted by id.
    [[nodiscard]] std::vector<worker_candidate>&
    candidates_of(milliseconds now, candidate_key const& key);
    void update_candidate(milliseconds now, worker_view const& w,
                          candidate_key const& key,
                          worker_candidate& candidate) const;
    /// Updates the candidates of these workers for the rest of the pass.
    void update_candidates(milliseconds now,
                           std::set<std::string> const& workers);
    /// \returns why nothing is started on the worker now; nothing if it may.
    [[nodiscard]] std::optional<unfit_reason>
    unfit_reason_of(milliseconds now, worker_view const& w) const;
    /// \returns the tasks of the unit's step on the worker.
    [[nodiscard]] std::int64_t count_same_step(unit_ref const& ref,
                                               std::string const& worker) const;
    /// Whether the worker, with the unit's own tasks, is of the unit's service
    /// and label and within its limit of tasks.
    [[nodiscard]] bool is_eligible(unit_ref const& ref,
                                   std::string const& worker) const;
    void count_same_step(std::vector<worker_candidate>& candidates,
                         unit_ref const& ref, unit_need const& need) const;
    [[nodiscard]] unit_need need_of(milliseconds now, job_entry const& e,
                                    unit_ref const& ref) const;
    [[nodiscard]] reclaim_terms terms_of(milliseconds now, job_entry const& e,
                                         unit_ref const& ref,
                                         unit_need const& need) const;
    // dispatcher_guarantees.cpp
    /// Counts what the urgent work of each team holds and wants.
    void count_urgent_use();
    /// \returns whether the guarantee of the job's team covers a unit of the
    /// step.
    [[nodiscard]] bool is_guaranteed(job_entry const& e,
                                     step_spec const& step) const;
    /// \returns whether enough tasks of the unit's step are at work without it,
    /// if it lasts.
    [[nodiscard]] bool may_be_missed(job_entry const& e,
                                     unit_ref const& ref) const;
    /// \returns whether a candidate of the list offers to stop the unit's run.
    [[nodiscard]] bool may_stop(candidate_key const& key, job_entry const& e,
                                unit_ref const& ref) const;
    [[nodiscard]] stoppable_run stoppable_of(milliseconds now,
                                             worker_view const& w,
                                             hosted_run const& o) const;
    void list_stoppable(milliseconds now, worker_view const& w,
                        candidate_key const& key,
                        worker_candidate& candidate) const;
    /// Plans stops of what other teams hold beyond their guarantees, of lasting
    /// work as well, if the team's guarantee covers the unit.
    /// \param terms  of a unit that found no places without such stops
    [[nodiscard]] std::optional<reclaim_plan>
    claim_guarantee(milliseconds now, job_entry const& e, unit_ref const& ref,
                    unit_need const& need, reclaim_terms terms);

    // dispatcher_evacuations.cpp
    /// \returns whether the views of the jobs, the workers and the evacuations
    /// allow starts.
    [[nodiscard]] bool has_current_views(milliseconds now) const noexcept;
    // dispatcher_departures.cpp
    /// Counts a departure if the entry shows that the worker begins to drain.
    void note_drain(milliseconds now, worker_view const& w,
                    worker_info const& info);
    /// Counts a departure unless the worker was draining.
    void note_lost_worker(milliseconds now, worker_view const& w);
    /// Counts a run that ends as its worker has left.
    void note_lost_run(milliseconds now, worker_view const& w,
                       unit_ref const& ref);
    /// Ends the runs with workers that leave, each at the time for it.
    void plan_drains(milliseconds now);
    /// \returns nothing if no worker of the run leaves.
    [[nodiscard]] std::optional<leaving_run>
    leaving_run_of(milliseconds now, unit_ref const& ref,
                   active_run const& a) const;
    void end_for_departure(milliseconds now, unit_ref const& ref,
                           drain_reason why);
    [[nodiscard]] departure_wait_terms
    wait_terms_of(milliseconds now, job_entry const& e, unit_ref const& ref,
                  unit_need const& need, std::int64_t exposed) const;
    /// \returns whether departures endanger the unit on workers of its service
    /// that are chosen at random.
    [[nodiscard]] bool avoids_departures(milliseconds now, job_entry const& e,
                                         unit_need const& need) const;
    /// \returns whether the unit waits until workers have left.
    [[nodiscard]] bool
    awaits_departures(milliseconds now, job_entry const& e, unit_ref const& ref,
                      unit_need const& need,
                      std::vector<std::string> const& places);
    /// \returns " moved=NUMBER" for a log line; empty if the setting is off.
    [[nodiscard]] std::string moved_text(std::int64_t moves) const;
    // dispatcher_waits.cpp
    /// \returns whether something must end before the unit may run.
    [[nodiscard]] bool awaits_earlier_run(milliseconds now, job_entry const& e,
                                          unit_ref const& ref);
    /// \returns whether the headroom for urgent work keeps the unit out, which
    /// is counted. Notes in `need` if the unit starts within it.
    [[nodiscard]] bool is_kept_out(milliseconds now, job_entry const& e,
                                   std::string const& service, unit_need& need);
    /// Notes since when the service has been idle for the step's units.
    void note_idleness(milliseconds now, waiting_units const& w,
                       unit_need const& need);
    /// Sets whether the unit may wait by choice.
    void limit_wait(milliseconds now, job_entry const& e, unit_ref const& ref,
                    unit_need& need);
    [[nodiscard]] ordering_key ordering_key_of(milliseconds now,
                                               job_entry const& e,
                                               unit_id const& id) const;
    // dispatcher_load.cpp
    /// Adds the work of the job's units that wait and have not expired.
    void add_waiting_work(milliseconds now, job_entry const& e,
                          service_reading& load) const;
    void add_running_work(milliseconds now, unit_ref const& ref,
                          active_run const& a, service_reading& load) const;
    // dispatcher_utilization.cpp
    void update_utilization(milliseconds now);
    // dispatcher_holds.cpp
    /// Counts the units that wait by what they wait for, and logs what holds
    /// the jobs that have nothing running.
    void update_holds(milliseconds now, milliseconds wall);
    /// \returns what holds the job; nothing if a task of it runs, or none
    /// could.
    [[nodiscard]] std::optional<detail::held_unit> hold_of(milliseconds now,
                                                           milliseconds wall,
                                                           job_entry const& e,
                                                           hold_counts& counts);
    /// \returns what a unit that is not done waits for; nothing if it runs.
    [[nodiscard]] std::optional<hold_reason>
    hold_of(milliseconds now, job_entry const& e, unit_ref const& ref);
    [[nodiscard]] hold_reason
    hold_of_waiting(milliseconds now, job_entry const& e, unit_ref const& ref);
    /// \returns what a unit waits for that only lacks a place.
    [[nodiscard]] hold_reason hold_of_placement(milliseconds now,
                                                job_entry const& e,
                                                unit_ref const& ref,
                                                queue const& q, unit_need need);
    // dispatcher_hold_log.cpp
    /// \returns the room of the service at the newest update of the holds.
    [[nodiscard]] detail::service_room& room_of(milliseconds now,
                                                std::string const& service);
    void add_to_room(milliseconds now, worker_view const& w,
                     detail::service_room& room) const;
    void log_hold(milliseconds now, milliseconds wall, hold_change const& c);
    // dispatcher_isolation.cpp
    /// Starts nothing else on some workers until the unit can start alone
    /// there.
    /// \returns whether it did.
    bool clear_workers(milliseconds now, job_entry const& e,
                       unit_ref const& ref, std::string const& service,
                       unit_need need);
    /// Starts the unit on the workers that were cleared for it, once nothing is
    /// being started there.
    void start_on_cleared(milliseconds now, job_entry& e, unit_ref const& ref,
                          std::string const& service, unit_need const& need);
    /// Drops the clearances that last too long or that no unit waits for.
    void drop_old_clearances(milliseconds now);
    void drop_clearance(unit_ref const& ref);
    /// Urgent work does not wait for workers that are cleared for other work.
    void drop_clearances_below(std::int64_t priority,
                               std::string const& service);
    /// \returns whether many suspects waited in the latest pass.
    [[nodiscard]] bool has_many_suspects(std::string const& service) const;
    /// \returns how many of the workers start other runs than suspects.
    [[nodiscard]] std::int64_t
    count_new_isolating(std::set<std::string> const& workers) const;
    /// \returns whether those of these workers that start other runs may be
    /// kept for suspects.
    [[nodiscard]] bool may_isolate_on(std::string const& service,
                                      std::vector<std::string> const& places);
    // dispatcher_advice.cpp
    /// Excludes the workers for which the unit has no valid ticket.
    void exclude_unadvised(milliseconds now, unit_ref const& ref,
                           std::string const& service, unit_need& need) const;
    void request_advice(milliseconds now, unit_ref const& ref, queue const& q,
                        unit_need const& need);
    [[nodiscard]] std::string const* ticket_of(milliseconds now,
                                               unit_ref const& ref,
                                               std::string const& worker) const;
    /// Stores the changed progress of jobs, one batch at a time.
    void emit_batch(milliseconds now);
    /// Drops what the job can do without, or the job, if it does not fit.
    void bound_record(milliseconds now, job_entry& e);

    std::int64_t token_;           ///< its first one
    std::int64_t next_view_token_; ///< first one of workers that are new
    dispatch_limits limits_;
    milliseconds created_at_;
    /// When the view of a worker was last dropped, so that nothing is known of
    /// the orders to it; 0: none was.
    milliseconds unknown_orders_at_ = 0;
    role_proof role_;
    listener listen_;
    bool deposed_ = false;
    bool jobs_read_ = true; ///< false: await_jobs() was called
    /// Time of the newest read of the jobs; nothing: on_jobs_current() was not
    /// called yet.
    std::optional<milliseconds> jobs_current_at_;
    bool changed_ = true; ///< an input of placement since the last pass
    /// The configuration is new: some jobs may have no attempts left.
    bool attempts_changed_ = false;
    milliseconds wall_offset_ms_ = 0; ///< wall-clock time less monotonic time
    milliseconds scheduled_at_ = 0;
    milliseconds first_pass_at_ = -1; ///< -1: none yet
    std::int64_t next_batch_ = 1;
    std::int64_t stored_batch_ = 0;
    bool batch_sent_ = false;
    configuration config_;
    std::map<std::string, job_entry> jobs_;
    std::map<std::string, worker_view> workers_;
    list_currency list_currency_;
    evacuations evacuations_;
    /// Id of the worker that was listed last, by address.
    std::map<std::string, std::string> holder_of_address_;
    /// Units with a loss that may be a crash or only silence, by worker.
    std::map<std::string, std::set<unit_ref>> unclear_losses_;
    due_queue renewals_; ///< workers without a renewal under way
    /// Workers without runs whose first renewal is under way.
    std::set<std::string> first_contacts_;
    /// Workers with ends that are processed and not yet acknowledged to them.
    std::set<std::string> unacknowledged_;
    milliseconds monitored_at_ = 0;
    std::map<unit_ref, active_run> active_;
    std::map<unit_ref, detail::reservation> reservations_;
    std::map<unit_ref, detail::clearance> clearances_;
    std::set<std::string> cleared_workers_; ///< the places of `clearances_`
    /// Units of which a worker has listed an earlier run; it may have ended.
    std::set<unit_ref> stale_units_;
    /// Members of adopted runs that are absent at their workers and cannot be
    /// started there yet.
    std::set<std::pair<unit_ref, std::size_t>> deferred_resends_;
    placement_advice advice_;
    detail::departure_state departures_;
    detail::service_shares shares_;
    urgent_use urgent_use_; ///< in the newest scheduling pass
    worker_speeds speeds_;
    speed_record_writer speed_writer_;
    detail::candidate_lists candidates_;
    detail::rack_search racks_;
    detail::suspect_counts suspects_;
    detail::crowding crowding_;
    detail::hold_state holds_;
    detail::utilization_state utilization_;
    std::deque<unit_ref> unsent_; ///< runs whose starts wait for the log
    std::set<std::string> dirty_; ///< jobs whose progress is not yet in a batch
    /// Jobs with answers to starts that are in no batch, and since when.
    std::map<std::string, milliseconds> unrecorded_answers_;
    /// Batch that records the end of each finished job.
    std::map<std::string, std::int64_t> final_batch_;
    /// Jobs finished here whose final record the node has not read back.
    std::set<std::string> unread_final_records_;
    std::size_t next_number_ = 1;
    actions out_;
};

} // namespace jasminetrack::tasks
