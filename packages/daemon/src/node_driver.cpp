#include "node_driver.hpp"

#include <jasminetrack/runtime/logging.hpp>

#include <chrono>
#include <thread>

#include <unistd.h>

namespace jasminetrack::daemon
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

constexpr std::int64_t tick_interval_ms = 50;
constexpr std::int64_t heartbeat_interval_ms = 500;
constexpr std::int64_t vm_list_interval_ms = 1000;
constexpr std::int64_t order_timeout_ms = 1000;
/// Entries kept to relay them to peers.
constexpr std::size_t max_recent_entries = 8192;
constexpr std::size_t max_relayed_entries = 200; ///< in one message
/// Entries are relayed to a peer that has not read the log for this long.
constexpr std::int64_t relay_after_log_age_ms = 1500;

std::string make_incarnation(std::string const& node)
{
    return node + "." + std::to_string(runtime::wall_ms()) + "." +
           std::to_string(::getpid());
}

core::node_settings core_settings(protocol::daemon_settings const& s,
                                  std::string const& incarnation)
{
    return {s.node, incarnation, s.region, s.timing, s.policy};
}

std::string record_key(std::uint64_t sequence)
{
    return "record/" + std::to_string(sequence);
}

} // namespace

node_driver::node_driver(protocol::daemon_settings settings)
    : settings_(std::move(settings)),
      incarnation_(make_incarnation(settings_.node)), events_(settings_.node),
      node_(core_settings(settings_, incarnation_)),
      mesh_(settings_.mesh,
            [this](protocol::bytes const& data) { on_peer(data); }),
      log_(settings_.platform, incarnation_,
           {[this](protocol::log_page page, std::int64_t request_ms)
            { on_page(page, request_ms); },
            [this](std::uint64_t first) { recover_from(first); },
            [this](std::string const& reason)
            {
                ++metrics_.failed_log_calls;
                write_log(log_level::debug, "log.call",
                          {{"peer", settings_.platform}, {"reason", reason}});
            }})
{
}

node_driver::~node_driver()
{
    stop();
}

bool node_driver::start(std::string& reason)
{
    if (!mesh_.start(reason))
        return false;
    log_.start(0);
    timers_.subscribe(tick_interval_ms,
                      [this] { handle_event(core::tick_event{}); });
    timers_.subscribe(heartbeat_interval_ms, [this] { send_heartbeats(); });
    timers_.subscribe(vm_list_interval_ms, [this] { poll_vm_list(); });
    return true;
}

void node_driver::stop()
{
    if (stopping_.exchange(true))
        return;
    timers_.stop();
    mesh_.stop();
    log_.stop();
    changes_.notify_all();
    constexpr std::chrono::milliseconds step{10};
    while (open_calls_ > 0)
        std::this_thread::sleep_for(step);
}

void node_driver::send(
    runtime::http_client_request call,
    std::function<void(runtime::http_client_result const&)> done)
{
    ++open_calls_;
    client_.send(std::move(call),
                 [this, done = std::move(done)](
                     runtime::http_client_result const& answer)
                 {
                     if (!stopping_)
                         done(answer);
                     --open_calls_;
                 });
}

vm_list node_driver::listed_vms() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return listed_vms_;
}

void node_driver::handle_event(core::event const& e)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    perform(node_.step(monotonic_ms(), e));
}

void node_driver::perform(core::actions const& list)
{
    for (auto const& a : list)
        std::visit([this](auto const& body) { perform_one(body); }, a);
}

void node_driver::perform_one(core::append_action const& a)
{
    log_.append(a.body);
}

void node_driver::perform_one(core::order_action const& a)
{
    runtime::http_client_request call;
    call.address = a.address;
    call.method = "POST";
    call.path = "/v1/order";
    call.body = protocol::to_json_text(a.order);
    call.timeout_ms = order_timeout_ms;
    // An order is the complete desired state of its worker.
    call.resend_if_closed = true;
    ++metrics_.orders;
    metrics_.order_bytes += call.body.size();
    send(std::move(call),
         [this, name = a.worker](runtime::http_client_result const& answer)
         {
             if (answer.result == runtime::delivery::answered)
             {
                 metrics_.order_bytes += answer.body.size();
                 auto report = protocol::parse_report(answer.body);
                 if (report)
                 {
                     handle_event(report.value());
                     return;
                 }
             }
             ++metrics_.unanswered_orders;
             write_log(log_level::debug, "worker.order",
                       {{"peer", name}, {"reason", answer.reason}});
             handle_event(core::worker_timeout_event{name});
         });
}

void node_driver::perform_one(core::record_applied_action const& a)
{
    ++metrics_.records_applied;
    for (auto const& what : a.outcome.effects)
    {
        events_.add(what.kind, what.key, what.text,
                    static_cast<std::int64_t>(a.offset));
        changes_.notify(what.kind + "/" + what.key);
        write_log(log_level::info, what.kind,
                  {{"key", what.key},
                   {"offset", std::to_string(a.offset)},
                   {"text", what.text}});
    }
    if (a.writer != incarnation_)
        return;
    log_.confirm(a.sequence);
    auto const found = results_.find(a.sequence);
    if (found != results_.end() && !found->second)
    {
        found->second = a.outcome;
        changes_.notify(record_key(a.sequence));
    }
    if (!a.outcome.accepted)
        write_log(log_level::debug, "record.refused",
                  {{"offset", std::to_string(a.offset)},
                   {"reason", a.outcome.reason}});
}

void node_driver::keep_recent(std::vector<core::log_entry> const& entries)
{
    for (auto const& e : entries)
        if (recent_entries_.empty() ||
            e.offset == recent_entries_.back().offset + 1)
            recent_entries_.push_back(e);
    while (recent_entries_.size() > max_recent_entries)
        recent_entries_.pop_front();
}

std::vector<core::log_entry>
node_driver::recent_entries_from(std::uint64_t next) const
{
    if (recent_entries_.empty() || next < recent_entries_.front().offset ||
        next > recent_entries_.back().offset)
        return {};
    auto const first =
        recent_entries_.begin() +
        static_cast<std::ptrdiff_t>(next - recent_entries_.front().offset);
    auto const count = std::min<std::ptrdiff_t>(
        recent_entries_.end() - first,
        static_cast<std::ptrdiff_t>(max_relayed_entries));
    return {first, first + count};
}

void node_driver::on_page(protocol::log_page const& page,
                          std::int64_t request_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!page.entries.empty())
        events_.observe(page.entries.back().time);
    if (recovery_)
    {
        if (!recover(page))
            return;
    }
    else
        apply_entries(page.entries);
    perform(node_.step(monotonic_ms(),
                       core::log_caught_up_event{page.end, request_ms}));
    append_mark_if_due();
}

void node_driver::on_peer(protocol::bytes const& data)
{
    auto const decoded = protocol::decode_peer_message(data);
    if (!decoded)
    {
        write_log(log_level::warning, "peer.decode",
                  {{"reason", decoded.failure().reason}});
        return;
    }
    auto const& m = decoded.value();
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const now = monotonic_ms();
    peer_status_[m.node] = {m.sent_ms, m.next, m.log_age_ms};
    perform(node_.step(now, core::peer_event{m.node, m.incarnation, m.region,
                                             m.log_age_ms, m.draining}));
    if (!m.relayed.empty() && !recovery_)
    {
        metrics_.relayed += m.relayed.size();
        apply_entries(m.relayed);
    }
    // The peer sent this after it had received this node's heartbeat of
    // echo_ms, so it has read the log to its end at echo_ms - log_age_ms or
    // later on this node's clock.
    if (m.echo_ms > 0)
        perform(node_.step(
            now, core::log_caught_up_event{m.next, m.echo_ms - m.log_age_ms}));
}

void node_driver::send_heartbeats()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const now = monotonic_ms();
    for (auto const& [name, address] : listed_vms_.entry_addresses)
    {
        if (name == settings_.node)
            continue;
        auto const status = peer_status_[name];
        protocol::peer_message m;
        m.node = settings_.node;
        m.incarnation = incarnation_;
        m.region = settings_.region;
        m.next = node_.state().next;
        m.log_age_ms = node_.log_age(now);
        m.draining = node_.draining();
        m.sent_ms = now;
        m.echo_ms = status.sent_ms;
        if (status.log_age_ms > relay_after_log_age_ms && status.next < m.next)
            m.relayed = recent_entries_from(status.next);
        mesh_.send(name, protocol::encode(m));
    }
}

void node_driver::poll_vm_list()
{
    if (polling_.exchange(true))
        return;
    runtime::http_client_request call;
    call.address = settings_.platform;
    call.path = "/v1/vms";
    call.timeout_ms = order_timeout_ms;
    send(std::move(call), [this](runtime::http_client_result const& answer)
         { on_vm_list(answer); });
}

void node_driver::on_vm_list(runtime::http_client_result const& answer)
{
    polling_ = false;
    if (answer.result != runtime::delivery::answered || answer.status != 200)
        return;
    auto list = parse_vm_list(answer.body);
    if (!list)
    {
        write_log(log_level::warning, "vm_list.parse",
                  {{"reason", list.failure().reason}});
        return;
    }
    auto peers = list.value().entry_addresses;
    peers.erase(settings_.node);
    mesh_.set_peers(peers);
    std::lock_guard<std::mutex> const lock(mutex_);
    listed_vms_ = list.value();
    core::vm_list_event listed{listed_vms_.workers, {}};
    for (auto const& [name, address] : listed_vms_.entry_addresses)
        listed.entries.insert(name);
    perform(node_.step(monotonic_ms(), listed));
}

std::optional<core::apply_result> node_driver::propose(core::record body,
                                                       std::int64_t until_ms,
                                                       std::uint64_t& sequence)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        sequence = log_.append(std::move(body));
        results_[sequence] = std::nullopt;
    }
    std::optional<core::apply_result> result;
    (void)changes_.wait(record_key(sequence), until_ms,
                        [&]
                        {
                            std::lock_guard<std::mutex> const lock(mutex_);
                            result = results_[sequence];
                            return result.has_value() || stopping_;
                        });
    std::lock_guard<std::mutex> const lock(mutex_);
    results_.erase(sequence);
    return result;
}

void node_driver::append(core::record body)
{
    log_.append(std::move(body));
}

bool node_driver::withdraw(std::uint64_t sequence)
{
    return log_.withdraw(sequence);
}

bool node_driver::await_read(std::int64_t until_ms)
{
    auto const begun = monotonic_ms();
    auto const was_read = [&]
    {
        return with_node(
            [&](core::node const& n)
            {
                auto const now = monotonic_ms();
                return now - n.log_age(now) >= begun;
            });
    };
    constexpr std::int64_t recheck_interval_ms = 50;
    while (!was_read() && monotonic_ms() < until_ms)
        (void)changes_.wait("log/read", monotonic_ms() + recheck_interval_ms,
                            was_read);
    return was_read();
}

bool node_driver::drain(std::int64_t until_ms)
{
    handle_event(core::drain_event{});
    auto const released = [this] {
        return with_node([](core::node const& n)
                         { return !n.owns_any_region(); });
    };
    constexpr std::int64_t recheck_interval_ms = 100;
    while (!released() && monotonic_ms() < until_ms)
        (void)changes_.wait("claim/drain", monotonic_ms() + recheck_interval_ms,
                            released);
    return released();
}

} // namespace jasminetrack::daemon
