#pragma once
/// \file
/// Whether the list of workers, as it was read, still holds for capacities.

#include <jasminetrack/tasks/dispatch_limits.hpp>

namespace jasminetrack::tasks
{

/// Tracks the time for which the list of workers is certainly current. While
/// the list cannot be read, a worker may change unseen. After such a gap, an
/// entry may still be that of before, until its worker has reported again. All
/// times are on one monotonic clock.
class list_currency
{
public:
    list_currency(dispatch_limits const& limits, milliseconds now) noexcept;

    /// The log works since this time. Until the workers have reported again,
    /// the list may be that of before.
    void on_log_back(milliseconds since) noexcept;
    /// The list was read to its end.
    /// \param as_of  the list had no later entries at this time
    void on_read(milliseconds now, milliseconds as_of) noexcept;
    void on_read_failed() noexcept;
    /// \returns whether every change of a worker that counts by now is known.
    [[nodiscard]] bool is_current(milliseconds now) const noexcept;

private:
    milliseconds heartbeat_ms_;
    milliseconds unseen_change_ms_;
    milliseconds read_at_;     ///< end of the latest read
    bool read_failed_ = false; ///< since then
    /// End of the wait for the workers' reports after a gap.
    milliseconds settled_at_ = 0;
    /// Latest time for which the list is certainly current; -1: none yet.
    milliseconds current_at_;
};

} // namespace jasminetrack::tasks
