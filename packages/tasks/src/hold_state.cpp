#include <jasminetrack/tasks/detail/hold_state.hpp>

#include "placement_fit.hpp"

#include <algorithm>

namespace jasminetrack::tasks::detail
{
namespace
{

/// \param total  not negative
bool fits_in_total(resources const& total, unit_need const& need)
{
    resources const each{total.millicores / need.count,
                         total.memory_mb / need.count,
                         total.accelerators / need.count};
    return fits(need.per_task, each);
}

bool has_unfit_room(service_room const& room, unit_need const& need)
{
    return std::any_of(room.unfit.begin(), room.unfit.end(),
                       [&](resources const& free)
                       { return fits(need.per_task, free); });
}

/// Workers that the unit must not use count too, so this is a bound only.
bool has_places(std::vector<worker_candidate> const& candidates,
                unit_need const& need)
{
    std::int64_t places = 0;
    for (auto const& w : candidates)
        if (fits(need.per_task, w.free))
            places += tasks_in(w.free, w, need);
    return places >= need.count;
}

bool fits_on(std::vector<worker_candidate> const& candidates,
             unit_need const& need, rack_spread allowed)
{
    return has_places(candidates, need) &&
           find_places(candidates, need, allowed).has_value();
}

/// \returns whether the unit would fit if no data center were evacuated.
bool fits_with_evacuated(service_room const& room, unit_need const& need)
{
    if (room.evacuated.empty())
        return false;
    auto all = room.listed;
    all.insert(all.end(), room.evacuated.begin(), room.evacuated.end());
    return fits_on(all, need, rack_spread::multiple);
}

} // namespace

bool may_fit(service_room const& room, unit_need const& need)
{
    return fits_in_total(room.free, need) || has_unfit_room(room, need) ||
           !room.evacuated.empty();
}

unit_fit fit_of(service_room const& room, unit_need const& need)
{
    // The totals rule out most units of a full service without a search.
    bool const in_total = fits_in_total(room.free, need);
    if (in_total && fits_on(room.fit, need, rack_spread::multiple))
        return unit_fit::now;
    if (has_unfit_room(room, need) &&
        fits_on(room.listed, need, rack_spread::multiple))
        return unit_fit::on_unfit;
    if (fits_with_evacuated(room, need))
        return unit_fit::on_evacuated;
    return in_total ? unit_fit::fragmented : unit_fit::none;
}

bool lacks_rack(service_room const& room, unit_need const& need)
{
    if (!need.same_rack || need.count < 2 ||
        fits_on(room.fit, need, rack_spread::single))
        return false;
    // Vulnerable runs end soon, so their workers count.
    auto later = need;
    later.spares_vulnerable = false;
    return fits_one_rack(room.listed, later);
}

} // namespace jasminetrack::tasks::detail
