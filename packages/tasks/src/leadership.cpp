#include <jasminetrack/tasks/leadership.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

/// Three missed signs of life of the holder, which gives one each 500 ms.
constexpr milliseconds holder_timeout_ms = 1'600;
/// A claim that lost waits for the winner's first records.
constexpr milliseconds lost_rest_ms = 400;
/// Claims of nodes that differ in rank are this far apart, up to some rank.
constexpr std::size_t rank_most = 16;
constexpr milliseconds rank_step_ms = 15;
/// With so much of a processor a VM claims at once while it knows no other.
constexpr double ample_share = 0.5;
/// Longest that a VM with less holds its first claim back: the largest ones
/// have read the log by then.
constexpr double alone_delay_ms = 480;

} // namespace

using nlohmann::json;

claim_order::claim_order(std::string self, double share)
    : self_(std::move(self)), share_(share)
{
}

std::size_t claim_order::rank() const
{
    auto const key = [](std::string const& node, double share)
    { return std::tuple(-share, std::hash<std::string>()(node), node); };
    auto const own = key(self_, share_);
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(),
                      [&](auto const& other)
                      { return key(other.first, other.second) < own; }));
}

milliseconds claim_order::delay() const
{
    auto const step = others_.empty() ? std::hash<std::string>()(self_)
                                      : std::min(rank(), rank_most);
    auto const spread =
        static_cast<milliseconds>(step % (rank_most + 1)) * rank_step_ms;
    if (!others_.empty())
        return spread;
    auto const missing = std::clamp(1 - share_ / ample_share, 0.0, 1.0);
    return spread + static_cast<milliseconds>(alone_delay_ms * missing);
}

void claim_order::put(std::string const& node, double share)
{
    if (node != self_)
        others_[node] = share;
}

std::string encode(role_record const& r)
{
    auto const bytes =
        json::to_cbor(json::array({r.epoch, r.holder, r.resigned}));
    return {bytes.begin(), bytes.end()};
}

std::optional<role_record> decode_role(std::string const& bytes)
{
    try
    {
        auto const row = json::from_cbor(bytes);
        return role_record{row.at(0), row.at(1), row.at(2)};
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

leadership::leadership(std::string self, milliseconds delay)
    : self_(std::move(self)), delay_(delay)
{
}

bool leadership::should_claim(milliseconds now) const noexcept
{
    if (stopped_ || leading_ || claiming_ || readable_since_ < 0 ||
        now < claim_not_before_)
        return false;
    if (newest_.epoch == 0 || newest_.resigned)
        return now - readable_since_ >= delay_;
    return now - heartbeat_at_ >= holder_timeout_ms + delay_ &&
           now - readable_since_ >= holder_timeout_ms + delay_;
}

void leadership::on_read(milliseconds now, bool dispatcher_wrote)
{
    if (readable_since_ < 0)
        readable_since_ = now;
    if (dispatcher_wrote || heartbeat_at_ < 0)
        heartbeat_at_ = now;
}

void leadership::on_read_failed(milliseconds)
{
    readable_since_ = -1;
}

void leadership::on_record(milliseconds now, role_record const& r)
{
    if (r.epoch < newest_.epoch)
        return;
    if (r.epoch > newest_.epoch && r.holder != self_)
        leading_ = false;
    newest_ = r;
    heartbeat_at_ = now;
    if (r.resigned)
        claim_not_before_ = now + delay_;
}

void leadership::on_claim_sent(milliseconds) noexcept
{
    claiming_ = true;
}

void leadership::on_claim_stored(milliseconds now, role_record const& r)
{
    claiming_ = false;
    if (r.epoch < newest_.epoch || stopped_)
        return;
    newest_ = r;
    heartbeat_at_ = now;
    leading_ = true;
}

void leadership::on_claim_lost(milliseconds now) noexcept
{
    claiming_ = false;
    claim_not_before_ = now + lost_rest_ms + delay_;
}

void leadership::set_delay(milliseconds delay) noexcept
{
    delay_ = delay;
}

void leadership::step_down() noexcept
{
    leading_ = false;
}

void leadership::stop_claiming() noexcept
{
    stopped_ = true;
}

} // namespace jasminetrack::tasks
