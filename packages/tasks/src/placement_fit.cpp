#include "placement_fit.hpp"

#include <algorithm>
#include <limits>

namespace jasminetrack::tasks::detail
{
namespace
{

/// \returns whether suspects, or the lack of them, permit a start there.
bool permits_isolation(worker_candidate const& w, unit_need const& need)
{
    if (!need.isolated)
        return w.suspects == 0;
    if (w.suspects == 0)
        return need.may_isolate && !w.starting;
    return w.suspects < std::min(w.max_suspects, need.max_group);
}

bool is_allowed(worker_candidate const& w, unit_need const& need)
{
    if (need.avoid.count(w.id) != 0 || !permits_isolation(w, need) ||
        (need.spares_vulnerable && w.vulnerable) ||
        (need.avoids_failed_on && need.failed_on.count(w.id) != 0))
        return false;
    if (need.verification == verification_level::required && !w.verified)
        return false;
    return need.label.empty() || std::find(w.labels.begin(), w.labels.end(),
                                           need.label) != w.labels.end();
}

/// \returns how many times `need` fits into `available`.
std::int64_t times_in(std::int64_t need, std::int64_t available)
{
    if (need <= 0)
        return std::numeric_limits<std::int64_t>::max();
    return available < 0 ? 0 : available / need;
}

} // namespace

std::int64_t tasks_in(resources const& available, worker_candidate const& w,
                      unit_need const& need)
{
    if (!fits({}, available))
        return 0;
    auto n =
        std::min({times_in(need.per_task.millicores, available.millicores),
                  times_in(need.per_task.memory_mb, available.memory_mb),
                  times_in(need.per_task.accelerators, available.accelerators),
                  need.count});
    if (need.most_per_worker > 0)
        n = std::min(n, need.most_per_worker - w.same_step);
    return std::max<std::int64_t>(0, n);
}

bool is_unverified(worker_candidate const& w, unit_need const& need)
{
    return need.verification != verification_level::none && !w.verified;
}

candidate_pointers
allowed_candidates(std::vector<worker_candidate> const& candidates,
                   unit_need const& need)
{
    candidate_pointers list;
    for (auto const& w : candidates)
        if (is_allowed(w, need))
            list.push_back(&w);
    return list;
}

std::map<std::string_view, candidate_pointers>
by_rack(candidate_pointers const& candidates)
{
    std::map<std::string_view, candidate_pointers> racks;
    for (auto const* w : candidates)
        racks[w->rack].push_back(w);
    return racks;
}

} // namespace jasminetrack::tasks::detail
