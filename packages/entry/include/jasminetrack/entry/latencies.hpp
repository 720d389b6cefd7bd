#pragma once
/// \file
/// How long what callers wait for takes, as histograms for the metrics
/// address. Safe to use from several threads.

#include <jasminetrack/tasks/model.hpp>

#include <memory>
#include <string>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// What is timed.
enum class latency : std::uint8_t
{
    submit,    ///< a request to take a job in, until its answer
    status,    ///< a request for a job's state
    cancel,    ///< a request to cancel a job
    append,    ///< an append of the dispatcher, until the log has it
    start,     ///< an order to a worker to start a task
    stop,      ///< an order to a worker to stop a task
    job_begun, ///< from a job's acceptance to its first start
    job_ended, ///< from a job's acceptance to its end
};

class latencies
{
public:
    latencies();
    ~latencies();

    /// \returns the text form that Prometheus reads.
    [[nodiscard]] std::string to_text() const;

    void record(latency what, milliseconds took);

private:
    struct histograms;
    std::unique_ptr<histograms> all_;
};

} // namespace jasminetrack::entry
