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

/// Weight of the loss if a stop takes more than what a team holds beyond its
/// guarantee, which only a run of several accelerators does.
constexpr double guarantee_loss_factor = 3;

/// Which urgent runs may be stopped besides those of a plan.
class stop_allowance
{
public:
    explicit stop_allowance(accelerators_by_team const& excess)
        : excess_(excess)
    {
    }

    [[nodiscard]] bool allows(stoppable_run const& r) const
    {
        return r.team.empty() || excess_of(r) > 0;
    }
    [[nodiscard]] double price(stoppable_run const& r) const
    {
        bool const cuts_guarantee =
            !r.team.empty() && r.accelerators > excess_of(r);
        return cuts_guarantee ? guarantee_loss_factor * r.lost_work
                              : r.lost_work;
    }
    void deduct(stoppable_run const& r)
    {
        if (!r.team.empty())
            excess_[r.team] -= r.accelerators;
    }

private:
    [[nodiscard]] std::int64_t excess_of(stoppable_run const& r) const
    {
        auto const at = excess_.find(r.team);
        return at == excess_.end() ? 0 : at->second;
    }

    accelerators_by_team excess_;
};

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

struct priced_run
{
    stoppable_run const* run = nullptr;
    double price = 0; ///< core seconds; 0 if it is stopped anyway
};

/// \returns whether another task of the run is among them.
bool contains(std::vector<priced_run> const& runs, stoppable_run const& r)
{
    return std::any_of(runs.begin(), runs.end(),
                       [&](priced_run const& other)
                       { return other.run->run == r.run; });
}

std::vector<priced_run> sorted_by_price(std::vector<stoppable_run> const& runs,
                                        std::set<std::size_t> const& stopped,
                                        stop_allowance const& allowance)
{
    std::vector<priced_run> sorted;
    sorted.reserve(runs.size());
    for (auto const& r : runs)
        sorted.push_back(
            {&r, stopped.count(r.run) != 0 ? 0 : allowance.price(r)});
    std::sort(sorted.begin(), sorted.end(),
              [](priced_run const& a, priced_run const& b)
              { return a.price < b.price; });
    return sorted;
}

/// \returns the cheapest stops on one worker that make `wanted` tasks fit, or
/// nothing if none do. Runs in `stopped` are stopped anyway and cost nothing.
std::optional<worker_offer> offer_of(worker_candidate const& w,
                                     unit_need const& need, std::int64_t wanted,
                                     std::set<std::size_t> const& stopped,
                                     stop_allowance allowance)
{
    worker_offer offer{&w, tasks_in(w.free_after_stops, w, need), {}, 0};
    auto available = w.free_after_stops;
    auto runs = sorted_by_price(w.stoppable, stopped, allowance);
    std::vector<priced_run> chosen;
    for (auto const& r : runs)
    {
        if (offer.tasks >= wanted)
            break;
        bool const is_stopped =
            stopped.count(r.run->run) != 0 || contains(chosen, *r.run);
        if (!is_stopped && !allowance.allows(*r.run))
            continue;
        if (!is_stopped)
            allowance.deduct(*r.run);
        available += r.run->held;
        chosen.push_back(r);
        offer.tasks = tasks_in(available, w, need);
    }
    if (offer.tasks < wanted)
        return std::nullopt;
    // Drop stops that later ones have made unnecessary.
    for (auto i = chosen.size(); i-- > 0;)
    {
        auto const less = available - chosen[i].run->held;
        if (tasks_in(less, w, need) < wanted)
            continue;
        available = less;
        chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (auto const& r : chosen)
    {
        offer.victims.push_back(r.run->run);
        offer.lost_work += r.price;
    }
    offer.tasks = std::min(wanted, tasks_in(available, w, need));
    return offer;
}

/// \returns the offer of one worker with the lowest price per task, for up to
/// `limit` tasks.
std::optional<worker_offer> best_offer(worker_candidate const& w,
                                       unit_need const& need,
                                       std::int64_t limit,
                                       std::set<std::size_t> const& stopped,
                                       stop_allowance const& allowance)
{
    std::optional<worker_offer> best;
    for (std::int64_t n = 1; n <= limit; ++n)
    {
        auto offer = offer_of(w, need, n, stopped, allowance);
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

/// Deducts the runs that the offer stops and the plan does not yet.
void deduct_victims(stop_allowance& allowance, worker_offer const& offer,
                    reclaim_plan const& plan)
{
    std::set<std::size_t> deducted = plan.victims;
    for (auto const& r : offer.worker->stoppable)
    {
        bool const is_victim =
            std::find(offer.victims.begin(), offer.victims.end(), r.run) !=
            offer.victims.end();
        if (is_victim && deducted.insert(r.run).second)
            allowance.deduct(r);
    }
}

std::optional<reclaim_plan> plan_on(candidate_pointers const& all,
                                    unit_need const& need,
                                    stop_allowance allowance)
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
            auto offer =
                best_offer(*candidates[i], need, open, plan.victims, allowance);
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
        deduct_victims(allowance, *best, plan);
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
             unit_need const& need, rack_spread allowed_racks,
             accelerators_by_team const& excess)
{
    stop_allowance const allowance(excess);
    auto const list = allowed_candidates(candidates, need);
    if (allowed_racks == rack_spread::multiple)
        return plan_on(list, need, allowance);
    std::optional<reclaim_plan> best;
    for (auto const& [rack, members] : by_rack(list))
    {
        auto plan = plan_on(members, need, allowance);
        if (plan && (!best || plan->lost_work < best->lost_work))
            best = std::move(plan);
    }
    return best;
}

} // namespace jasminetrack::tasks
