#pragma once
/// \file
/// A stand-in worker without I/O: accelerators, leases, tasks, call slots.

#include <jasminetrack/core/events.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace standins
{

using jasminetrack::core::milliseconds;

/// What a task's payload asks of the stand-in: "run_ms=500;result=x;fail=1;
/// checkpoint_ms=200". Unknown words are skipped.
struct task_script
{
    milliseconds run_ms = 300;
    milliseconds checkpoint_ms = 50;
    bool fail = false;
    std::string result;
};

[[nodiscard]] task_script parse_script(std::string const& payload);

/// What a worker did, for checkers.
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
    /// All tasks fail from now on.
    void set_failing(bool on) noexcept
    {
        failing_ = on;
    }
    /// Without fencing it obeys orders of any epoch; for broken variants.
    void set_fencing(bool on) noexcept
    {
        fencing_ = on;
    }
    /// Takes an order. \returns the report.
    [[nodiscard]] jasminetrack::core::worker_report_event
    handle_order(milliseconds now,
                 jasminetrack::core::worker_order const& order);
    /// Lets time pass: runs end, leases lapse.
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

    /// Obeys the tasks of an order and reports on them.
    void obey(milliseconds now,
              std::vector<jasminetrack::core::task_order> const& wanted,
              milliseconds lease_ms,
              jasminetrack::core::worker_report_event& report);
    void follow(milliseconds now, jasminetrack::core::task_order const& o,
                milliseconds lease_ms);
    void prepare_pending(milliseconds now);
    void advance(milliseconds now, std::string const& name, task& t);
    void note(milliseconds now, std::string what, std::string const& name,
              std::string detail = {});
    [[nodiscard]] bool holds(task const& t) const noexcept;

    std::string name_;
    jasminetrack::core::accelerator_mask all_;
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
