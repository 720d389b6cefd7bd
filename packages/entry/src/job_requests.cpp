#include <jasminetrack/entry/job_requests.hpp>

#include <jasminetrack/runtime/logging.hpp>

#include <limits>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// Notes how long the scope took.
class timed
{
public:
    timed(latencies& all, latency what) noexcept
        : all_(all), what_(what), begun_(monotonic_ms())
    {
    }
    ~timed()
    {
        all_.record(what_, monotonic_ms() - begun_);
    }

private:
    latencies& all_;
    latency what_;
    milliseconds begun_;
};

/// A view not older than this knows every job that callers can know of.
constexpr milliseconds current_ms = 1'500;
/// What the log has is known here within this time, if it can be reached.
constexpr milliseconds refresh_ms = 400;
/// A read that waits at the log brings what was accepted elsewhere within
/// this time.
constexpr milliseconds lag_ms = 200;
/// An append without answer is waited for during this part of the caller's
/// time; the caller can then ask again, elsewhere and under the same id.
constexpr milliseconds unknown_part = 2;

milliseconds most_wait(caller const& who)
{
    return std::max<milliseconds>(1, who.deadline_ms / unknown_part);
}

char const* to_text(write_result r)
{
    if (r == write_result::stored)
        return "stored";
    return r == write_result::refused ? "refused" : "unknown";
}

} // namespace

milliseconds view_age::age(milliseconds now) const noexcept
{
    auto const contact = contact_.load();
    return contact < 0 ? std::numeric_limits<milliseconds>::max()
                       : now - contact;
}

job_requests::job_requests(job_table& table, record_writer& writer,
                           view_age const& age, topic_follower& jobs,
                           topic_follower& work, latencies& l) noexcept
    : table_(table), writer_(writer), age_(age), jobs_(jobs), work_(work),
      latencies_(l)
{
}

std::optional<job_view> job_requests::newest_view(std::string const& id)
{
    auto view = table_.find(id);
    if (!view)
    {
        (void)jobs_.refresh(refresh_ms);
        return table_.await(id, lag_ms);
    }
    if (tasks::is_final(view->phase()))
        return view;
    (void)work_.refresh(refresh_ms);
    return table_.find(id);
}

bool job_requests::is_current() const
{
    return age_.age(monotonic_ms()) <= current_ms;
}

write_result job_requests::store(caller const& who,
                                 tasks::log_record const& record)
{
    auto const result = writer_.write(record, most_wait(who), most_wait(who));
    // The caller's next request here already finds it.
    if (result == write_result::stored)
        (void)table_.apply_job({0, record.key, record.value});
    return result;
}

submit_result job_requests::submit(caller const& who, std::string const& queue,
                                   std::string const& id, tasks::job_spec spec)
{
    timed const clock(latencies_, latency::submit);
    auto const begun = monotonic_ms();
    if (table_.find(id))
        return submit_result::accepted;
    tasks::accepted_job job;
    job.id = id;
    job.queue = queue;
    job.team = who.team;
    job.accepted_ms = runtime::wall_ms();
    job.spec = std::move(spec);
    auto const tasks = job.spec.steps.size();
    auto const result = store(who, {id, encode(job)});
    write_log(log_level::info, "job.submit",
              {{"job", id},
               {"queue", queue},
               {"team", who.team},
               {"steps", std::to_string(tasks)},
               {"result", to_text(result)},
               {"took_ms", std::to_string(monotonic_ms() - begun)},
               {"view_age_ms", std::to_string(age_.age(begun))}});
    if (result == write_result::stored)
        return submit_result::accepted;
    return result == write_result::refused ? submit_result::refused
                                           : submit_result::unknown;
}

std::optional<tasks::job_phase> job_requests::find_phase(std::string const& id)
{
    timed const clock(latencies_, latency::status);
    auto const view = newest_view(id);
    if (!view)
        return std::nullopt;
    return view->phase();
}

cancel_result job_requests::cancel(caller const& who, std::string const& id)
{
    timed const clock(latencies_, latency::cancel);
    auto const view = newest_view(id);
    if (!view)
        return is_current() ? cancel_result::no_such_job
                            : cancel_result::refused;
    if (view->cancelled || tasks::is_final(view->summary.phase))
        return cancel_result::cancelled;
    auto const result = store(who, {cancel_key(id), "1"});
    write_log(log_level::info, "job.cancel_request",
              {{"job", id}, {"team", who.team}, {"result", to_text(result)}});
    if (result == write_result::stored)
        return cancel_result::cancelled;
    return result == write_result::refused ? cancel_result::refused
                                           : cancel_result::unknown;
}

std::int64_t job_requests::pending(std::string const& queue) const
{
    return table_.pending(queue);
}

} // namespace jasminetrack::entry
