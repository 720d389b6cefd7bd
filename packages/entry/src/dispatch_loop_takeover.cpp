#include <jasminetrack/entry/dispatch_loop.hpp>

#include <jasminetrack/runtime/logging.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// A node that has not read the jobs to their end for this long lets others
/// claim first, which may have them. If no node can read them, one of them has
/// to renew the leases all the same.
constexpr milliseconds max_jobs_age_ms = 2'500;
constexpr milliseconds unread_jobs_delay_ms = 300;
/// Time in which a dispatcher has to read the jobs. It is above the silence of
/// a log that comes back, during which no other node could read them.
constexpr milliseconds max_jobs_read_ms = 12'000;

} // namespace

milliseconds dispatch_loop::unread_jobs_delay() const
{
    return jobs_follower_.was_at_end_within(max_jobs_age_ms)
               ? 0
               : unread_jobs_delay_ms;
}

void dispatch_loop::take_over()
{
    auto const now = monotonic_ms();
    epoch_ = leadership_.newest().epoch;
    sequence_ = first_sequence_;
    append_in_flight_.reset();
    append_retry_pending_ = false;
    store_queue_.clear();
    last_append_ms_ = role_confirmed_ms_ = now;
    outage_confirmed_ = false;
    listed_workers_.clear();
    dispatcher_ = std::make_unique<tasks::dispatcher>(
        epoch_, settings_.limits, now,
        [this](tasks::decision const& d) { log_decision(d); });
    outages_.reports.set_leading(true);
    dispatcher_->role().on_earlier_proof(
        std::max(earlier_proof_ms_, outages_.reports.newest()));
    dispatcher_->role().on_confirmed(claim_sent_ms_);
    dispatcher_->on_log_back(leadership_.readable_since().value_or(now));
    if (config_)
        dispatcher_->set_configuration(*config_);
    if (evacuations_as_of_ >= 0)
        dispatcher_->set_evacuations(now, evacuated_, evacuations_as_of_);
    dispatcher_->set_slower_workers(now, slower_workers_);
    dispatcher_->await_jobs();
    reading_jobs_since_ms_ = now;
    read_jobs();
    workers_follower_.pause(false);
    count(&dispatch_metrics::takeovers);
    write_log(log_level::info, "role.taken",
              {{"epoch", std::to_string(epoch_)},
               {"jobs_read_to", std::to_string(jobs_follower_.next_offset())}});
}

void dispatch_loop::read_jobs()
{
    jobs_read_failed_ = false;
    jobs_follower_.read_to_end(
        [this, epoch = epoch_](bool reached)
        { post([this, epoch, reached] { on_jobs_read(epoch, reached); }); });
}

/// The log has refused all appends of earlier dispatchers since the claim. So
/// the jobs up to the end of this read contain every job that they may have
/// started.
void dispatch_loop::on_jobs_read(std::int64_t epoch, bool reached)
{
    if (!dispatcher_ || epoch != epoch_)
        return;
    if (!reached)
    {
        jobs_read_failed_ = true;
        return;
    }
    auto const now = monotonic_ms();
    auto const took_ms = now - std::exchange(reading_jobs_since_ms_, -1);
    auto const ids = table_.unfinished();
    for (auto const& id : ids)
        forward_job(id);
    dispatcher_->on_jobs_read(now);
    write_log(log_level::info, "role.jobs_read",
              {{"epoch", std::to_string(epoch_)},
               {"jobs", std::to_string(ids.size())},
               {"to", std::to_string(jobs_follower_.next_offset())},
               {"took_ms", std::to_string(took_ms)}});
}

void dispatch_loop::check_jobs_read(milliseconds now)
{
    if (reading_jobs_since_ms_ < 0)
        return;
    if (now - reading_jobs_since_ms_ > max_jobs_read_ms && !append_in_flight_)
        give_up_role("the jobs could not be read");
    else if (jobs_read_failed_)
        read_jobs();
}

/// Posted work runs after that of the entries which were read before.
void dispatch_loop::post_jobs_currency()
{
    auto const read_at = jobs_follower_.last_end();
    if (!read_at)
        return;
    post(
        [this, epoch = epoch_, read_at]
        {
            if (dispatcher_ && epoch == epoch_)
                dispatcher_->on_jobs_current(monotonic_ms(), *read_at);
        });
}

void dispatch_loop::forward_job(std::string const& id)
{
    auto const view = table_.find(id);
    if (!dispatcher_ || reading_jobs_since_ms_ >= 0 || !view || !view->job ||
        view->job_offset == unread_offset ||
        tasks::is_final(view->summary.phase))
        return;
    auto const now = monotonic_ms();
    auto progress = tasks::decode_progress(view->progress, view->job->spec);
    if (!progress)
        progress = tasks::initial_progress(view->job->spec);
    dispatcher_->put_job(now, *view->job, std::move(*progress));
    if (view->cancelled)
        dispatcher_->cancel_job(now, id);
}

} // namespace jasminetrack::entry
