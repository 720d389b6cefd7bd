#include <jasminetrack/entry/entry_node.hpp>

#include "log_keys.hpp"
#include "read_outage_log.hpp"

#include <jasminetrack/runtime/logging.hpp>

#include <algorithm>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

constexpr milliseconds long_poll_ms = 1'000;
constexpr milliseconds config_interval_ms = 50;
/// Pauses between reads of the topics of jobs and of work. Nodes that are
/// neither dispatcher nor standby read rarely, and at once when a request
/// needs a recent view.
struct poll_intervals
{
    milliseconds jobs;
    milliseconds work;
};
constexpr poll_intervals dispatcher_intervals{20, 100};
constexpr poll_intervals standby_intervals{200, 100};
constexpr poll_intervals other_intervals{1'000, 1'000};
/// A node that has not read the log for this long is not ready: other nodes
/// serve its callers better.
constexpr milliseconds max_ready_age_ms = 4'000;

constexpr milliseconds publish_timeout_ms = 800;
/// The configuration is read at least each second, by a long poll.
constexpr milliseconds max_configuration_age_ms = 1'500;
constexpr milliseconds configuration_read_timeout_ms = 1'000;

std::string new_incarnation(std::string const& node)
{
    return node + "-" + std::to_string(runtime::wall_ms());
}

} // namespace

entry_node::entry_node(entry_settings const& settings, platform_ports ports)
    : settings_(settings), ports_(ports), peers_(settings.node),
      log_(ports.log, client_, peers_), survey_(client_, peers_),
      incarnation_(new_incarnation(settings.node)),
      writer_(log_, topic::jobs, incarnation_, timers_),
      admission_(settings.limits.shed_load),
      requests_(table_, writer_, jobs_age_, work_age_, jobs_follower_,
                work_follower_, admission_, latencies_),
      dispatch_(settings, incarnation_, {log_, ports.workers, ports.decoder},
                {survey_, outage_reports_}, table_, jobs_follower_, timers_,
                latencies_),
      config_follower_(
          log_, topic::configuration, {long_poll_ms, config_interval_ms},
          log_outages("configuration", {[this](topic_page const& page)
                                        {
                                            apply_configuration(page.entries);
                                            apply_evacuations(page);
                                        },
                                        [](std::string const&) {}})),
      jobs_follower_(log_, topic::jobs, {long_poll_ms, standby_intervals.jobs},
                     log_outages("jobs", {[this](topic_page const& page)
                                          { apply_jobs(page.entries); },
                                          [](std::string const&) {}})),
      work_follower_(
          log_, topic::work, {long_poll_ms, standby_intervals.work},
          log_outages("work", {[this](topic_page const& page)
                               {
                                   outage_reports_.on_read(true);
                                   if (!page.entries.empty())
                                       work_age_.record_contact(monotonic_ms());
                                   for (auto const& e : page.entries)
                                       (void)table_.apply_progress(e);
                                   apply_load(page);
                                   dispatch_.on_work(page);
                                   set_poll_intervals();
                               },
                               [this](std::string const&)
                               {
                                   outage_reports_.on_read(false);
                                   dispatch_.on_work_read_failed();
                               }}))
{
}

entry_node::~entry_node()
{
    stop();
}

std::shared_ptr<tasks::configuration const> entry_node::configuration() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return config_;
}

bool entry_node::has_current_configuration()
{
    return config_follower_.was_at_end_within(max_configuration_age_ms) ||
           config_follower_.read_to_end(configuration_read_timeout_ms);
}

bool entry_node::is_ready() const
{
    return !draining_ && configuration() &&
           jobs_age_.age(monotonic_ms()) <= max_ready_age_ms;
}

void entry_node::apply_configuration(std::vector<log_entry> const& entries)
{
    for (auto const& e : entries)
    {
        if (ports_.decoder.evacuation_of(e))
            continue;
        std::string reason;
        auto config = ports_.decoder.configuration_of(e, reason);
        if (!config)
        {
            if (!reason.empty())
                write_log(log_level::warning, "configuration.skipped",
                          {{"key", e.key}, {"reason", reason}});
            continue;
        }
        std::lock_guard<std::mutex> const lock(mutex_);
        if (config_ && config->version <= config_->version)
            continue;
        write_log(log_level::info, "configuration.in_force",
                  {{"version", std::to_string(config->version)},
                   {"queues", std::to_string(config->queues.size())},
                   {"teams", std::to_string(config->teams.size())}});
        config_ =
            std::make_shared<tasks::configuration const>(std::move(*config));
        dispatch_.on_configuration(config_);
    }
}

/// Notifies the dispatcher only after a read to the end of the topic, so that
/// it never acts on a part of the records.
void entry_node::apply_evacuations(topic_page const& page)
{
    auto const before = evacuated_;
    if (page.reloaded)
        evacuated_.clear();
    for (auto const& e : page.entries)
    {
        auto const evacuation = ports_.decoder.evacuation_of(e);
        if (!evacuation)
            continue;
        if (evacuation->in_force)
            evacuated_.insert(evacuation->data_center);
        else
            evacuated_.erase(evacuation->data_center);
    }
    log_evacuations(before, page);
    if (page.at_end)
        dispatch_.on_evacuations(evacuated_, page.as_of_ms);
}

void entry_node::log_evacuations(std::set<std::string> const& before,
                                 topic_page const& page) const
{
    auto const log = [&](char const* step, std::set<std::string> const& from,
                         std::set<std::string> const& to)
    {
        for (auto const& data_center : to)
            if (from.count(data_center) == 0)
                write_log(log_level::info, step,
                          {{"data_center", data_center},
                           {"read_to", std::to_string(page.next)},
                           {"age_ms",
                            std::to_string(monotonic_ms() - page.as_of_ms)}});
    };
    log("evacuation.in_force", before, evacuated_);
    log("evacuation.ended", evacuated_, before);
}

void entry_node::apply_jobs(std::vector<log_entry> const& entries)
{
    jobs_age_.record_contact(monotonic_ms());
    std::vector<std::string> ids;
    for (auto const& e : entries)
        if (e.key.starts_with(node_prefix))
            apply_peer(e);
        else if (auto id = table_.apply_job(e))
            ids.push_back(std::move(*id));
    if (!ids.empty())
        dispatch_.on_jobs(std::move(ids));
    publish_node_record();
}

/// The dispatcher takes a reading after its previous record was stored, and an
/// append that is repeated for long carries an old one. So the reading may be
/// as old as the time since the records before were read.
void entry_node::apply_load(topic_page const& page)
{
    if (!admission_.enabled())
        return;
    auto const now = monotonic_ms();
    std::string newest;
    for (auto const& e : page.entries)
        if (auto const role =
                e.key == role_key ? tasks::decode_role(e.value) : std::nullopt;
            role && !role->load.empty())
            newest = role->load;
    auto const before = std::min(work_end_read_ms_, work_records_ms_);
    if (!newest.empty() && before >= 0)
        admission_.put_reading(now, newest, now - before);
    if (page.at_end)
        work_end_read_ms_ = page.as_of_ms;
    if (!page.entries.empty())
        work_records_ms_ = now;
}

void entry_node::set_poll_intervals()
{
    auto const rank = dispatch_.rank();
    auto const& intervals = rank == dispatch_rank::dispatcher
                                ? dispatcher_intervals
                            : rank == dispatch_rank::standby ? standby_intervals
                                                             : other_intervals;
    jobs_follower_.set_interval(intervals.jobs);
    work_follower_.set_interval(intervals.work);
}

void entry_node::apply_peer(log_entry const& e)
{
    auto const peer = decode_node(e.value);
    if (!peer)
    {
        write_log(log_level::warning, "peer.entry.skipped",
                  {{"key", e.key}, {"reason", "unreadable"}});
        return;
    }
    peers_.put(e.key.substr(node_prefix.size()), peer->address);
    dispatch_.on_peer(e.key.substr(node_prefix.size()), *peer);
}

void entry_node::publish_node_record()
{
    if (node_record_published_.exchange(true))
        return;
    node_record const self{settings_.mesh, settings_.processor_share};
    auto const result =
        writer_.write({std::string(node_prefix) + settings_.node, encode(self)},
                      publish_timeout_ms, publish_timeout_ms);
    if (result != write_result::stored)
        node_record_published_ = false;
}

runtime::http_response
entry_node::serve_peer(runtime::http_request const& request)
{
    if (is_log_state_request(request))
        return serve_log_state(outage_reports_);
    return serve_relay(ports_.log, request);
}

void entry_node::start()
{
    dispatch_.start();
    config_follower_.start();
    jobs_follower_.start();
    work_follower_.start();
}

void entry_node::drain()
{
    draining_ = true;
    dispatch_.resign();
}

void entry_node::stop()
{
    config_follower_.stop();
    jobs_follower_.stop();
    work_follower_.stop();
    dispatch_.stop();
    timers_.stop();
}

std::string entry_node::metrics() const
{
    auto const now = monotonic_ms();
    auto text = gauges_text(dispatch_.metrics(), jobs_age_.age(now));
    if (admission_.enabled())
        text += gauges_text(admission_.metrics(now));
    return text + latencies_.to_text();
}

} // namespace jasminetrack::entry
