#pragma once
/// \file
/// The jobs as read from the log, shared by the request handlers and the
/// dispatcher of one process.

#include <jasminetrack/entry/ports.hpp>
#include <jasminetrack/tasks/progress.hpp>

#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace jasminetrack::entry
{

/// Offset of an own record that is stored and was not read yet.
inline constexpr std::int64_t unread_offset =
    std::numeric_limits<std::int64_t>::max();

/// State of one job as far as the log was read.
struct job_view
{
    std::shared_ptr<tasks::accepted_job const> job; ///< null: not read yet
    std::int64_t job_offset = unread_offset;        ///< of the job's record
    bool cancelled = false;
    tasks::progress_summary summary;
    std::string progress; ///< newest progress record, encoded; empty: none
    std::int64_t progress_offset = -1; ///< of that record; -1: none

    /// \returns `cancelled` for a cancelled job that has not ended yet.
    [[nodiscard]] tasks::job_phase phase() const noexcept;
};

/// Safe to use from several threads.
class job_table
{
public:
    /// \returns nothing if the job was not read.
    [[nodiscard]] std::optional<job_view> find(std::string const& id) const;
    /// \returns the number of jobs of the queue that have not begun.
    [[nodiscard]] std::int64_t pending(tasks::queue const& queue) const;
    [[nodiscard]] std::size_t size() const;
    /// \returns the ids of the jobs that have not ended.
    [[nodiscard]] std::vector<std::string> unfinished() const;

    /// Applies an entry of the topic of jobs: a job or a cancellation. Of
    /// several entries of a job, the first in the log applies.
    /// \returns the job's id if its state may have changed.
    std::optional<std::string> apply_job(log_entry const& e);
    /// Applies an entry of the topic of work. An entry before the newest one
    /// that was applied changes nothing: a reload may return an earlier state
    /// of the topic.
    /// \returns the job's id if its state may have changed.
    std::optional<std::string> apply_progress(log_entry const& e);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, job_view> jobs_;
};

/// \returns the key of a job's cancellation in the topic of jobs.
[[nodiscard]] std::string cancel_key(std::string const& id);

} // namespace jasminetrack::entry
