#include <jasminetrack/entry/retry_advice.hpp>

#include <algorithm>
#include <functional>

namespace jasminetrack::entry
{
namespace
{

constexpr milliseconds ms_per_s = 1'000;
constexpr milliseconds min_wait_ms = 1'000;
/// A longer wait would miss most objectives of short jobs.
constexpr milliseconds max_wait_ms = 5'000;
/// The waits of callers are spread by up to a quarter of the wait.
constexpr milliseconds spread_divisor = 4;
/// With its spread, the longest wait for capacity is 10 s.
constexpr milliseconds max_overload_wait_ms = 8'000;

int spread_s(milliseconds wait, std::string const& request_id)
{
    auto const spread = std::hash<std::string>()(request_id) %
                        static_cast<std::size_t>(wait / spread_divisor);
    auto const total = wait + static_cast<milliseconds>(spread);
    return static_cast<int>((total + ms_per_s / 2) / ms_per_s);
}

} // namespace

int retry_after_s(milliseconds outage_ms, std::string const& request_id)
{
    auto const known = std::clamp<milliseconds>(outage_ms, 0, max_wait_ms);
    auto const wait = std::min(known + min_wait_ms, max_wait_ms);
    return spread_s(wait, request_id);
}

int overload_retry_after_s(milliseconds wait_ms, std::string const& request_id)
{
    return spread_s(std::clamp(wait_ms, min_wait_ms, max_overload_wait_ms),
                    request_id);
}

} // namespace jasminetrack::entry
