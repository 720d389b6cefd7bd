#include "failed_runs.hpp"

namespace jasminetrack::tasks::detail
{
namespace
{

/// How long a unit avoids the workers on which it failed, and its last attempt
/// waits for a verified one. Workers that fail their runs are detected in less
/// time.
constexpr milliseconds max_verified_wait_ms = 2'000;

} // namespace

bool has_failed_lately(milliseconds now, job_entry const& e,
                       unit_ref const& ref)
{
    auto const at = e.failed_at.find(ref);
    return at != e.failed_at.end() && now - at->second <= max_verified_wait_ms;
}

bool has_failed_there(milliseconds now, job_entry const& e, unit_ref const& ref,
                      std::string const& worker)
{
    auto const failed = e.failed_on.find(ref);
    return failed != e.failed_on.end() && failed->second.count(worker) != 0 &&
           has_failed_lately(now, e, ref);
}

} // namespace jasminetrack::tasks::detail
