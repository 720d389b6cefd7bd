#include <jasminetrack/entry/dispatch_loop.hpp>

#include "log_keys.hpp"

#include <jasminetrack/runtime/logging.hpp>

#include <chrono>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;
constexpr milliseconds tick_ms = 50;
/// Nodes that are ready to take the role over at once.
constexpr std::size_t nodes_next = 3;
constexpr milliseconds workers_wait_ms = 1'000;
constexpr milliseconds workers_rest_ms = 250;

/// Two nodes may claim one epoch at once. The log takes an append with the
/// same sequence for a repeat and confirms it, so each starts at its own.
std::int64_t first_sequence(std::string const& incarnation)
{
    constexpr std::size_t numbers = std::size_t{1} << 52;
    return static_cast<std::int64_t>(
        std::hash<std::string>()(incarnation) % numbers + 1);
}

} // namespace

dispatch_loop::dispatch_loop(entry_settings const& settings,
                             std::string incarnation, platform_ports ports,
                             job_table& table, runtime::timer_service& timers,
                             latencies& l)
    : settings_(settings), incarnation_(std::move(incarnation)), ports_(ports),
      table_(table), timers_(timers), latencies_(l),
      workers_follower_(
          ports.log, topic::workers, {workers_wait_ms, workers_rest_ms},
          {[this](std::vector<log_entry> const& entries, std::int64_t,
                  bool reloaded) {
               post([this, entries, reloaded]
                    { on_workers(entries, reloaded); });
           },
           [](std::string const& reason)
           {
               write_log(log_level::warning, "workers.read.failed",
                         {{"reason", reason}});
           }}),
      first_sequence_(first_sequence(incarnation_)),
      claims_(settings.node, settings.processor_share),
      leadership_(incarnation_, claims_.delay())
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

void dispatch_loop::post(task work)
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
        std::deque<task> work;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            wake_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
            if (stopping_)
                return;
            work.swap(queue_);
        }
        for (auto const& w : work)
            w();
        if (dispatcher_)
            drain_actions();
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
    if (!dispatcher_ && leadership_.should_claim(now) && work_next_ >= 0)
        claim();
    if (append_ && append_waits_)
        append_again();
    if (dispatcher_)
        give_sign(now);
}

void dispatch_loop::take_over()
{
    auto const now = monotonic_ms();
    term_ = leadership_.newest().epoch;
    sequence_ = first_sequence_;
    append_.reset();
    append_waits_ = false;
    to_store_.clear();
    appended_at_ = now;
    listed_.clear();
    dispatcher_ = std::make_unique<tasks::dispatcher>(
        term_, settings_.bounds, now,
        [this](tasks::decision const& d) { note(d); });
    if (config_)
        dispatcher_->set_configuration(*config_);
    auto const ids = table_.unfinished();
    for (auto const& id : ids)
        offer_job(id);
    workers_follower_.pause(false);
    count(&dispatch_metrics::takeovers);
    write_log(log_level::info, "role.taken",
              {{"epoch", std::to_string(term_)},
               {"jobs", std::to_string(ids.size())}});
}

void dispatch_loop::note(tasks::decision const& d)
{
    write_log(log_level::info, d.step, {{"job", d.job}, {"", d.text}});
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
    leadership_.step_down();
    workers_follower_.pause(true);
    append_.reset();
    append_waits_ = false;
    to_store_.clear();
    write_log(log_level::warning, "role.lost",
              {{"epoch", std::to_string(term_)}, {"why", why}});
}

void dispatch_loop::resign()
{
    post(
        [this]
        {
            leadership_.stop_claiming();
            resigning_ = true;
            if (dispatcher_ && !append_)
                give_sign(monotonic_ms());
        });
}

void dispatch_loop::offer_job(std::string const& id)
{
    auto const view = table_.find(id);
    if (!dispatcher_ || !view || !view->job ||
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

void dispatch_loop::on_peer(std::string const& node, node_record const& peer)
{
    post(
        [this, node, share = peer.processor_share]
        {
            claims_.put(node, share);
            leadership_.set_delay(claims_.delay());
            standby_ = claims_.rank() < nodes_next;
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

void dispatch_loop::on_jobs(std::vector<std::string> ids)
{
    post(
        [this, ids = std::move(ids)]
        {
            for (auto const& id : ids)
                offer_job(id);
        });
}

void dispatch_loop::on_work(std::vector<log_entry> entries, std::int64_t next,
                            bool reloaded)
{
    post(
        [this, entries = std::move(entries), next, reloaded]
        {
            auto const now = monotonic_ms();
            bool const wrote = !entries.empty() && !reloaded;
            work_next_ = std::max(work_next_, next);
            for (auto const& e : entries)
            {
                if (e.key != role_key)
                {
                    note_progress(e);
                    continue;
                }
                auto const role = tasks::decode_role(e.value);
                if (!role)
                    continue;
                leadership_.on_record(now, *role);
                if (dispatcher_ && role->epoch > term_)
                    step_down("a higher epoch is in the log");
            }
            leadership_.on_read(now, wrote);
        });
}

/// Ends are read in the log's order: none that is older comes after.
void dispatch_loop::note_progress(log_entry const& e)
{
    auto const summary = tasks::decode_summary(e.value);
    if (dispatcher_ && summary && tasks::is_final(summary->phase))
        dispatcher_->on_final_record_read(e.key);
}

void dispatch_loop::on_work_failed()
{
    post([this] { leadership_.on_read_failed(monotonic_ms()); });
}

void dispatch_loop::on_workers(std::vector<log_entry> const& entries,
                               bool reloaded)
{
    if (!dispatcher_)
        return;
    auto const now = monotonic_ms();
    std::set<std::string> seen;
    for (auto const& e : entries)
    {
        seen.insert(e.key);
        if (e.value.empty())
        {
            dispatcher_->unlist_worker(now, e.key);
            listed_.erase(e.key);
            continue;
        }
        std::string reason;
        auto const info = ports_.decoder.worker_of(e, reason);
        if (!info)
        {
            write_log(log_level::warning, "worker.entry.skipped",
                      {{"worker", e.key}, {"reason", reason}});
            continue;
        }
        dispatcher_->put_worker(now, *info);
        listed_.insert(e.key);
    }
    if (!reloaded)
        return;
    std::vector<std::string> gone;
    for (auto const& id : listed_)
        if (seen.count(id) == 0)
            gone.push_back(id);
    for (auto const& id : gone)
    {
        dispatcher_->unlist_worker(now, id);
        listed_.erase(id);
    }
}
} // namespace jasminetrack::entry
