#include <jasminetrack/tasks/list_currency.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Longest time between two reads of a list that is being followed, if one
/// failed in between, and longest time in which none was under way: workers may
/// not have been able to report.
constexpr milliseconds max_read_interval_ms = 1'600;
/// Longest time of a read. A longer one has lasted over a pause of the process.
constexpr milliseconds max_read_ms = 3'000;
/// Time for a worker's report to be stored and read.
constexpr milliseconds report_delay_ms = 800;
/// Time for a start to reach its worker.
constexpr milliseconds start_delay_ms = 300;

} // namespace

list_currency::list_currency(dispatch_limits const& limits,
                             milliseconds now) noexcept
    : heartbeat_ms_(limits.heartbeat_ms),
      unseen_change_ms_(limits.unseen_change_ms), read_at_(now),
      current_at_(now)
{
}

void list_currency::on_log_back(milliseconds since) noexcept
{
    settled_at_ = since + heartbeat_ms_ + report_delay_ms;
    current_at_ = -1;
}

void list_currency::on_read(milliseconds now, milliseconds as_of) noexcept
{
    auto const unread_ms = read_failed_ ? now - read_at_ : as_of - read_at_;
    if (unread_ms > max_read_interval_ms || now - as_of > max_read_ms)
        settled_at_ = now + heartbeat_ms_ + report_delay_ms;
    read_at_ = now;
    read_failed_ = false;
    if (as_of >= settled_at_)
        current_at_ = as_of;
}

void list_currency::on_read_failed() noexcept
{
    read_failed_ = true;
}

bool list_currency::is_current(milliseconds now) const noexcept
{
    return current_at_ >= 0 &&
           now - current_at_ <= unseen_change_ms_ - start_delay_ms;
}

} // namespace jasminetrack::tasks
