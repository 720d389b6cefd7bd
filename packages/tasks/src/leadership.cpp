#include <jasminetrack/tasks/leadership.hpp>

#include <nlohmann/json.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Three missed signs of life of the holder, which gives one each 500 ms.
constexpr milliseconds silence_ms = 1'600;
/// A claim that lost waits for the winner's first records.
constexpr milliseconds lost_rest_ms = 400;

} // namespace

using nlohmann::json;

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
    if (stopped_ || leading_ || claiming_ || contact_at_ < 0 ||
        now < not_before_)
        return false;
    if (newest_.epoch == 0 || newest_.resigned)
        return now - contact_at_ >= delay_;
    return now - sign_at_ >= silence_ms + delay_ &&
           now - contact_at_ >= silence_ms + delay_;
}

void leadership::on_read(milliseconds now, bool dispatcher_wrote)
{
    if (contact_at_ < 0)
        contact_at_ = now;
    if (dispatcher_wrote || sign_at_ < 0)
        sign_at_ = now;
}

void leadership::on_read_failed(milliseconds)
{
    contact_at_ = -1;
}

void leadership::on_record(milliseconds now, role_record const& r)
{
    if (r.epoch < newest_.epoch)
        return;
    if (r.epoch > newest_.epoch && r.holder != self_)
        leading_ = false;
    newest_ = r;
    sign_at_ = now;
    if (r.resigned)
        not_before_ = now + delay_;
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
    sign_at_ = now;
    leading_ = true;
}

void leadership::on_claim_lost(milliseconds now) noexcept
{
    claiming_ = false;
    not_before_ = now + lost_rest_ms + delay_;
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
