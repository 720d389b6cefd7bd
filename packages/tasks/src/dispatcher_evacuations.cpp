#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminetrack::tasks
{
namespace
{

/// \returns what is left in the data center, as fields of a log line.
std::string text_of(std::string const& data_center,
                    std::map<std::string, worker_view> const& workers_by_id)
{
    std::size_t workers = 0;
    std::size_t runs = 0;
    for (auto const& [id, w] : workers_by_id)
    {
        if (!w.listed || w.info.zone != data_center)
            continue;
        ++workers;
        runs += w.hosted_runs.size();
    }
    return "data_center=" + data_center +
           " workers=" + std::to_string(workers) +
           " runs=" + std::to_string(runs);
}

} // namespace

bool dispatcher::has_current_views(milliseconds now) const noexcept
{
    return knows_cancellations(now) && list_currency_.is_current(now) &&
           evacuations_.is_current(now);
}

void dispatcher::set_evacuations(milliseconds now,
                                 std::set<std::string> data_centers,
                                 milliseconds as_of)
{
    bool const was_current = evacuations_.is_current(now);
    auto const before = evacuations_.data_centers();
    bool const differs = evacuations_.update(std::move(data_centers), as_of);
    changed_ =
        changed_ || differs || was_current != evacuations_.is_current(now);
    if (!differs)
        return;
    for (auto& [id, w] : workers_)
        w.evacuated = evacuations_.contains(w.info.zone);
    std::vector<std::string> changed;
    std::set_symmetric_difference(
        before.begin(), before.end(), evacuations_.data_centers().begin(),
        evacuations_.data_centers().end(), std::back_inserter(changed));
    for (auto const& data_center : changed)
        log_decision(evacuations_.contains(data_center)
                         ? "data_center.evacuated"
                         : "data_center.restored",
                     "",
                     text_of(data_center, workers_) +
                         " view_age_ms=" + std::to_string(now - as_of));
}

} // namespace jasminetrack::tasks
