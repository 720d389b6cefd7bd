#pragma once
/// \file
/// Admission of new jobs by the load that the dispatcher publishes. Each entry
/// VM decides by itself, from its newest reading and what it has accepted since
/// then.

#include <jasminetrack/tasks/admission.hpp>

#include <mutex>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// Counters and current values for the metrics endpoint.
struct admission_metrics
{
    std::map<std::string, std::int64_t> refused; ///< jobs, by queue
    milliseconds reading_age_ms = 0; ///< a very long time if there is none
};

/// Safe to use from several threads.
class load_admission
{
public:
    /// \param enabled  false: every job is accepted
    explicit load_admission(bool enabled) noexcept : enabled_(enabled) {}

    [[nodiscard]] bool enabled() const noexcept
    {
        return enabled_;
    }
    /// A record of the dispatcher with a reading was read.
    /// \param gap_ms  time before `now` within which it was taken; a reading is
    ///                not used if it may be too old
    void put_reading(milliseconds now, std::string const& encoded,
                     milliseconds gap_ms);
    /// \returns the verdict on a new job.
    [[nodiscard]] tasks::admission_verdict
    judge(milliseconds now, tasks::queue const& queue,
          tasks::job_spec const& spec) const;
    /// The job was stored, or may have been.
    void on_accepted(tasks::queue const& queue, tasks::job_spec const& spec);
    /// The job is refused; logs the decision and its inputs.
    void on_refused(milliseconds now, tasks::queue const& queue,
                    std::string const& id, tasks::job_spec const& spec,
                    tasks::admission_verdict const& v);
    [[nodiscard]] admission_metrics metrics(milliseconds now) const;

private:
    /// \returns nullptr if the service is not in the reading.
    [[nodiscard]] tasks::service_reading const*
    reading_of(std::string const& service) const;
    [[nodiscard]] milliseconds age(milliseconds now) const;

    bool enabled_;
    mutable std::mutex mutex_;
    std::optional<tasks::load_reading> reading_;
    milliseconds taken_at_ = 0; ///< at the earliest
    /// Since the newest reading, by service.
    std::map<std::string, tasks::accepted_by_priority> accepted_;
    std::map<std::string, std::int64_t> refused_; ///< by queue
};

} // namespace jasminetrack::entry
