#include <jasminetrack/tasks/placement.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>

namespace jasminetrack::tasks
{
namespace
{

using candidate_list = std::vector<worker_candidate const*>;

bool is_allowed(worker_candidate const& w, unit_need const& need)
{
    if (need.avoid.count(w.id) != 0)
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

/// \returns how many of the unit's tasks fit into `available` on worker `w`.
std::int64_t tasks_in(resources const& available, worker_candidate const& w,
                      unit_need const& need)
{
    // A worker whose capacity has shrunk takes nothing until its runs fit.
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

/// \returns the key by which workers are filled: lowest penalty first, then
/// verified workers, the preferred rack, fast workers, and the least free
/// capacity, or the most if the unit prefers empty workers.
auto fill_order(worker_candidate const& w, unit_need const& need)
{
    std::int64_t const sign = need.prefer_empty ? -1 : 1;
    return std::tuple(w.penalty, is_unverified(w, need),
                      !need.rack.empty() && w.rack != need.rack, w.slower,
                      sign * w.free.accelerators, sign * w.free.memory_mb,
                      std::string_view(w.id));
}

std::optional<std::vector<std::string>> fill(candidate_list const& candidates,
                                             unit_need const& need)
{
    // Under load, few workers have room.
    candidate_list with_room;
    std::int64_t room = 0;
    for (auto const* w : candidates)
    {
        auto const n = tasks_in(w->free, *w, need);
        room += n;
        if (n > 0)
            with_room.push_back(w);
    }
    if (room < need.count)
        return std::nullopt;
    auto const comes_later =
        [&](worker_candidate const* a, worker_candidate const* b)
    { return fill_order(*b, need) < fill_order(*a, need); };
    // A unit takes few workers, so the rest need no order.
    std::make_heap(with_room.begin(), with_room.end(), comes_later);
    std::vector<std::string> places;
    while (!with_room.empty())
    {
        std::pop_heap(with_room.begin(), with_room.end(), comes_later);
        auto const* w = with_room.back();
        with_room.pop_back();
        auto n = tasks_in(w->free, *w, need);
        for (; n > 0 && std::ssize(places) < need.count; --n)
            places.push_back(w->id);
        if (std::ssize(places) == need.count)
            return places;
    }
    return std::nullopt;
}

std::map<std::string_view, candidate_list>
by_rack(candidate_list const& candidates)
{
    std::map<std::string_view, candidate_list> racks;
    for (auto const* w : candidates)
        racks[w->rack].push_back(w);
    return racks;
}

/// \returns the worst penalty, and whether any is slower: a gang goes on at the
/// speed of its slowest member.
std::tuple<int, bool, bool> worst_of(std::vector<std::string> const& places,
                                     candidate_list const& candidates,
                                     unit_need const& need)
{
    int penalty = 0;
    bool unverified = false;
    bool slower = false;
    for (auto const* w : candidates)
    {
        if (std::find(places.begin(), places.end(), w->id) == places.end())
            continue;
        penalty = std::max(penalty, w->penalty);
        unverified = unverified || is_unverified(*w, need);
        slower = slower || w->slower;
    }
    return {penalty, unverified, slower};
}

/// Chooses the rack with the fewest free accelerators in which the unit fits.
std::optional<std::vector<std::string>>
fill_one_rack(candidate_list const& candidates, unit_need const& need)
{
    std::optional<std::vector<std::string>> best;
    std::tuple<int, bool, bool, std::int64_t> best_rank{};
    for (auto const& [rack, members] : by_rack(candidates))
    {
        auto places = fill(members, need);
        if (!places)
            continue;
        std::int64_t free = 0;
        for (auto const* w : members)
            free += w->free.accelerators;
        auto const [penalty, unverified, slower] =
            worst_of(*places, members, need);
        std::tuple const rank{penalty, unverified, slower, free};
        if (best && best_rank <= rank)
            continue;
        best = std::move(places);
        best_rank = rank;
    }
    return best;
}

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
                  candidate_list const& candidates, unit_need const& need)
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
void drop_unneeded_victims(reclaim_plan& plan, candidate_list const& candidates,
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

std::optional<reclaim_plan> plan_on(candidate_list const& all,
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

candidate_list
allowed_candidates(std::vector<worker_candidate> const& candidates,
                   unit_need const& need)
{
    candidate_list list;
    for (auto const& w : candidates)
        if (is_allowed(w, need))
            list.push_back(&w);
    return list;
}

} // namespace

double core_seconds(resources const& held, milliseconds time) noexcept
{
    constexpr double cores_an_accelerator = 8;
    constexpr double thousand = 1000;
    auto const cores =
        static_cast<double>(held.millicores) / thousand +
        cores_an_accelerator * static_cast<double>(held.accelerators);
    return cores * static_cast<double>(time) / thousand;
}

std::optional<std::vector<std::string>>
find_places(std::vector<worker_candidate> const& candidates,
            unit_need const& need, rack_spread allowed_racks)
{
    auto const list = allowed_candidates(candidates, need);
    if (allowed_racks == rack_spread::single)
        return fill_one_rack(list, need);
    return fill(list, need);
}

bool fits_one_rack(std::vector<worker_candidate> const& candidates,
                   unit_need const& need)
{
    for (auto const& [rack, members] :
         by_rack(allowed_candidates(candidates, need)))
    {
        std::int64_t held = 0;
        for (auto const* w : members)
            held += tasks_in(w->capacity, *w, need);
        if (held >= need.count)
            return true;
    }
    return false;
}

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

namespace
{

/// Stops are worthwhile up to this multiple of the work that they save.
constexpr double max_loss_factor = 3;

std::optional<reclaim_plan>
places_now(std::vector<worker_candidate> const& candidates,
           unit_need const& need, rack_spread allowed_racks)
{
    auto places = find_places(candidates, need, allowed_racks);
    if (!places)
        return std::nullopt;
    return reclaim_plan{std::move(*places), {}, 0, true};
}

bool is_worthwhile(reclaim_plan const& plan, double saved)
{
    return plan.lost_work <= max_loss_factor * saved;
}

/// Chooses for a gang that wants one rack and would fit into an empty one.
std::optional<reclaim_plan>
choose_rack(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms)
{
    if (auto now = places_now(candidates, need, rack_spread::single))
        return now;
    auto const spread_loss = terms.own_work * (terms.far_factor - 1);
    if (terms.may_stop)
    {
        auto plan = plan_reclaim(candidates, need, rack_spread::single);
        if (plan && is_worthwhile(*plan, spread_loss))
            return plan;
    }
    return std::nullopt;
}

/// Chooses without regard to racks.
std::optional<reclaim_plan>
choose_any(std::vector<worker_candidate> const& candidates,
           unit_need const& need, reclaim_terms const& terms)
{
    if (auto now = places_now(candidates, need, rack_spread::multiple))
        return now;
    if (!terms.may_stop)
        return std::nullopt;
    auto plan = plan_reclaim(candidates, need, rack_spread::multiple);
    if (plan && (terms.guaranteed || is_worthwhile(*plan, terms.own_work)))
        return plan;
    return std::nullopt;
}

} // namespace

std::optional<reclaim_plan>
choose_plan(std::vector<worker_candidate> const& candidates,
            unit_need const& need, reclaim_terms const& terms)
{
    bool const wants_rack =
        need.same_rack && need.count > 1 && fits_one_rack(candidates, need);
    if (!wants_rack)
        return choose_any(candidates, need, terms);
    auto choice = choose_rack(candidates, need, terms);
    if (choice || need.waited_ms < terms.max_rack_wait_ms)
        return choice;
    return choose_any(candidates, need, terms);
}

} // namespace jasminetrack::tasks
