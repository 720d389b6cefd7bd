#include <jasminetrack/entry/dispatch_loop.hpp>

#include "log_keys.hpp"
#include "read_outage_log.hpp"

#include <jasminetrack/runtime/logging.hpp>

#include <chrono>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;
constexpr milliseconds tick_ms = 50;
/// Number of nodes that read the log often enough to take the role over
/// quickly.
constexpr std::size_t max_standby_nodes = 3;
constexpr milliseconds workers_interval_ms = 250;

/// Two nodes may claim the same epoch at the same time. The log confirms an
/// append with a known sequence as a repeat, so that both claims would be
/// confirmed; a first sequence of its own for each process prevents this.
std::int64_t first_sequence(std::string const& incarnation)
{
    constexpr std::size_t numbers = std::size_t{1} << 52;
    return static_cast<std::int64_t>(
        std::hash<std::string>()(incarnation) % numbers + 1);
}

} // namespace

dispatch_loop::dispatch_loop(entry_settings const& settings,
                             std::string incarnation, platform_ports ports,
                             outage_ports outages, job_table& table,
                             topic_follower& jobs,
                             runtime::timer_service& timers, latencies& l)
    : settings_(settings), incarnation_(std::move(incarnation)), ports_(ports),
      outages_(outages), table_(table), jobs_follower_(jobs), timers_(timers),
      latencies_(l),
      workers_follower_(
          ports.log, topic::workers,
          {workers_long_poll_ms, workers_interval_ms},
          log_outages("workers",
                      {[this](topic_page const& page)
                       { post([this, page] { on_workers(page); }); },
                       [this](std::string const&)
                       { post([this] { on_workers_read_failed(); }); }})),
      first_sequence_(first_sequence(incarnation_)),
      claim_order_(settings.node, settings.processor_share),
      leadership_(incarnation_, claim_order_.delay())
{
}

dispatch_loop::~dispatch_loop()
{
    stop();
}

dispatch_metrics dispatch_loop::metrics() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return metrics_;
}

void dispatch_loop::count(std::int64_t dispatch_metrics::*which)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++(metrics_.*which);
}

void dispatch_loop::start()
{
    workers_follower_.pause(true);
    workers_follower_.start();
    thread_ = std::thread([this] { run(); });
    timers_.subscribe(tick_ms,
                      [this]
                      {
                          {
                              std::lock_guard<std::mutex> const lock(mutex_);
                              if (tick_queued_)
                                  return;
                              tick_queued_ = true;
                          }
                          post([this] { tick(); });
                      });
}

void dispatch_loop::stop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    workers_follower_.stop();
    if (thread_.joinable())
        thread_.join();
}

void dispatch_loop::post(work_item work)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (stopping_)
            return;
        queue_.push_back(std::move(work));
    }
    wake_.notify_one();
}

void dispatch_loop::run()
{
    for (;;)
    {
        std::deque<work_item> work;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            wake_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
            if (stopping_)
                return;
            work.swap(queue_);
        }
        for (auto const& w : work)
            process(w);
        process(
            [this]
            {
                if (dispatcher_)
                    perform_actions();
            });
    }
}

void dispatch_loop::process(work_item const& work)
{
    try
    {
        work();
    }
    catch (std::exception const& e)
    {
        write_log(log_level::error, "dispatch.failed", {{"reason", e.what()}});
        step_down("unexpected error: " + std::string(e.what()));
    }
}

void dispatch_loop::tick()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        tick_queued_ = false;
        metrics_.leading = dispatcher_ ? 1 : 0;
        metrics_.epoch = leadership_.newest().epoch;
        metrics_.utilization =
            dispatcher_ ? dispatcher_->utilization()
                        : std::map<std::string, tasks::service_utilization>();
        metrics_.open_jobs =
            dispatcher_ ? static_cast<std::int64_t>(dispatcher_->open_jobs())
                        : 0;
    }
    auto const now = monotonic_ms();
    leadership_.set_delay(claim_order_.delay() + unread_jobs_delay());
    if (!dispatcher_ && leadership_.should_claim(now) && work_next_ >= 0)
        claim();
    if (append_in_flight_ && append_retry_pending_)
        send_append();
    if (dispatcher_)
        append_if_due(now);
    if (dispatcher_)
        survey_outage(now);
    if (dispatcher_)
        check_jobs_read(now);
    if (dispatcher_)
        post_jobs_currency();
}

void dispatch_loop::log_decision(tasks::decision const& d)
{
    write_log(log_level::info, d.step, {{"job", d.job}, {"", d.text}});
    if (d.step == "run.lost")
        count(&dispatch_metrics::lost_runs);
    if (d.step == "run.stale")
        count(&dispatch_metrics::stale_runs);
    if (d.step == "unit.given_up")
        count(&dispatch_metrics::given_up_jobs);
    if (d.accepted_ms == 0)
        return;
    latencies_.record(d.step == "job.begun" ? latency::job_begun
                                            : latency::job_ended,
                      runtime::wall_ms() - d.accepted_ms);
}

void dispatch_loop::step_down(std::string const& why)
{
    if (!dispatcher_)
        return;
    dispatcher_.reset();
    outages_.reports.set_leading(false);
    reading_jobs_since_ms_ = -1;
    leadership_.step_down();
    workers_follower_.pause(true);
    append_in_flight_.reset();
    append_retry_pending_ = false;
    store_queue_.clear();
    write_log(log_level::warning, "role.lost",
              {{"epoch", std::to_string(epoch_)}, {"why", why}});
}

void dispatch_loop::resign()
{
    post(
        [this]
        {
            leadership_.stop_claiming();
            resigning_ = true;
            if (dispatcher_ && !append_in_flight_)
                append_if_due(monotonic_ms());
        });
}

void dispatch_loop::on_peer(std::string const& node, node_record const& peer)
{
    post(
        [this, node, share = peer.processor_share]
        {
            claim_order_.put(node, share);
            standby_ = claim_order_.rank() < max_standby_nodes;
        });
}

dispatch_rank dispatch_loop::rank() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (metrics_.leading != 0)
        return dispatch_rank::dispatcher;
    return standby_ ? dispatch_rank::standby : dispatch_rank::other;
}

void dispatch_loop::on_configuration(
    std::shared_ptr<tasks::configuration const> c)
{
    post(
        [this, c]
        {
            config_ = c;
            if (dispatcher_)
                dispatcher_->set_configuration(*c);
        });
}

void dispatch_loop::on_evacuations(std::set<std::string> data_centers,
                                   milliseconds as_of)
{
    post(
        [this, data_centers = std::move(data_centers), as_of]
        {
            evacuated_ = data_centers;
            evacuations_as_of_ = as_of;
            if (dispatcher_)
                dispatcher_->set_evacuations(monotonic_ms(), data_centers,
                                             as_of);
            std::lock_guard<std::mutex> const lock(mutex_);
            metrics_.evacuated = std::ssize(data_centers);
        });
}

void dispatch_loop::on_jobs(std::vector<std::string> ids)
{
    post(
        [this, ids = std::move(ids)]
        {
            for (auto const& id : ids)
                forward_job(id);
        });
}

void dispatch_loop::on_work(topic_page const& page)
{
    post(
        [this, page]
        {
            auto const now = monotonic_ms();
            bool const wrote = !page.entries.empty() && !page.reloaded;
            work_next_ = std::max(work_next_, page.next);
            for (auto const& e : page.entries)
            {
                if (e.key == tasks::speed_record_key)
                {
                    read_slower_workers(e);
                    continue;
                }
                if (e.key != role_key)
                {
                    handle_progress(e);
                    continue;
                }
                auto const role = tasks::decode_role(e.value);
                if (!role)
                    continue;
                leadership_.on_record(now, *role);
                if (dispatcher_ && role->epoch > epoch_)
                    step_down("the log has a role record of epoch " +
                              std::to_string(role->epoch));
            }
            leadership_.on_read(now, wrote);
            if (page.at_end)
                leadership_.on_end_read(page.as_of_ms);
        });
}

/// Entries arrive in the log's order, so that no older state of the job is
/// read after its end.
void dispatch_loop::handle_progress(log_entry const& e)
{
    auto const summary = tasks::decode_summary(e.value);
    if (dispatcher_ && summary && tasks::is_final(summary->phase))
        dispatcher_->on_final_record_read(e.key);
}

/// Keeps the earlier state if the record is not readable. A dispatcher uses it
/// only when it takes over.
void dispatch_loop::read_slower_workers(log_entry const& e)
{
    if (e.value.empty())
    {
        slower_workers_.clear();
        return;
    }
    if (auto const slower = tasks::decode_slower_workers(e.value))
        slower_workers_ = *slower;
    else
        write_log(log_level::warning, "worker.speeds.skipped",
                  {{"key", e.key},
                   {"offset", std::to_string(e.offset)},
                   {"reason", "not a record of slower workers"}});
}

void dispatch_loop::on_work_read_failed()
{
    post([this] { leadership_.on_read_failed(monotonic_ms()); });
}

} // namespace jasminetrack::entry
