#include <jasminetrack/entry/job_requests.hpp>

#include <jasminetrack/entry/retry_advice.hpp>
#include <jasminetrack/runtime/logging.hpp>

#include <algorithm>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// Records the time between its construction and its destruction.
class latency_timer
{
public:
    latency_timer(latencies& all, latency what) noexcept
        : all_(all), what_(what), started_ms_(monotonic_ms())
    {
    }
    ~latency_timer()
    {
        all_.record(what_, monotonic_ms() - started_ms_);
    }

private:
    latencies& all_;
    latency what_;
    milliseconds started_ms_;
};

/// Age up to which the view of jobs counts as recent. It does not contain every
/// job whose acceptance a caller can have been told.
constexpr milliseconds max_current_age_ms = 1'500;
/// The dispatcher appends at least each half second, and nodes read that at
/// least each second. If no record is read for this long, the log stores none.
constexpr milliseconds max_work_age_ms = 2'000;
/// Time limit of a refresh before a request is answered from the view.
constexpr milliseconds refresh_timeout_ms = 400;
/// Time limit of a read of all jobs that were accepted before a request. It
/// suffices for a first read on a silent connection and a second one through
/// another entry VM.
constexpr milliseconds complete_read_timeout_ms = 1'000;
/// Part of the caller's deadline that is spent on an append; the rest is left
/// for a repeat through another entry VM with the same id.
constexpr milliseconds deadline_divisor = 2;

milliseconds max_wait(caller const& who)
{
    return std::max<milliseconds>(1, who.deadline_ms / deadline_divisor);
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
    auto const contact = last_contact_ms_.load();
    return contact < 0 ? never : now - contact;
}

job_requests::job_requests(job_table& table, record_writer& writer,
                           view_age const& age, view_age const& work_age,
                           topic_follower& jobs, topic_follower& work,
                           load_admission& admission, latencies& l) noexcept
    : table_(table), writer_(writer), age_(age), work_age_(work_age),
      jobs_(jobs), work_(work), admission_(admission), latencies_(l)
{
}

/// Another entry VM may have accepted the job just now, so only a read that
/// begins during the request shows that there is no such job.
job_requests::lookup job_requests::find_latest(std::string const& id)
{
    auto view = table_.find(id);
    if (!view)
    {
        bool const complete = jobs_.read_to_end(complete_read_timeout_ms);
        return {table_.find(id), complete};
    }
    if (tasks::is_final(view->phase()))
        return {view, true};
    (void)work_.refresh(refresh_timeout_ms);
    return {table_.find(id), true};
}

bool job_requests::is_current() const
{
    return age_.age(monotonic_ms()) <= max_current_age_ms;
}

/// A node that cannot read the log may be the only one: its callers are served
/// at once by others. One that reads it and misses the dispatcher's records
/// knows that the log stores nothing for any node.
milliseconds job_requests::log_outage() const
{
    auto const age = work_age_.age(monotonic_ms());
    bool const shows_outage =
        is_current() && age != view_age::never && age > max_work_age_ms;
    return shows_outage ? age : 0;
}

write_result job_requests::store(caller const& who,
                                 tasks::log_record const& record)
{
    auto const result = writer_.write(record, max_wait(who), max_wait(who));
    // The caller's next request to this entry VM finds the record even if the
    // topic was not read again.
    if (result == write_result::stored)
        (void)table_.apply_job({unread_offset, record.key, record.value});
    return result;
}

/// Another entry VM may have accepted the job just now, so it is refused only
/// after a read that begins during the request. If the log cannot be read, the
/// append decides.
std::optional<int> job_requests::refuse_for_load(tasks::queue const& queue,
                                                 std::string const& id,
                                                 tasks::job_spec const& spec)
{
    auto const now = monotonic_ms();
    auto const verdict = admission_.judge(now, queue, spec);
    if (verdict.accepted() || table_.find(id) ||
        !jobs_.read_to_end(complete_read_timeout_ms) || table_.find(id))
        return std::nullopt;
    admission_.on_refused(now, queue, id, spec, verdict);
    return overload_retry_after_s(verdict.wait_ms, id);
}

submit_result job_requests::submit(caller const& who, tasks::queue const& queue,
                                   std::string const& id, tasks::job_spec spec)
{
    latency_timer const clock(latencies_, latency::submit);
    auto const begun = monotonic_ms();
    if (table_.find(id))
        return submit_result::accepted;
    tasks::accepted_job job;
    job.id = id;
    job.queue = queue.name;
    job.terms = queue;
    job.team = who.team;
    job.accepted_ms = runtime::wall_ms();
    job.spec = std::move(spec);
    auto const tasks = job.spec.steps.size();
    auto const result = store(who, {id, encode(job)});
    write_log(log_level::info, "job.submit",
              {{"job", id},
               {"queue", queue.name},
               {"team", who.team},
               {"steps", std::to_string(tasks)},
               {"result", to_text(result)},
               {"took_ms", std::to_string(monotonic_ms() - begun)},
               {"view_age_ms", std::to_string(age_.age(begun))}});
    if (result != write_result::refused)
        admission_.on_accepted(queue, job.spec);
    if (result == write_result::stored)
        return submit_result::accepted;
    return result == write_result::refused ? submit_result::refused
                                           : submit_result::unknown;
}

job_status job_requests::find_status(std::string const& id)
{
    latency_timer const clock(latencies_, latency::status);
    auto const [view, complete] = find_latest(id);
    if (view)
        return {status_result::found, view->phase()};
    return {complete ? status_result::no_such_job : status_result::unknown, {}};
}

/// The cancellation of an unknown job is stored, too: a submission whose
/// outcome is unknown may be stored after it.
cancel_result job_requests::cancel(caller const& who, std::string const& id)
{
    latency_timer const clock(latencies_, latency::cancel);
    auto const [view, complete] = find_latest(id);
    if (!view && !complete)
        return cancel_result::refused;
    if (view && (view->cancelled || tasks::is_final(view->summary.phase)))
        return cancel_result::cancelled;
    auto const result = store(who, {cancel_key(id), "1"});
    write_log(log_level::info, "job.cancel_request",
              {{"job", id},
               {"team", who.team},
               {"known", view ? "1" : "0"},
               {"result", to_text(result)}});
    if (result == write_result::stored)
        return view ? cancel_result::cancelled : cancel_result::no_such_job;
    return result == write_result::refused ? cancel_result::refused
                                           : cancel_result::unknown;
}

std::optional<std::int64_t> job_requests::pending(tasks::queue const& queue)
{
    if (!is_current() && !jobs_.read_to_end(complete_read_timeout_ms))
        return std::nullopt;
    return table_.pending(queue);
}

} // namespace jasminetrack::entry
