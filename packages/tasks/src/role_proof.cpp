#include <jasminetrack/tasks/role_proof.hpp>

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{

role_proof::role_proof(dispatch_limits const& limits, milliseconds now) noexcept
    : limits_(limits), earlier_at_(now - holder_timeout_ms), confirmed_at_(now)
{
}

bool role_proof::is_proven(milliseconds now) const noexcept
{
    return now - confirmed_at_ < holder_timeout_ms;
}

milliseconds role_proof::grantable_lease(milliseconds now) const noexcept
{
    auto const proof_at = std::max(confirmed_at_, outage_confirmed_at_);
    auto const left = proof_at + max_lease_after_proof(limits_) - now;
    return std::min(max_lease_after_proof(limits_), left);
}

bool role_proof::may_start(milliseconds now, milliseconds window) const noexcept
{
    return now + window <= confirmed_at_ + max_lease_after_proof(limits_);
}

milliseconds role_proof::earlier_leases_end() const noexcept
{
    return earlier_at_ + max_earlier_lease(limits_);
}

void role_proof::on_confirmed(milliseconds sent_at) noexcept
{
    if (sent_at - confirmed_at_ >= holder_timeout_ms)
        proven_since_ = sent_at;
    confirmed_at_ = sent_at;
}

void role_proof::on_outage_confirmed(milliseconds asked_at) noexcept
{
    outage_confirmed_at_ = std::max(outage_confirmed_at_, asked_at);
}

void role_proof::on_earlier_proof(milliseconds at) noexcept
{
    earlier_at_ = at;
}

} // namespace jasminetrack::tasks
