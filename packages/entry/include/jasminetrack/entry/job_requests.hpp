#pragma once
/// \file
/// Requests of callers for jobs: submit, status, cancel and count. The result
/// of a request is final unless it is `unknown`.

#include <jasminetrack/entry/job_table.hpp>
#include <jasminetrack/entry/latencies.hpp>
#include <jasminetrack/entry/load_admission.hpp>
#include <jasminetrack/entry/record_writer.hpp>
#include <jasminetrack/entry/topic_follower.hpp>

#include <atomic>
#include <limits>

namespace jasminetrack::entry
{

/// The team that sends a request, and how long it waits for the answer.
struct caller
{
    std::string team;
    milliseconds deadline_ms = 3'000;
};

enum class submit_result : std::uint8_t
{
    accepted,
    refused, ///< the job was not stored and never will be
    unknown, ///< the job may be stored; submit it again with the same id
};

enum class cancel_result : std::uint8_t
{
    cancelled,
    /// No job had this id when the request arrived. One that is stored later
    /// is cancelled.
    no_such_job,
    refused, ///< nothing was stored, or this node cannot tell
    unknown,
};

enum class status_result : std::uint8_t
{
    found,
    no_such_job, ///< no job had this id when the request arrived
    unknown,     ///< this node does not know the job and cannot tell
};

struct job_status
{
    status_result result = status_result::unknown;
    tasks::job_phase phase = tasks::job_phase::queued; ///< of a job found

    friend bool operator==(job_status const&, job_status const&) = default;
};

/// Age of this process's view of a topic. Safe to use from several threads.
class view_age
{
public:
    /// Age of a topic that was not read yet.
    static constexpr milliseconds never =
        std::numeric_limits<milliseconds>::max();

    void record_contact(milliseconds now) noexcept
    {
        last_contact_ms_ = now;
    }
    /// \returns the time since the last read, or `never`.
    [[nodiscard]] milliseconds age(milliseconds now) const noexcept;

private:
    std::atomic<milliseconds> last_contact_ms_{-1};
};

/// Safe to use from several threads.
class job_requests
{
public:
    /// \param age       since the topic of jobs was read
    /// \param work_age  since a new record of the dispatcher was read
    job_requests(job_table& table, record_writer& writer, view_age const& age,
                 view_age const& work_age, topic_follower& jobs,
                 topic_follower& work, load_admission& admission,
                 latencies& l) noexcept;

    /// Decides on the load, before anything of the job is stored.
    /// \returns the seconds after which to submit the job again, or nothing if
    /// it is to be submitted now. A known job is never refused.
    [[nodiscard]] std::optional<int>
    refuse_for_load(tasks::queue const& queue, std::string const& id,
                    tasks::job_spec const& spec);
    /// \param queue  its terms are stored with the job
    [[nodiscard]] submit_result submit(caller const& who,
                                       tasks::queue const& queue,
                                       std::string const& id,
                                       tasks::job_spec spec);
    [[nodiscard]] job_status find_status(std::string const& id);
    [[nodiscard]] cancel_result cancel(caller const& who,
                                       std::string const& id);
    /// \returns the number of jobs of the queue that have not begun; nothing
    /// if this node has no recent view of the jobs.
    [[nodiscard]] std::optional<std::int64_t>
    pending(tasks::queue const& queue);
    /// \returns the time for which the log has stored nothing for any node; 0
    /// if it works, or if this node cannot tell.
    [[nodiscard]] milliseconds log_outage() const;

private:
    struct lookup
    {
        std::optional<job_view> view; ///< nothing: the job is not known
        /// Whether the view has every job that was accepted before the lookup.
        bool complete = false;
    };

    /// Reads the log first if the job may have changed. An unreachable log
    /// leaves the view of a known job as it was.
    [[nodiscard]] lookup find_latest(std::string const& id);
    /// \returns whether this node has read the jobs recently.
    [[nodiscard]] bool is_current() const;
    /// Appends the record and, once stored, applies it to the table.
    [[nodiscard]] write_result store(caller const& who,
                                     tasks::log_record const& record);

    job_table& table_;
    record_writer& writer_;
    view_age const& age_;
    view_age const& work_age_;
    topic_follower& jobs_;
    topic_follower& work_;
    load_admission& admission_;
    latencies& latencies_;
};

} // namespace jasminetrack::entry
