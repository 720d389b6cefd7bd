#pragma once
/// \file
/// What callers ask of jobs: submit, look, cancel, count. Answers are final
/// and given as soon as they are known.

#include <jasminetrack/entry/job_table.hpp>
#include <jasminetrack/entry/latencies.hpp>
#include <jasminetrack/entry/record_writer.hpp>
#include <jasminetrack/entry/topic_follower.hpp>

#include <atomic>

namespace jasminetrack::entry
{

/// Who asks, and for how long the caller waits.
struct caller
{
    std::string team;
    milliseconds deadline_ms = 3'000;
};

enum class submit_result : std::uint8_t
{
    accepted,
    refused, ///< did not run and never will
    unknown, ///< ask again with the same id
};

enum class cancel_result : std::uint8_t
{
    cancelled,
    no_such_job,
    refused,
    unknown,
};

/// How fresh this process's view of the log is.
class view_age
{
public:
    void record_contact(milliseconds now) noexcept
    {
        contact_ = now;
    }
    /// \returns time since the log was last read; a large value if never.
    [[nodiscard]] milliseconds age(milliseconds now) const noexcept;

private:
    std::atomic<milliseconds> contact_{-1};
};

class job_requests
{
public:
    job_requests(job_table& table, record_writer& writer, view_age const& age,
                 topic_follower& jobs, topic_follower& work,
                 latencies& l) noexcept;

    [[nodiscard]] submit_result submit(caller const& who,
                                       std::string const& queue,
                                       std::string const& id,
                                       tasks::job_spec spec);
    /// \returns nothing if there is no such job.
    [[nodiscard]] std::optional<tasks::job_phase>
    find_phase(std::string const& id);
    [[nodiscard]] cancel_result cancel(caller const& who,
                                       std::string const& id);
    [[nodiscard]] std::int64_t pending(std::string const& queue) const;
    /// Whether "no such job" would be a true answer here.
    [[nodiscard]] bool is_current() const;

private:
    /// \returns the job as the log has it now, if the log can be reached.
    [[nodiscard]] std::optional<job_view> newest_view(std::string const& id);
    [[nodiscard]] write_result store(caller const& who,
                                     tasks::log_record const& record);

    job_table& table_;
    record_writer& writer_;
    view_age const& age_;
    topic_follower& jobs_;
    topic_follower& work_;
    latencies& latencies_;
};

} // namespace jasminetrack::entry
