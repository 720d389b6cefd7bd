#pragma once
/// \file
/// Latency histograms for the metrics endpoint.

#include <jasminetrack/tasks/model.hpp>

#include <memory>
#include <string>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// The operations whose latency is recorded.
enum class latency : std::uint8_t
{
    submit,    ///< a request to submit a job
    status,    ///< a request for a job's state
    cancel,    ///< a request to cancel a job
    append,    ///< an append of the dispatcher, until it is stored
    start,     ///< an order to a worker to start a task
    stop,      ///< an order to a worker to stop a task
    job_begun, ///< from a job's acceptance to its first start
    job_ended, ///< from a job's acceptance to its end
};

/// Safe to use from several threads.
class latencies
{
public:
    latencies();
    ~latencies();

    /// \returns the histograms in Prometheus' text format.
    [[nodiscard]] std::string to_text() const;

    void record(latency what, milliseconds took);

private:
    struct histograms;
    std::unique_ptr<histograms> histograms_;
};

} // namespace jasminetrack::entry
