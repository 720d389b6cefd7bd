#pragma once
/// \file
/// Model of a worker without I/O, for tests: accelerators, leases, tasks.

#include <jasminetrack/core/events.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace standins
{

using jasminetrack::core::milliseconds;

/// Behaviour of a task, parsed from its payload, such as
/// "run_ms=500;result=x;fail=1;checkpoint_ms=200". Unknown keys are ignored.
struct task_script
{
    milliseconds run_ms = 300;
    milliseconds checkpoint_ms = 50;
    bool fail = false;
    std::string result;
};

[[nodiscard]] task_script parse_script(std::string const& payload);

/// A change of a task on a worker, for checkers.
struct worker_event
{
    milliseconds at_ms = 0;
    std::string worker;
    std::string what; ///< prepared, started, done, failed, stopped, killed
    std::string task;
    std::string detail;
};

/// Tasks of one worker. Not safe for several threads.
class worker_model
{
public:
    worker_model(std::string name, int accelerators);

    [[nodiscard]] std::vector<worker_event> const& events() const noexcept
    {
        return events_;
    }
    /// While on, all tasks fail when they are prepared.
    void set_failing(bool on) noexcept
    {
        failing_ = on;
    }
    /// Without fencing the worker accepts orders of old epochs too. Used to
    /// check that the checkers detect the consequences.
    void set_fencing(bool on) noexcept
    {
        fencing_ = on;
    }
    /// Handles an order. \returns the report.
    [[nodiscard]] jasminetrack::core::worker_report_event
    handle_order(milliseconds now,
                 jasminetrack::core::worker_order const& order);
    /// Advances the time to `now`: ends runs and stops, kills tasks with an
    /// expired lease.
    void tick(milliseconds now);

private:
    struct task
    {
        jasminetrack::core::task_phase phase =
            jasminetrack::core::task_phase::pending;
        jasminetrack::core::accelerator_mask mask = 0;
        task_script script;
        milliseconds lease_until = 0;
        milliseconds ends_at = 0; ///< of the run or of the stop
        bool keeps_checkpoint = true;
        std::string detail;
    };

    /// Brings the tasks in line with an order and reports their statuses.
    void apply_orders(milliseconds now,
                      std::vector<jasminetrack::core::task_order> const& wanted,
                      milliseconds lease_ms,
                      jasminetrack::core::worker_report_event& report);
    void apply_order(milliseconds now, jasminetrack::core::task_order const& o,
                     milliseconds lease_ms);
    void prepare_pending(milliseconds now);
    void advance(milliseconds now, std::string const& name, task& t);
    void record_event(milliseconds now, std::string what,
                      std::string const& name, std::string detail = {});
    [[nodiscard]] bool holds_accelerators(task const& t) const noexcept;

    std::string name_;
    jasminetrack::core::accelerator_mask accelerators_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t full_epoch_ = 0;
    std::uint64_t full_sequence_ = 0;
    std::vector<jasminetrack::core::task_order> full_tasks_;
    bool failing_ = false;
    bool fencing_ = true;
    std::map<std::string, task> tasks_;
    std::vector<worker_event> events_;
};

} // namespace standins
