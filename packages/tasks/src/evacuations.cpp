#include <jasminetrack/tasks/evacuations.hpp>

#include <algorithm>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// Workers refuse a start that arrives 1.5 s after it was sent; the rest is for
/// the reading of the records and differences between clocks.
constexpr milliseconds start_reserve_ms = 2'000;

} // namespace

evacuations::evacuations(milliseconds bound_ms) noexcept : bound_ms_(bound_ms)
{
}

bool evacuations::update(std::set<std::string> data_centers, milliseconds as_of)
{
    as_of_ = std::max(as_of_, as_of);
    if (data_centers == data_centers_)
        return false;
    data_centers_ = std::move(data_centers);
    return true;
}

bool evacuations::is_current(milliseconds now) const noexcept
{
    if (bound_ms_ == 0)
        return true;
    return as_of_ >= 0 && now - as_of_ <= bound_ms_ - start_reserve_ms;
}

} // namespace jasminetrack::tasks
