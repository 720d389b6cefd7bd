#pragma once
/// \file
/// Whether a gang that wants one rack could ever have it, so that it is worth
/// while to wait for one.

#include <jasminetrack/tasks/placement.hpp>
#include <jasminetrack/tasks/worker_view.hpp>

#include <map>
#include <string>
#include <vector>

namespace jasminetrack::tasks::detail
{

/// Looks at the listed workers as if nothing ran there. The list is made anew
/// from time to time only, as racks change rarely.
class rack_search
{
public:
    /// \param now  on the dispatcher's monotonic clock
    /// \returns whether the unit is a gang that wants one rack, and a rack of
    /// listed workers of the service could hold it, were it empty.
    [[nodiscard]] bool
    could_hold(milliseconds now, std::string const& service,
               unit_need const& need,
               std::map<std::string, worker_view> const& workers);

private:
    milliseconds listed_at_ = 0;
    /// By service, since `listed_at_`.
    std::map<std::string, std::vector<worker_candidate>> listed_;
};

} // namespace jasminetrack::tasks::detail
