#pragma once
/// \file
/// What shows that a dispatcher holds its role, and until when leases last that
/// dispatchers have granted on such a proof.

#include <jasminetrack/tasks/dispatch_limits.hpp>

namespace jasminetrack::tasks
{

/// The proofs of one dispatcher, and the newest one of those before it. All
/// times are on one monotonic clock.
class role_proof
{
public:
    /// \param now  when the dispatcher takes the role
    role_proof(dispatch_limits const& limits, milliseconds now) noexcept;

    /// \returns whether no successor can have claimed the role yet. Starts are
    /// repeated only then: a successor counts on none being sent after its
    /// claim.
    [[nodiscard]] bool is_proven(milliseconds now) const noexcept;
    /// \returns the start of the time in which the log has confirmed the role
    /// without a gap.
    [[nodiscard]] milliseconds proven_since() const noexcept
    {
        return proven_since_;
    }
    /// \returns how long a lease that is granted now may last, as successors
    /// rely on its end; not positive if no lease may be granted.
    [[nodiscard]] milliseconds grantable_lease(milliseconds now) const noexcept;
    /// \returns whether a start may be sent that its worker accepts for this
    /// time: the log has confirmed the role lately, and successors count the
    /// lease that comes with the start.
    [[nodiscard]] bool may_start(milliseconds now,
                                 milliseconds window) const noexcept;
    /// \returns when all leases of earlier dispatchers have ended.
    [[nodiscard]] milliseconds earlier_leases_end() const noexcept;

    /// The log has confirmed an append that was first sent at `sent_at`.
    void on_confirmed(milliseconds sent_at) noexcept;
    /// A survey that began at `asked_at` shows that no VM can claim the role.
    void on_outage_confirmed(milliseconds asked_at) noexcept;
    /// Earlier dispatchers have had no proof after this time.
    void on_earlier_proof(milliseconds at) noexcept;

private:
    dispatch_limits limits_;
    milliseconds earlier_at_;
    milliseconds confirmed_at_;
    milliseconds outage_confirmed_at_ = 0;
    milliseconds proven_since_ = 0;
};

} // namespace jasminetrack::tasks
