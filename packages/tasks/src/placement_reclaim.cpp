#include <jasminetrack/tasks/placement.hpp>

#include "placement_fit.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

using namespace detail;

/// Runs to stop on one worker so that some of the unit's tasks fit there.
struct worker_offer
{
    worker_candidate const* worker = nullptr;
    std::int64_t tasks = 0;
    std::vector<std::size_t> victims;
    double lost_work = 0;

    /// \returns the lost work per task that fits.
    [[nodiscard]] double price() const noexcept
    {
        return lost_work / static_cast<double>(tasks);
    }
};

/// \returns the cheapest stops on one worker that make `wanted` tasks fit, or
/// nothing if none do. Runs in `stopped` are stopped anyway and cost nothing.
std::optional<worker_offer> offer_of(worker_candidate const& w,
                                     unit_need const& need, std::int64_t wanted,
                                     std::set<std::size_t> const& stopped)
{
    worker_offer offer{&w, tasks_in(w.free_after_stops, w, need), {}, 0};
    auto available = w.free_after_stops;
    auto runs = w.stoppable;
    auto const price = [&](stoppable_run const& r)
    { return stopped.count(r.run) != 0 ? 0.0 : r.lost_work; };
    std::sort(runs.begin(), runs.end(),
              [&](stoppable_run const& a, stoppable_run const& b)
              { return price(a) < price(b); });
    for (auto const& r : runs)
    {
        if (offer.tasks >= wanted)
            break;
        available += r.held;
        offer.victims.push_back(r.run);
        offer.lost_work += price(r);
        offer.tasks = tasks_in(available, w, need);
    }
    if (offer.tasks < wanted)
        return std::nullopt;
    // Drop stops that later ones have made unnecessary.
    for (auto i = offer.victims.size(); i-- > 0;)
    {
        auto const less = available - runs[i].held;
        if (tasks_in(less, w, need) < wanted)
            continue;
        available = less;
        offer.lost_work -= price(runs[i]);
        offer.victims.erase(offer.victims.begin() +
                            static_cast<std::ptrdiff_t>(i));
    }
    offer.tasks = std::min(wanted, tasks_in(available, w, need));
    return offer;
}

/// \returns the offer of one worker with the lowest price per task, for up to
/// `limit` tasks.
std::optional<worker_offer> best_offer(worker_candidate const& w,
                                       unit_need const& need,
                                       std::int64_t limit,
                                       std::set<std::size_t> const& stopped)
{
    std::optional<worker_offer> best;
    for (std::int64_t n = 1; n <= limit; ++n)
    {
        auto offer = offer_of(w, need, n, stopped);
        if (!offer)
            break;
        if (!best || offer->price() <= best->price())
            best = std::move(offer);
    }
    return best;
}

/// \returns whether the plan's tasks fit on their workers without one of its
/// victims.
bool fits_without(std::size_t victim, reclaim_plan const& plan,
                  candidate_pointers const& candidates, unit_need const& need)
{
    for (auto const* w : candidates)
    {
        auto const tasks =
            std::count(plan.places.begin(), plan.places.end(), w->id);
        if (tasks == 0)
            continue;
        auto available = w->free_after_stops;
        for (auto const& r : w->stoppable)
            if (r.run != victim && plan.victims.count(r.run) != 0)
                available += r.held;
        if (tasks_in(available, *w, need) < tasks)
            return false;
    }
    return true;
}

/// Keeps the runs that the stop of a gang for another worker has made
/// unnecessary to stop, those with the most work to lose first.
void drop_unneeded_victims(reclaim_plan& plan,
                           candidate_pointers const& candidates,
                           unit_need const& need)
{
    std::map<std::size_t, double> lost_work;
    for (auto const* w : candidates)
        for (auto const& r : w->stoppable)
            if (plan.victims.count(r.run) != 0)
                lost_work[r.run] = r.lost_work;
    std::vector<std::pair<double, std::size_t>> victims;
    victims.reserve(lost_work.size());
    for (auto const& [run, lost] : lost_work)
        victims.emplace_back(lost, run);
    std::sort(victims.rbegin(), victims.rend());
    for (auto const& [lost, run] : victims)
    {
        if (!fits_without(run, plan, candidates, need))
            continue;
        plan.victims.erase(run);
        plan.lost_work -= lost;
    }
}

std::optional<reclaim_plan> plan_on(candidate_pointers const& all,
                                    unit_need const& need)
{
    reclaim_plan plan;
    auto candidates = all;
    while (std::ssize(plan.places) < need.count)
    {
        std::optional<worker_offer> best;
        std::size_t best_at = 0;
        auto const open = need.count - std::ssize(plan.places);
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            auto offer = best_offer(*candidates[i], need, open, plan.victims);
            if (!offer)
                continue;
            auto const rank = [&](worker_offer const& o)
            {
                return std::tuple(o.worker->penalty,
                                  is_unverified(*o.worker, need), o.price(),
                                  need.speeds ==
                                          speed_preference::usual_first &&
                                      o.worker->slower,
                                  o.worker->free_after_stops.accelerators);
            };
            if (best && rank(*best) <= rank(*offer))
                continue;
            best = std::move(offer);
            best_at = i;
        }
        if (!best)
            return std::nullopt;
        plan.places.insert(plan.places.end(),
                           static_cast<std::size_t>(best->tasks),
                           best->worker->id);
        plan.victims.insert(best->victims.begin(), best->victims.end());
        plan.lost_work += best->lost_work;
        candidates.erase(candidates.begin() +
                         static_cast<std::ptrdiff_t>(best_at));
    }
    drop_unneeded_victims(plan, all, need);
    plan.fits_now = false;
    return plan;
}

} // namespace

std::optional<reclaim_plan>
plan_reclaim(std::vector<worker_candidate> const& candidates,
             unit_need const& need, rack_spread allowed_racks)
{
    auto const list = allowed_candidates(candidates, need);
    if (allowed_racks == rack_spread::multiple)
        return plan_on(list, need);
    std::optional<reclaim_plan> best;
    for (auto const& [rack, members] : by_rack(list))
    {
        auto plan = plan_on(members, need);
        if (plan && (!best || plan->lost_work < best->lost_work))
            best = std::move(plan);
    }
    return best;
}

} // namespace jasminetrack::tasks
