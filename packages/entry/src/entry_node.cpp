#include <jasminetrack/entry/entry_node.hpp>

#include "log_keys.hpp"

#include <jasminetrack/runtime/logging.hpp>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

constexpr milliseconds follow_wait_ms = 1'000;
constexpr milliseconds config_rest_ms = 50;
/// Rests between reads of jobs and of their progress: of the dispatcher, of
/// those next in line for its role, and of the others, which read at once
/// when a caller asks.
struct follow_rests
{
    milliseconds jobs;
    milliseconds work;
};
constexpr follow_rests dispatcher_rests{20, 100};
constexpr follow_rests next_rests{200, 100};
constexpr follow_rests other_rests{1'000, 1'000};
/// Without contact to the log for this long callers are better off elsewhere.
constexpr milliseconds ready_age_ms = 4'000;

constexpr milliseconds announce_wait_ms = 800;

/// Says once when a dependency is lost and once when it is back.
class contact_log
{
public:
    explicit contact_log(std::string what) : what_(std::move(what)) {}

    void good()
    {
        if (lost_at_ >= 0)
            write_log(log_level::info, "log.read.back",
                      {{"topic", what_},
                       {"lost_ms", std::to_string(monotonic_ms() - lost_at_)}});
        lost_at_ = -1;
    }
    void bad(std::string const& reason)
    {
        if (lost_at_ >= 0)
            return;
        lost_at_ = monotonic_ms();
        write_log(log_level::warning, "log.read.lost",
                  {{"topic", what_}, {"reason", reason}});
    }

private:
    std::string what_;
    milliseconds lost_at_ = -1;
};

std::string new_incarnation(std::string const& node)
{
    return node + "-" + std::to_string(runtime::wall_ms());
}

} // namespace

entry_node::entry_node(entry_settings const& settings, platform_ports ports)
    : settings_(settings), ports_(ports), peers_(settings.node),
      log_(ports.log, client_, peers_),
      incarnation_(new_incarnation(settings.node)),
      writer_(log_, topic::jobs, incarnation_, timers_),
      requests_(table_, writer_, jobs_age_, jobs_follower_, work_follower_,
                latencies_),
      dispatch_(settings, incarnation_, {log_, ports.workers, ports.decoder},
                table_, timers_, latencies_),
      config_follower_(
          log_, topic::configuration, {follow_wait_ms, config_rest_ms},
          {[this, contact = std::make_shared<contact_log>("configuration")](
               std::vector<log_entry> const& entries, std::int64_t, bool)
           {
               contact->good();
               config_age_.record_contact(monotonic_ms());
               take_configuration(entries);
           },
           [contact = std::make_shared<contact_log>("configuration")](
               std::string const& reason) { contact->bad(reason); }}),
      jobs_follower_(log_, topic::jobs, {follow_wait_ms, next_rests.jobs},
                     {[this](std::vector<log_entry> const& entries,
                             std::int64_t, bool) { take_jobs(entries); },
                      [](std::string const&) {}}),
      work_follower_(log_, topic::work, {follow_wait_ms, next_rests.work},
                     {[this](std::vector<log_entry> const& entries,
                             std::int64_t next, bool reloaded)
                      {
                          for (auto const& e : entries)
                              (void)table_.apply_progress(e);
                          dispatch_.on_work(entries, next, reloaded);
                          pace_followers();
                      },
                      [this](std::string const&)
                      { dispatch_.on_work_failed(); }})
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

bool entry_node::is_ready() const
{
    return !draining_ && configuration() &&
           jobs_age_.age(monotonic_ms()) <= ready_age_ms;
}

void entry_node::take_configuration(std::vector<log_entry> const& entries)
{
    for (auto const& e : entries)
    {
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

void entry_node::take_jobs(std::vector<log_entry> const& entries)
{
    jobs_age_.record_contact(monotonic_ms());
    std::vector<std::string> ids;
    for (auto const& e : entries)
        if (e.key.starts_with(node_prefix))
            take_peer(e);
        else if (auto id = table_.apply_job(e))
            ids.push_back(std::move(*id));
    if (!ids.empty())
        dispatch_.on_jobs(std::move(ids));
    announce();
}

void entry_node::pace_followers()
{
    auto const place = dispatch_.rank();
    auto const& rests = place == dispatch_rank::dispatcher ? dispatcher_rests
                        : place == dispatch_rank::standby  ? next_rests
                                                           : other_rests;
    jobs_follower_.set_interval(rests.jobs);
    work_follower_.set_interval(rests.work);
}

void entry_node::take_peer(log_entry const& e)
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

void entry_node::announce()
{
    if (announced_.exchange(true))
        return;
    node_record const self{settings_.mesh, settings_.processor_share};
    auto const result =
        writer_.write({std::string(node_prefix) + settings_.node, encode(self)},
                      announce_wait_ms, announce_wait_ms);
    if (result != write_result::stored)
        announced_ = false;
}

runtime::http_response
entry_node::serve_peer(runtime::http_request const& request)
{
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
    return gauges_text(dispatch_.metrics(), jobs_age_.age(monotonic_ms())) +
           latencies_.to_text();
}

} // namespace jasminetrack::entry
