#pragma once
/// \file
/// The jobs as the log tells them, shared by the request handlers and the
/// dispatcher of one process.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/tasks/progress.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace jasminetrack::entry
{

/// What is known of one job.
struct job_view
{
    std::shared_ptr<tasks::accepted_job const> job; ///< null: not seen yet
    bool cancelled = false;
    tasks::progress_summary summary;
    std::string progress;              ///< newest progress record; empty: none
    std::int64_t progress_offset = -1; ///< of that record; -1: none

    [[nodiscard]] tasks::job_phase phase() const noexcept;
};

/// Safe to use from several threads.
class job_table
{
public:
    [[nodiscard]] std::optional<job_view> find(std::string const& id) const;
    /// Waits until the job is known or the time is over.
    [[nodiscard]] std::optional<job_view> await(std::string const& id,
                                                milliseconds wait_ms) const;
    [[nodiscard]] std::int64_t pending(std::string const& queue) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<std::string> unfinished() const;

    /// The key's form tells a job from its cancellation.
    /// \returns the job's id if its state may have changed.
    std::optional<std::string> apply_job(log_entry const& e);
    /// A record before the newest one that is known changes nothing: loading a
    /// topic again may show an earlier state of it.
    std::optional<std::string> apply_progress(log_entry const& e);

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::unordered_map<std::string, job_view> jobs_;
};

/// \returns the key of a job's cancellation in the topic of jobs.
[[nodiscard]] std::string cancel_key(std::string const& id);

} // namespace jasminetrack::entry
