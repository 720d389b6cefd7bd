#pragma once
/// \file
/// A simulation around the dispatcher: workers with clocks and leases, a log
/// that fences writers, and a network that loses and delays orders. It is
/// deterministic for a seed. Workers check the invariants on every start.

#include <jasminetrack/tasks/dispatcher.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace support
{

using namespace jasminetrack::tasks;

/// Faults of the network and the workers, as probabilities from 0 to 1.
struct simulation_faults
{
    double lost_orders = 0;
    double lost_answers = 0;
    double late_orders = 0; ///< not answered, carried out 2 to 12 s later
    double failing = 0;     ///< runs that fail
};

/// Actual behaviour of a job's runs, independent of its estimates.
struct true_work
{
    milliseconds duration_ms = 1'000;
    bool always_fails = false;
    /// Index of the task that crashes each worker that starts it; -1: none.
    std::int64_t crashing_task = -1;
    milliseconds crash_after_ms = 10; ///< from its start
};

/// How a crashed worker is back.
enum class comeback : std::uint8_t
{
    same_id,
    new_id, ///< at the address that it had
};

/// Runs one or more dispatchers in simulated time; see the file's comment.
class dispatch_simulation
{
public:
    explicit dispatch_simulation(unsigned seed, simulation_faults faults = {});

    [[nodiscard]] milliseconds now() const noexcept
    {
        return now_;
    }
    [[nodiscard]] std::vector<std::string> const& violations() const noexcept
    {
        return violations_;
    }
    /// \returns the phase of a job according to the log.
    [[nodiscard]] job_phase phase(std::string const& job) const;
    /// \returns how many starts of the job's tasks workers have accepted.
    [[nodiscard]] int starts(std::string const& job) const;
    /// \returns how many of the job's tasks are on workers now.
    [[nodiscard]] int running(std::string const& job) const;
    /// \returns how many of the job's tasks are on this worker now.
    [[nodiscard]] int running(std::string const& job,
                              std::string const& worker) const;
    /// \returns how many runs have ended in this latency.
    [[nodiscard]] int ended(run_end how) const;
    [[nodiscard]] dispatcher& leader()
    {
        return *nodes_.at(leader_);
    }
    /// \returns when all tasks of the job's first step had started; -1 before
    /// that.
    [[nodiscard]] milliseconds begun_at(std::string const& job) const;

    void configure(configuration const& c);
    /// \param address  the worker's id if empty
    void add_worker(std::string const& id, std::string const& rack,
                    resources capacity, std::string const& address = "");
    void submit(std::string const& id, std::string const& queue, job_spec spec,
                true_work work = {});
    void cancel(std::string const& id);
    /// Submits the job again to the dispatcher, with progress that is
    /// `records_behind` records old.
    void repeat(std::string const& id, std::size_t records_behind);
    /// Starts a new dispatcher. The old one continues until a worker or the log
    /// refuses its token.
    void take_over();
    /// From now on, a new dispatcher has the jobs only after a random time up
    /// to this one.
    void read_jobs_late(milliseconds max_ms) noexcept
    {
        max_jobs_read_ms_ = max_ms;
    }
    void kill_leader();
    /// \returns how many workers have crashed because of the job.
    [[nodiscard]] int crashes(std::string const& job) const;
    /// Restarts the worker's process without its runs.
    void crash_worker(std::string const& id);
    /// Ends the worker's process; it is back some seconds later.
    void crash_for_a_while(std::string const& id);
    /// Selects how workers are back that crash from now on.
    void set_comeback(comeback how) noexcept
    {
        comeback_ = how;
    }
    void disconnect_worker(std::string const& id, bool disconnected);
    void hang_worker(std::string const& id, bool hangs);
    void slow_worker(std::string const& id, double factor);
    void fail_worker(std::string const& id, bool fails);
    void drain_worker(std::string const& id);
    void remove_worker(std::string const& id);
    /// Lets the advice service deny the worker for all steps.
    void forbid_worker(std::string const& id);
    void log_down(bool down);
    void run_for(milliseconds ms);

private:
    struct sim_run
    {
        task_run run;
        resources held;
        milliseconds begun = 0; ///< -1: waits for its gang
        milliseconds arrived = 0;
        double done_ms = 0;  ///< work done, checkpointed part included
        double slowdown = 1; ///< above 1 if its gang spans several racks
        milliseconds total_ms = 0;
        milliseconds stop_at = -1;
        std::int64_t checkpoint_base = 0;
        bool will_fail = false;
    };
    struct sim_worker
    {
        worker_info info;
        std::int64_t incarnation = 1;
        double clock_rate = 1;
        milliseconds epoch = 0; ///< simulated time of its start
        std::int64_t token = 0;
        milliseconds lease = 0;
        bool up = true;
        bool disconnected = false;
        bool hangs = false;
        bool fails = false;
        double slow = 1;
        std::map<task_run, sim_run> runs;
        std::map<task_id, std::int64_t>
            highest; ///< newest run that ended or was stopped
        std::vector<ended_task> ends;
        std::int64_t next_end = 1;
        /// The dispatcher is not held to ends up to this one, as the lease
        /// expired after them and their runs may have been started elsewhere.
        std::int64_t expired_ends = 0;
    };
    struct sim_job
    {
        accepted_job job;
        true_work work;
        bool cancelled = false;
        milliseconds submitted = 0;
        int starts = 0;
        std::set<task_id> begun;
        milliseconds begun_at = -1;
        std::map<task_id, int> acknowledged_failures;
        std::set<task_id> acknowledged_done;
        std::set<unit_id> done_units;
        int failed_ends = 0;
        int crashes = 0; ///< of workers, caused by it
        /// Workers that crashed while they ran the task.
        std::map<task_id, int> crashed_under;
        /// Starts of the crashing task after the last permitted crash.
        int starts_too_late = 0;
    };

    /// Passes all jobs to the dispatcher, as the log has them now.
    void put_jobs(dispatcher& node);
    void step();
    void perform(std::size_t node);
    void send(std::size_t node, renew_order const& o);
    void send(std::size_t node, start_order const& o);
    void send(std::size_t node, stop_order const& o);
    void send(std::size_t node, store_order const& o);
    void send(std::size_t node, advice_order const& o);
    renew_reply handle_renew(sim_worker& w, renew_order const& o);
    /// \param is_intended  whether the order was sent to this incarnation
    call_result handle_start(sim_worker& w, start_order const& o,
                             bool is_intended);
    call_result handle_stop(sim_worker& w, stop_order const& o);
    void advance_worker(sim_worker& w);
    void advance_gangs();
    void end_run(sim_worker& w, task_run const& run, run_end how);
    [[nodiscard]] bool is_crashing(sim_run const& s) const;
    void crash_workers_of_crashing_tasks();
    /// \returns whether a worker with another id answers at its address.
    [[nodiscard]] bool is_replaced(std::string const& id) const;
    void bring_back(std::string const& id, comeback how);
    void check_crash_budget(start_order const& o, std::string const& name);
    void check_failed_job(log_record const& r);
    void check_start(sim_worker const& w, start_order const& o);
    [[nodiscard]] bool has_ticket(sim_worker const& w,
                                  start_order const& o) const;
    void acknowledge(sim_worker& w, std::int64_t upto);
    [[nodiscard]] milliseconds clock_of(sim_worker const& w) const;
    [[nodiscard]] step_spec const* step_of(task_run const& run) const;
    void schedule(milliseconds delay, std::function<void()> work);
    /// Delivers an order, or delays or drops it or its answer by the faults.
    template <typename Reply>
    void deliver(std::string const& worker, std::function<Reply()> execute,
                 std::function<void(Reply)> answer,
                 std::function<void(call_result)> no_answer);
    [[nodiscard]] bool chance(double share);
    void report_violation(std::string what);

    std::mt19937 random_;
    simulation_faults faults_;
    milliseconds now_ = 100'000;
    std::multimap<milliseconds, std::function<void()>> queue_;
    std::map<std::string, sim_worker> workers_;
    std::map<std::string, sim_job> jobs_;
    std::vector<std::shared_ptr<dispatcher>> nodes_;
    std::vector<std::int64_t> tokens_;
    std::size_t leader_ = 0;
    std::int64_t epoch_ = 0;
    milliseconds max_jobs_read_ms_ = 0; ///< 0: at once
    bool log_down_ = false;
    std::map<std::string, std::string> log_; ///< newest record of each key
    std::map<std::string, std::vector<std::string>>
        history_; ///< all records of each key
    configuration config_;
    std::map<run_end, int> ended_;
    std::set<std::string> forbidden_;
    comeback comeback_ = comeback::new_id;
    std::set<task_run>
        stray_starts_; ///< runs started by orders to an earlier incarnation
    std::vector<std::string> violations_;
};

} // namespace support
