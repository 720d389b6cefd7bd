#include <jasminetrack/tasks/detail/rack_search.hpp>

namespace jasminetrack::tasks::detail
{
namespace
{

/// Which racks there are changes rarely.
constexpr milliseconds max_listed_age_ms = 500;

/// \returns the worker as if nothing ran there.
worker_candidate empty_candidate(worker_info const& info)
{
    worker_candidate c;
    c.id = info.id;
    c.rack = info.rack;
    c.labels = info.labels;
    c.capacity = info.capacity;
    return c;
}

} // namespace

bool rack_search::could_hold(milliseconds now, std::string const& service,
                             unit_need const& need,
                             std::map<std::string, worker_view> const& workers)
{
    if (!need.same_rack || need.count == 1)
        return false;
    if (now - listed_at_ >= max_listed_age_ms)
    {
        listed_at_ = now;
        listed_.clear();
    }
    auto const [at, is_new] = listed_.try_emplace(service);
    if (is_new)
        for (auto const& [id, w] : workers)
            if (w.takes_new_work() && w.info.service == service)
                at->second.push_back(empty_candidate(w.info));
    return fits_one_rack(at->second, need);
}

} // namespace jasminetrack::tasks::detail
