#include "apply_record.hpp"

#include <jasminetrack/core/evacuation.hpp>

#include <algorithm>

namespace jasminetrack::core::detail
{
namespace
{

/// \returns whether applying the object would not change the configuration.
bool is_in_force(configuration const& config, config_object const& object)
{
    configuration copy = config;
    apply_object(copy, object);
    return copy == config;
}

std::vector<std::string> find_outdated_numbers(cluster_state const& s,
                                               ticket const& t)
{
    std::vector<std::string> reasons;
    for (auto const& object : t.objects)
    {
        auto const key = object_key(object);
        auto const found = s.versions.find(key);
        if (found == s.versions.end() || found->second.number < t.number)
            continue;
        reasons.push_back(
            key + " is at ticket " + std::to_string(found->second.number) +
            " since offset " + std::to_string(found->second.offset) +
            "; look at it with 'ticket show' and take a "
            "higher number");
    }
    return reasons;
}

bool is_repeated_ticket(cluster_state const& s, ticket const& t)
{
    return std::all_of(t.objects.begin(), t.objects.end(),
                       [&](config_object const& object)
                       {
                           auto const found =
                               s.versions.find(object_key(object));
                           return found != s.versions.end() &&
                                  found->second.number == t.number &&
                                  is_in_force(s.config, object);
                       });
}

/// Whether the seats have to be planned again.
bool guarantees_differ(configuration const& a, configuration const& b)
{
    auto const guarantees_of = [](configuration const& c)
    {
        std::vector<std::pair<std::string, std::vector<guarantee>>> all;
        for (auto const& [name, t] : c.teams)
            if (!t.guarantees.empty())
                all.emplace_back(name, t.guarantees);
        return all;
    };
    return guarantees_of(a) != guarantees_of(b);
}

std::string capacity_of_region(cluster_state const& s,
                               std::string const& region)
{
    std::map<std::string, int> racks;
    for (auto const& [name, w] : s.workers)
        if (w.region == region && w.condition == worker_condition::live &&
            !is_evacuated(s, w))
            racks[w.rack] += w.accelerators;
    if (racks.empty())
        return "region " + region + " has no live workers" +
               (s.evacuations.empty() ? " yet" : " in service");
    constexpr std::size_t max_named_racks = 8;
    std::string text = "region " + region + " has";
    std::size_t named = 0;
    for (auto const& [rack, count] : racks)
    {
        if (named++ == max_named_racks)
            return text + " and " +
                   std::to_string(racks.size() - max_named_racks) +
                   " more racks";
        text += " rack " + rack + ": " + std::to_string(count) + ",";
    }
    text.pop_back();
    return text;
}

std::vector<std::string> find_unseatable(cluster_state const& s,
                                         seat_plan const& plan)
{
    std::vector<std::string> reasons;
    for (auto const& name : plan.unseated)
    {
        auto const& wanted = plan.seats.at(name);
        auto const old = s.seats.find(name);
        bool const broken_before = old != s.seats.end() &&
                                   old->second.places.empty() &&
                                   old->second.wanted == wanted.wanted;
        if (broken_before)
            continue;
        reasons.push_back("team " + wanted.team + ": no room for guarantee " +
                          name + " (" + std::to_string(wanted.wanted.members) +
                          " members of " +
                          std::to_string(wanted.wanted.accelerators) +
                          " accelerators) beside all other guarantees; " +
                          capacity_of_region(s, wanted.region));
    }
    return reasons;
}

/// \returns the plan of the seats under the given configuration.
seat_plan plan_seats_for(cluster_state const& s, configuration const& config)
{
    return plan_seats(config, s.workers, s.seats, seats_in_use(s),
                      s.evacuations);
}

apply_result record_verdict(cluster_state& s, log_entry const& e,
                            ticket const& t, std::vector<std::string> reasons)
{
    bool const ok = reasons.empty();
    s.verdicts.push_back({t.number, t.author, e.offset, ok, reasons});
    if (s.verdicts.size() > max_verdicts)
        s.verdicts.pop_front();
    std::string text = "ticket " + std::to_string(t.number) + " of " +
                       t.author + (ok ? " is in force" : " is refused");
    for (auto const& reason : reasons)
        text += "; " + reason;
    apply_result v = accepted({"ticket", std::to_string(t.number), text});
    v.accepted = ok;
    v.reason = ok ? "" : text;
    return v;
}

/// Turns jobs outside the current places of their seat into spare work.
void demote_unseated(cluster_state& s, apply_result& v)
{
    for (auto const& id : s.ledger.active())
    {
        auto& j = s.jobs.at(id);
        if (j.seat.empty())
            continue;
        auto const found = s.seats.find(j.seat);
        auto const masks = found == s.seats.end()
                               ? std::map<std::string, accelerator_mask>{}
                               : masks_of(found->second.places);
        bool inside = true;
        for (auto const& place : j.places)
        {
            auto const m = masks.find(place.worker);
            auto const mask = range_mask(place.first, place.count);
            inside = inside && m != masks.end() && (m->second & mask) == mask;
        }
        if (inside)
            continue;
        v.effects.push_back(
            {"job", id, "lost seat " + j.seat + "; now spare work"});
        j.seat.clear();
    }
}

/// Queues placed jobs with a member on a lost worker again and stops started
/// ones, as a gang runs with all members or not at all.
void stop_jobs_on_lost_worker(cluster_state& s, std::string const& worker_name,
                              apply_result& v)
{
    auto const holders = s.ledger.holders(worker_name);
    for (auto const& h : holders)
    {
        auto& j = s.jobs.at(h.job);
        v.effects.push_back(
            {"job", j.id, "lost its member on worker " + worker_name});
        if (j.state == job_state::placed)
            requeue_job(s, j);
        else
            j.state = job_state::stopping;
    }
}

} // namespace

void replan_seats(cluster_state& s, apply_result& v)
{
    auto plan = plan_seats_for(s, s.config);
    for (auto const& name : plan.unseated)
    {
        auto const old = s.seats.find(name);
        bool const newly_broken =
            old == s.seats.end() || !old->second.places.empty();
        if (newly_broken)
            v.effects.push_back(
                {"seat", name,
                 "guarantee " + name + " is broken: not enough live workers" +
                     (s.evacuations.empty() ? "" : " in service")});
    }
    for (auto const& [name, next] : plan.seats)
    {
        auto const old = s.seats.find(name);
        if (old != s.seats.end() && old->second.places.empty() &&
            !next.places.empty())
            v.effects.push_back(
                {"seat", name, "guarantee " + name + " is restored"});
    }
    s.seats = std::move(plan.seats);
    demote_unseated(s, v);
    rebuild_derived(s);
}

apply_result apply_body(cluster_state& s, log_entry const& e,
                        ticket_record const& r)
{
    auto const& t = r.change;
    if (is_repeated_ticket(s, t))
        return accepted(
            {"ticket", std::to_string(t.number),
             "ticket " + std::to_string(t.number) + " is already in force"});
    auto reasons = find_outdated_numbers(s, t);
    if (!reasons.empty())
        return record_verdict(s, e, t, std::move(reasons));
    configuration next = s.config;
    for (auto const& object : t.objects)
        apply_object(next, object);
    reasons = find_configuration_errors(next);
    bool const other_seats = guarantees_differ(s.config, next);
    if (reasons.empty() && other_seats)
        reasons = find_unseatable(s, plan_seats_for(s, next));
    if (!reasons.empty())
        return record_verdict(s, e, t, std::move(reasons));
    s.config = std::move(next);
    for (auto const& object : t.objects)
        s.versions[object_key(object)] = {t.number, e.offset};
    apply_result v = record_verdict(s, e, t, {});
    if (other_seats)
        replan_seats(s, v);
    return v;
}

apply_result apply_body(cluster_state& s, log_entry const& e,
                        claim_record const& r)
{
    auto& owner = s.owners[r.region];
    if (owner.epoch != r.previous)
        return refused("region " + r.region + " is at epoch " +
                       std::to_string(owner.epoch));
    owner = {r.holder, r.incarnation, e.offset + 1};
    return accepted({"claim", r.region,
                     r.holder.empty() ? "given up"
                                      : r.holder + " owns it from epoch " +
                                            std::to_string(owner.epoch)});
}

apply_result apply_body(cluster_state& s, log_entry const&,
                        workers_record const& r)
{
    auto const owner = s.owners.find(r.region);
    if (owner == s.owners.end() || owner->second.epoch != r.epoch)
        return refused("epoch " + std::to_string(r.epoch) + " of region " +
                       r.region + " is not current");
    apply_result v;
    v.accepted = true;
    for (auto const& w : r.changed)
    {
        s.workers[w.name] = w;
        if (w.condition == worker_condition::lost)
            stop_jobs_on_lost_worker(s, w.name, v);
    }
    v.effects.push_back(
        {"worker", r.region,
         std::to_string(r.changed.size()) + " workers updated"});
    replan_seats(s, v);
    return v;
}

} // namespace jasminetrack::core::detail
