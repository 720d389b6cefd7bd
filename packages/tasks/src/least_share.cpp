#include <jasminetrack/tasks/least_share.hpp>

namespace jasminetrack::tasks
{
namespace
{

/// Part of a service's accelerators for all lower priorities together.
constexpr std::int64_t lower_percent = 25;
constexpr std::int64_t hundred = 100;

} // namespace

std::int64_t least_share(std::int64_t capacity,
                         std::int64_t priorities) noexcept
{
    if (priorities <= 0)
        return 0;
    return capacity * lower_percent / (hundred * priorities);
}

} // namespace jasminetrack::tasks
