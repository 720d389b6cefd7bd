#pragma once
/// \file
/// Learns from progress reports which workers are slower than the usual one of
/// their service. The duration of a run is modelled as the work of its group (a
/// step, or one run of a gang) times the factor of its worker, and the factors
/// are estimated from all runs together, so that a group with several slow
/// workers does not make its usual ones look fast.
///
/// Load: a third of the workers take 1.3 times as long, 3 tasks of 100 last 7
/// times as long as the others of their step, and percentages are whole
/// numbers. The estimate takes time proportional to the number of kept runs,
/// at most `max_samples` per worker, once per second.

#include <jasminetrack/tasks/speed_record.hpp>
#include <jasminetrack/tasks/worker_pace.hpp>

#include <map>
#include <vector>

namespace jasminetrack::tasks
{

/// Runs that do the same amount of work each.
struct speed_group
{
    step_ref step;
    /// Of a gang, whose runs may be spread over racks and so take longer; 0:
    /// the tasks of the step.
    std::int64_t gang_run = 0;

    friend auto operator<=>(speed_group const&, speed_group const&) = default;
};

/// A progress report of one run.
struct speed_report
{
    std::string worker;
    std::int64_t incarnation = 0;
    std::string service;
    std::string kind; ///< first label; empty: none
    speed_group group;
    std::int64_t index = 0;    ///< of the task in its step
    std::int64_t run = 0;      ///< of the task
    milliseconds clock_ms = 0; ///< the worker's, when it reported
    std::int64_t percent = 0;  ///< done
};

/// What is known of one worker's speed.
struct speed_estimate
{
    worker_speed speed = worker_speed::usual;
    std::int64_t samples = 0; ///< runs that were compared with others
    double factor = 1;        ///< duration here to the usual one
    double spread = 0;        ///< standard error of the factor's logarithm
    double prior = 1;         ///< factor that is assumed without samples
};

/// An estimate that gives its worker another speed than before.
struct speed_change
{
    std::string worker;
    speed_estimate estimate;
};

/// Speeds of all workers. The state is lost with the dispatcher, except for
/// slower_workers().
class worker_speeds
{
public:
    /// Adds a report. One of another incarnation than before replaces all that
    /// was known of the worker.
    void observe(milliseconds now, speed_report const& r);
    /// Assumes these speeds until there is evidence.
    void assume(milliseconds now, std::vector<slower_worker> const& slower);
    /// Estimates the speeds anew if reports have arrived since, at most once
    /// per second.
    /// \returns the workers whose speed has changed.
    std::vector<speed_change> update(milliseconds now);

    /// \returns a default estimate if nothing is known of the incarnation.
    [[nodiscard]] speed_estimate estimate_of(std::string const& worker,
                                             std::int64_t incarnation) const;
    /// \returns the typical factor of slower workers; 1 if there are none.
    [[nodiscard]] double slow_factor() const noexcept
    {
        return slow_factor_;
    }
    /// \returns the slower workers, sorted by id.
    [[nodiscard]] std::vector<slower_worker> slower_workers() const;

private:
    /// Progress of one run.
    struct sample
    {
        speed_group group;
        std::int64_t index = 0;
        std::int64_t run = 0;
        milliseconds base_ms = 0; ///< worker's clock at the first report
        std::int64_t base_percent = 0;
        milliseconds newest_ms = 0;
        std::int64_t newest_percent = 0;
        milliseconds updated_at = 0;
    };
    struct evidence
    {
        std::int64_t incarnation = 0;
        std::string service;
        std::string kind;
        std::vector<sample> samples; ///< oldest first
        milliseconds updated_at = 0;
        /// Logarithm of the factor that was known before the samples.
        std::optional<double> assumed;
        speed_estimate estimate;
    };

    [[nodiscard]] static sample* sample_of(milliseconds now, evidence& e,
                                           speed_report const& r);
    void forget_old(milliseconds now);
    void update_slow_factor();

    std::map<std::string, evidence> workers_;
    bool has_new_samples_ = false;
    milliseconds updated_at_ = 0;
    double slow_factor_ = 1;
};

} // namespace jasminetrack::tasks
