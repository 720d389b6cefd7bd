#include <jasminetrack/entry/relay.hpp>

#include "relay_codec.hpp"

#include <jasminetrack/runtime/logging.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <array>
#include <future>

namespace jasminetrack::entry
{
namespace
{

using runtime::delivery;
using runtime::http_client_request;
using runtime::http_client_result;
using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

/// Interval of direct calls while the direct path fails.
constexpr milliseconds direct_retry_interval_ms = 1'000;
/// No call is relayed for this long after a peer could not reach the log.
constexpr milliseconds peer_backoff_ms = 700;
/// Limits a relayed read, so that the recovery of the direct path is noticed
/// well within the time in which a configuration must be in force.
constexpr milliseconds max_relayed_long_poll_ms = 500;
/// Added to the time-out of a call to the log for the way through a peer.
constexpr milliseconds relay_overhead_ms = 700;
constexpr milliseconds read_newest_timeout_ms = 1'500;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr char const* relay_path = "/relay";
constexpr char const* cbor_type = "application/cbor";

bool failed(append_answer const& a)
{
    return a.result == append_result::refused ||
           a.result == append_result::unknown;
}

http_client_request make_call(std::string const& address, std::string body,
                              milliseconds timeout)
{
    http_client_request call;
    call.address = address;
    call.method = "POST";
    call.path = relay_path;
    call.body = std::move(body);
    call.content_type = cbor_type;
    call.timeout_ms = timeout;
    return call;
}

http_client_request make_call(std::string const& address,
                              append_call const& call)
{
    auto request = make_call(address, encode_call(call),
                             call.timeout_ms + relay_overhead_ms);
    // On a reused connection, a failed send does not show whether the peer
    // received the request.
    request.fresh_connection = true;
    return request;
}

std::optional<append_answer> parse_append_answer(http_client_result const& a)
{
    if (a.result != delivery::answered || a.status != status_ok)
        return std::nullopt;
    return decode_append_answer(a.body);
}

} // namespace

char const* to_text(topic t) noexcept
{
    constexpr std::array<char const*, topic_count> names{
        "jobs", "work", "configuration", "workers"};
    return names[static_cast<std::size_t>(t)];
}

char const* to_text(append_result r) noexcept
{
    constexpr std::array names{"stored", "fenced", "conflict", "refused",
                               "unknown"};
    return names[static_cast<std::size_t>(r)];
}

peer_directory::peer_directory(std::string self) : self_(std::move(self)) {}

std::vector<std::string> peer_directory::first(std::size_t max_count)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const count = std::min(max_count, rotation_.size());
    return {rotation_.begin(),
            rotation_.begin() + static_cast<std::ptrdiff_t>(count)};
}

void peer_directory::put(std::string const& node, std::string const& address)
{
    if (node == self_)
        return;
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& known = addresses_[node];
    if (known == address)
        return;
    std::erase(rotation_, known);
    known = address;
    // The position depends on this node's name, so that nodes prefer different
    // peers and no peer gets all the load.
    auto const at =
        std::hash<std::string>()(self_ + node) % (rotation_.size() + 1);
    rotation_.insert(rotation_.begin() + static_cast<std::ptrdiff_t>(at),
                     address);
}

void peer_directory::move_to_back(std::string const& address)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (std::erase(rotation_, address) > 0)
        rotation_.push_back(address);
}

void peer_directory::rotate()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!rotation_.empty())
        std::rotate(rotation_.begin(), rotation_.begin() + 1, rotation_.end());
}

bool log_route_health::try_direct(milliseconds now)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!degraded_)
        return true;
    if (now < direct_retry_ms_)
        return false;
    direct_retry_ms_ = now + direct_retry_interval_ms;
    return true;
}

bool log_route_health::degraded() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return degraded_;
}

bool log_route_health::may_try_peers(milliseconds now) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return now >= peers_retry_ms_;
}

bool log_route_health::on_direct_success()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return std::exchange(degraded_, false);
}

bool log_route_health::on_direct_failure(milliseconds now)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    direct_retry_ms_ = now + direct_retry_interval_ms;
    return !std::exchange(degraded_, true);
}

void log_route_health::retry_direct_now()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    direct_retry_ms_ = 0;
}

void log_route_health::on_peer_failure(milliseconds now)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    peers_retry_ms_ = now + peer_backoff_ms;
}

relayed_log::relayed_log(log_port& direct, runtime::http_client& client,
                         peer_directory& peers)
    : direct_(direct), client_(client), peers_(peers)
{
}

void relayed_log::record_direct_failure(topic t, std::string const& reason)
{
    if (health_of(t).on_direct_failure(monotonic_ms()))
        write_log(log_level::warning, "log.direct.lost",
                  {{"topic", to_text(t)}, {"reason", reason}});
}

void relayed_log::record_direct_success(topic t)
{
    if (!health_of(t).on_direct_success())
        return;
    write_log(log_level::info, "log.direct.back", {{"topic", to_text(t)}});
    for (std::size_t other = 0; other < topic_count; ++other)
        health_of(static_cast<topic>(other)).retry_direct_now();
}

void relayed_log::append(append_call call,
                         std::function<void(append_answer)> done)
{
    if (!health_of(call.topic).try_direct(monotonic_ms()))
    {
        append_answer none;
        none.result = append_result::refused;
        none.reason =
            "the direct path to the log is failing and no peer is available";
        append_via_peer(std::move(call), none, std::move(done));
        return;
    }
    auto copy = call;
    direct_.append(std::move(copy),
                   [this, call = std::move(call),
                    done = std::move(done)](append_answer const& a)
                   {
                       if (!failed(a))
                       {
                           record_direct_success(call.topic);
                           done(a);
                           return;
                       }
                       record_direct_failure(call.topic, a.reason);
                       append_via_peer(call, a, done);
                   });
}

void relayed_log::append_via_peer(append_call call, append_answer direct,
                                  std::function<void(append_answer)> done)
{
    auto const peers = peers_.first(1);
    auto& health = health_of(call.topic);
    if (peers.empty() || !health.may_try_peers(monotonic_ms()))
    {
        done(direct);
        return;
    }
    auto const& address = peers.front();
    client_.send(make_call(address, call),
                 [this, address, direct, &health,
                  done = std::move(done)](http_client_result const& a)
                 {
                     auto answer = parse_append_answer(a);
                     if (!answer || failed(*answer))
                     {
                         peers_.move_to_back(address);
                         health.on_peer_failure(monotonic_ms());
                     }
                     // A peer that received the append and did not answer may
                     // have relayed it.
                     if (!answer)
                         answer = append_answer{a.result == delivery::not_sent
                                                    ? append_result::refused
                                                    : append_result::unknown,
                                                0, a.reason};
                     if (direct.result == append_result::unknown &&
                         answer->result == append_result::refused)
                         answer->result = append_result::unknown;
                     done(*answer);
                 });
}

std::optional<std::string> relayed_log::call_peer(topic t, std::string body,
                                                  milliseconds timeout)
{
    auto& health = health_of(t);
    if (!health.may_try_peers(monotonic_ms()))
        return std::nullopt;
    auto const peers = peers_.first(1);
    if (peers.empty())
        return std::nullopt;
    auto call = make_call(peers.front(), std::move(body), timeout);
    call.resend_if_closed = true;
    auto const a = client_.send(std::move(call));
    if (a.result == delivery::answered && a.status == status_ok)
        return a.body;
    peers_.move_to_back(peers.front());
    health.on_peer_failure(monotonic_ms());
    return std::nullopt;
}

read_answer relayed_log::read(read_call const& call)
{
    read_answer direct;
    auto& health = health_of(call.topic);
    bool const was_degraded = health.degraded();
    if (health.try_direct(monotonic_ms()))
    {
        auto probe = call;
        if (was_degraded)
            probe.wait_ms = 0;
        direct = direct_.read(probe);
        if (direct.result != read_result::failed)
        {
            record_direct_success(call.topic);
            return direct;
        }
        record_direct_failure(call.topic, direct.reason);
    }
    auto relayed = call;
    relayed.wait_ms = std::min(call.wait_ms, max_relayed_long_poll_ms);
    auto const body = call_peer(call.topic, encode_call(relayed),
                                relayed.wait_ms + relay_overhead_ms);
    auto answer = body ? decode_read_answer(*body) : std::nullopt;
    if (answer && answer->result == read_result::failed)
    {
        health.on_peer_failure(monotonic_ms());
        peers_.rotate();
    }
    return answer.value_or(direct);
}

newest_answer relayed_log::read_newest(topic t, std::string const& after)
{
    newest_answer direct;
    if (health_of(t).try_direct(monotonic_ms()))
    {
        direct = direct_.read_newest(t, after);
        if (direct.answered)
        {
            record_direct_success(t);
            return direct;
        }
        record_direct_failure(t, direct.reason);
    }
    auto const body = call_peer(t, encode_call(newest_call{t, after}),
                                read_newest_timeout_ms);
    auto answer = body ? decode_newest_answer(*body) : std::nullopt;
    return answer.value_or(direct);
}

namespace
{

/// Carries out a relayed call on the direct path.
struct relay_executor
{
    log_port& direct;

    std::string operator()(append_call const& c) const
    {
        auto const result = std::make_shared<std::promise<append_answer>>();
        auto answer = result->get_future();
        direct.append(c, [result](append_answer const& a)
                      { result->set_value(a); });
        return encode_answer(answer.get());
    }
    std::string operator()(read_call const& c) const
    {
        return encode_answer(direct.read(c));
    }
    std::string operator()(newest_call const& c) const
    {
        return encode_answer(direct.read_newest(c.topic, c.after));
    }
};

} // namespace

runtime::http_response serve_relay(log_port& direct,
                                   runtime::http_request const& request)
{
    auto const call = request.path == relay_path ? decode_call(request.body)
                                                 : std::optional<relay_call>();
    if (!call)
        return {status_bad_request, "", cbor_type, {}};
    return {
        status_ok, std::visit(relay_executor{direct}, *call), cbor_type, {}};
}

} // namespace jasminetrack::entry
