#include <jasminetrack/tasks/leadership.hpp>

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

/// Wait after a lost claim, for the first records of the winner.
constexpr milliseconds lost_claim_wait_ms = 400;
/// A node may claim this long after it has read the log to its end: a long
/// poll, and the pause and the slack around it.
constexpr milliseconds max_view_age_ms = 2'200;
/// Delay between the claims of nodes of successive ranks. Nodes of `max_rank`
/// and above share one delay.
constexpr milliseconds rank_step_ms = 15;
constexpr std::size_t max_rank = 16;
/// A VM that knows no other node claims without extra delay if it has this
/// share of a processor.
constexpr double sufficient_share = 0.5;
/// Longest extra delay of a VM with a smaller share; the largest VMs have read
/// the log by then.
constexpr double max_small_vm_delay_ms = 480;

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
                                      : std::min(rank(), max_rank);
    auto const spread =
        static_cast<milliseconds>(step % (max_rank + 1)) * rank_step_ms;
    if (!others_.empty())
        return spread;
    auto const missing = std::clamp(1 - share_ / sufficient_share, 0.0, 1.0);
    return spread + static_cast<milliseconds>(max_small_vm_delay_ms * missing);
}

void claim_order::put(std::string const& node, double share)
{
    if (node != self_)
        others_[node] = share;
}

std::string encode(role_record const& r)
{
    auto row = json::array({r.epoch, r.holder, r.resigned});
    if (!r.load.empty())
        row.push_back(json::binary({r.load.begin(), r.load.end()}));
    auto const bytes = json::to_cbor(row);
    return {bytes.begin(), bytes.end()};
}

std::optional<role_record> decode_role(std::string const& bytes)
{
    try
    {
        auto const row = json::from_cbor(bytes);
        role_record role{row.at(0), row.at(1), row.at(2), {}};
        if (row.size() > 3 && row.at(3).is_binary())
            role.load.assign(row.at(3).get_binary().begin(),
                             row.at(3).get_binary().end());
        return role;
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

std::optional<milliseconds> leadership::readable_since() const noexcept
{
    if (readable_since_ < 0)
        return std::nullopt;
    return readable_since_;
}

milliseconds leadership::earlier_proof() const noexcept
{
    return std::max(heartbeat_at_, readable_since_);
}

bool leadership::should_claim(milliseconds now) const noexcept
{
    if (stopped_ || leading_ || claiming_ || readable_since_ < 0 ||
        now < claim_not_before_ || end_read_at_ < 0 ||
        now - end_read_at_ > max_view_age_ms)
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

void leadership::on_end_read(milliseconds as_of) noexcept
{
    end_read_at_ = std::max(end_read_at_, as_of);
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

bool leadership::confirms_role(milliseconds now, milliseconds sent_at) noexcept
{
    return now - sent_at < holder_timeout_ms;
}

void leadership::on_claim_lost(milliseconds now) noexcept
{
    claiming_ = false;
    claim_not_before_ = now + lost_claim_wait_ms + delay_;
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
