#pragma once
/// \file
/// A small world for the dispatcher: workers with clocks and leases, a log
/// that fences writers, and a network that loses and delays. Deterministic by
/// its seed. Workers check on every start what must always hold.

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

/// How the network and the workers misbehave; shares from 0 to 1.
struct simulation_faults
{
    double lost_orders = 0;
    double lost_answers = 0;
    double late_orders = 0; ///< unanswered, carried out 2 to 12 s schedule
    double failing = 0;     ///< share of runs that fail
};

/// What a step's runs do, whatever the job says of them.
struct true_work
{
    milliseconds duration_ms = 1'000;
    bool always_fails = false;
};

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
    /// Phase of a job as readers of the log see it.
    [[nodiscard]] job_phase phase(std::string const& job) const;
    [[nodiscard]] int starts(std::string const& job) const;
    [[nodiscard]] int running(std::string const& job) const;
    [[nodiscard]] int ended(run_end how) const;
    [[nodiscard]] dispatcher& leader()
    {
        return *nodes_.at(leader_);
    }
    /// When every task of the job's first step had begun; -1: not yet.
    [[nodiscard]] milliseconds begun_at(std::string const& job) const;

    void configure(configuration const& c);
    void add_worker(std::string const& id, std::string const& rack,
                    resources capacity);
    void submit(std::string const& id, std::string const& queue, job_spec spec,
                true_work work = {});
    void cancel(std::string const& id);
    /// A repeat of the request reaches the dispatcher while what it has read
    /// of the job's progress is `records_behind` records old.
    void repeat(std::string const& id, std::size_t records_behind);
    /// A new dispatcher takes the role over; the old one goes on until it
    /// finds out.
    void take_over();
    void kill_leader();
    void crash_worker(std::string const& id);
    void disconnect_worker(std::string const& id, bool cut);
    void hang_worker(std::string const& id, bool hangs);
    void slow_worker(std::string const& id, double factor);
    void fail_worker(std::string const& id, bool fails);
    void drain_worker(std::string const& id);
    void remove_worker(std::string const& id);
    /// The advice service names the others only, for queues that are advised.
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
        double slowdown = 1; ///< times slower, as its gang is on several racks
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
        milliseconds epoch = 0; ///< world time of its start
        std::int64_t token = 0;
        milliseconds lease = 0;
        bool up = true;
        bool cut = false;
        bool hangs = false;
        bool fails = false;
        double slow = 1;
        std::map<task_run, sim_run> runs;
        std::map<task_id, std::int64_t> highest; ///< stopped or ended runs
        std::vector<ended_task> ends;
        std::int64_t next_end = 1;
        /// Ends up to this one do not count as noted: the lease expired
        /// after them, so their runs may have been started elsewhere.
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
    };

    void step();
    void perform(std::size_t node);
    void send(std::size_t node, renew_order const& o);
    void send(std::size_t node, start_order const& o);
    void send(std::size_t node, stop_order const& o);
    void send(std::size_t node, store_order const& o);
    void send(std::size_t node, advice_order const& o);
    renew_reply handle_renew(sim_worker& w, renew_order const& o);
    /// \param is_intended whether the order was sent to this life of the worker
    call_result handle_start(sim_worker& w, start_order const& o,
                             bool is_intended);
    call_result handle_stop(sim_worker& w, stop_order const& o);
    void work(sim_worker& w);
    void advance_gangs();
    void end_run(sim_worker& w, task_run const& run, run_end how);
    void check_start(sim_worker const& w, start_order const& o);
    [[nodiscard]] bool has_ticket(sim_worker const& w,
                                  start_order const& o) const;
    void acknowledge(sim_worker& w, std::int64_t upto);
    [[nodiscard]] milliseconds clock_of(sim_worker const& w) const;
    [[nodiscard]] step_spec const* step_of(task_run const& run) const;
    void schedule(milliseconds delay, std::function<void()> work);
    /// Carries an order out, now, late or never; answers unless lost.
    template <typename Reply>
    void deliver(std::string const& worker, std::function<Reply()> execute,
                 std::function<void(Reply)> answer,
                 std::function<void()> no_answer);
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
    bool log_down_ = false;
    std::map<std::string, std::string> log_; ///< newest record of each key
    std::map<std::string, std::vector<std::string>> history_; ///< of log_
    configuration config_;
    std::map<run_end, int> ended_;
    std::set<std::string> forbidden_;
    std::set<task_run> stray_starts_; ///< late starts at a schedule life
    std::vector<std::string> violations_;
};

} // namespace support
