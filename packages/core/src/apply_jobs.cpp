#include "apply_record.hpp"

#include <jasminetrack/core/evacuation.hpp>
#include <jasminetrack/core/placement.hpp>

#include <algorithm>
#include <set>

namespace jasminetrack::core::detail
{
namespace
{

std::optional<std::string> find_submit_error(cluster_state const& s,
                                             submit_record const& r)
{
    auto const found = s.config.job_classes.find(r.job_class);
    if (found == s.config.job_classes.end())
        return "there is no job class '" + r.job_class + "'";
    auto const& c = found->second;
    if (c.team != r.team)
        return "job class '" + r.job_class + "' does not belong to team '" +
               r.team + "'";
    auto all = s.workers;
    for (auto& [name, w] : all)
        w.condition = worker_condition::live;
    if (!fit(occupancy(all), c.region, c.gang, first_fit{}))
        return "this gang can never run: the workers of region " + c.region +
               " cannot hold it even when empty";
    return std::nullopt;
}

bool epoch_is_current(cluster_state const& s, std::string const& region,
                      epoch_number epoch)
{
    auto const owner = s.owners.find(region);
    return owner != s.owners.end() && owner->second.epoch == epoch;
}

/// Whether the capacity needed on a worker is free, held by victims or held by
/// jobs that are already stopping.
bool has_capacity(cluster_state const& s, allocation const& needed,
                  std::string const& worker_name,
                  std::set<job_id> const& victims)
{
    auto const& w = s.workers.at(worker_name);
    std::int64_t millicores = w.millicores - needed.millicores;
    std::int64_t memory_mb = w.memory_mb - needed.memory_mb;
    for (auto const& h : s.ledger.holders(worker_name))
    {
        if (victims.count(h.job) != 0)
            continue;
        if (s.jobs.at(h.job).state == job_state::stopping)
            continue;
        if ((h.mask & needed.mask) != 0)
            return false;
        millicores -= h.millicores;
        memory_mb -= h.memory_mb;
    }
    return millicores >= 0 && memory_mb >= 0;
}

std::optional<std::string>
find_capacity_error(cluster_state const& s, job const& j, place_record const& r)
{
    std::map<std::string, allocation> needed;
    for (auto const& place : r.places)
    {
        auto& h = needed[place.worker];
        h.mask |= range_mask(place.first, place.count);
        h.millicores += j.gang.millicores;
        h.memory_mb += j.gang.memory_mb;
    }
    std::set<job_id> const victims(r.victims.begin(), r.victims.end());
    for (auto const& [worker_name, h] : needed)
    {
        if (s.workers.at(worker_name).condition != worker_condition::live)
            return "worker " + worker_name + " is not live";
        if (is_evacuated(s, s.workers.at(worker_name)))
            return "worker " + worker_name + " is in an evacuated data center";
        if (!has_capacity(s, h, worker_name, victims))
            return "worker " + worker_name +
                   " does not have enough free capacity";
    }
    return std::nullopt;
}

std::optional<std::string>
find_victim_error(cluster_state const& s, job const& j, place_record const& r)
{
    for (auto const& id : r.victims)
    {
        auto const found = s.jobs.find(id);
        if (found == s.jobs.end() || !holds_places(found->second))
            continue; // its places are already free
        auto const& victim = found->second;
        if (!victim.seat.empty())
            return "victim " + id + " runs on a guarantee";
        if (r.seat.empty() && victim.submitted < j.submitted)
            return "victim " + id + " was submitted before job " + j.id;
    }
    return std::nullopt;
}

bool overlaps_other_seat(cluster_state const& s, place_record const& r)
{
    auto const masks = masks_of(r.seat_places);
    for (auto const& [name, other] : s.seats)
    {
        if (name == r.seat)
            continue;
        for (auto const& place : other.places)
        {
            auto const found = masks.find(place.worker);
            if (found != masks.end() &&
                (found->second & range_mask(place.first, place.count)) != 0)
                return true;
        }
    }
    return false;
}

bool lies_within(assignment const& inner, assignment const& outer)
{
    auto const masks = masks_of(outer);
    return std::all_of(
        inner.begin(), inner.end(),
        [&](accelerator_range const& place)
        {
            auto const m = masks.find(place.worker);
            auto const mask = range_mask(place.first, place.count);
            return m != masks.end() && (m->second & mask) == mask;
        });
}

std::optional<std::string> find_seat_error(cluster_state const& s, job const& j,
                                           place_record const& r)
{
    if (r.seat.empty())
        return std::nullopt;
    auto const found = s.seats.find(r.seat);
    if (found == s.seats.end() || found->second.team != j.team)
        return "seat " + r.seat + " does not belong to team " + j.team;
    auto const& current = found->second;
    if (!lies_within(r.places, r.seat_places))
        return "places are outside seat " + r.seat;
    if (current.places == r.seat_places)
        return std::nullopt;
    if (s.ledger.is_in_use(current.name))
        return "seat " + r.seat + " is in use and cannot move";
    if (overlaps_other_seat(s, r))
        return "new places of seat " + r.seat + " overlap another seat";
    if (touches_evacuated(s, r.seat_places))
        return "new places of seat " + r.seat +
               " are in an evacuated data center";
    return find_placement_error(r.seat_places, current.wanted, current.region,
                                s.workers);
}

std::optional<std::string> find_placement_record_error(cluster_state const& s,
                                                       job const& j,
                                                       place_record const& r)
{
    if (j.state != job_state::waiting)
        return "job " + j.id + " is " + to_text(j.state);
    if (!epoch_is_current(s, j.region, r.epoch))
        return "epoch " + std::to_string(r.epoch) + " of region " + j.region +
               " is not current";
    if (auto error_text =
            find_placement_error(r.places, j.gang, j.region, s.workers))
        return error_text;
    if (auto error_text = find_victim_error(s, j, r))
        return error_text;
    if (auto error_text = find_seat_error(s, j, r))
        return error_text;
    return find_capacity_error(s, j, r);
}

void update_mean_run_time(cluster_state& s, job const& j)
{
    constexpr milliseconds smoothing_divisor = 4;
    auto& h = s.history[j.job_class];
    milliseconds const run = s.log_time - j.started_ms;
    h.mean_run_ms = h.finished == 0 ? run
                                    : h.mean_run_ms + (run - h.mean_run_ms) /
                                                          smoothing_divisor;
    ++h.finished;
}

/// Stops a preempted job. A graceful stop can become an urgent one, but an
/// urgent stop never becomes graceful again.
void stop_victim(job& victim, bool graceful)
{
    bool const already_stopping = victim.state == job_state::stopping;
    victim.calm_stop = graceful && (!already_stopping || victim.calm_stop);
    victim.state = job_state::stopping;
}

effect job_effect(job const& j, std::string text)
{
    return {"job", j.id, std::move(text)};
}

apply_result start_job(cluster_state& s, job& j)
{
    j.state = job_state::running;
    j.calm_stop = false;
    j.ever_started = true;
    j.started_ms = s.log_time;
    s.ledger.touch(j);
    return accepted(job_effect(j, "all members start"));
}

apply_result stop_job(cluster_state& s, job& j, job_record const& r)
{
    ++j.stops;
    if (j.cancel_wanted)
        end_job(s, j, job_end::cancelled, "cancelled by its caller");
    else if (!j.idempotent && !r.clean)
        end_job(s, j, job_end::unknown,
                "a member was lost after the start: " + r.detail);
    else
        requeue_job(s, j);
    return accepted(job_effect(j, "stopped: " + r.detail));
}

apply_result finish_job(cluster_state& s, job& j, job_record const& r)
{
    update_mean_run_time(s, j);
    for (auto const& place : j.places)
        s.faults.erase(place.worker);
    end_job(s, j, job_end::done, r.detail);
    return accepted(job_effect(j, "done"));
}

apply_result fail_job(cluster_state& s, job& j, job_record const& r)
{
    apply_result v = accepted(job_effect(j, "failed: " + r.detail));
    record_failure(s, r.blamed, j.id, v);
    j.failed_on.insert(r.blamed);
    if (j.idempotent && j.failed_on.size() < max_job_failures &&
        !j.cancel_wanted)
        requeue_job(s, j);
    else
        end_job(s, j, job_end::failed, r.detail);
    return v;
}

} // namespace

void requeue_job(cluster_state& s, job& j)
{
    s.ledger.remove(j);
    s.ledger.enqueue(j.id);
    j.state = job_state::waiting;
    j.places.clear();
    j.seat.clear();
}

void end_job(cluster_state& s, job& j, job_end end, std::string detail)
{
    if (holds_places(j))
        s.ledger.remove(j);
    s.ledger.dequeue(j.id);
    j.state = job_state::ended;
    j.end = end;
    j.detail = std::move(detail);
    j.ended_ms = s.log_time;
    j.places.clear();
    j.seat.clear();
}

void record_failure(cluster_state& s, std::string const& worker_name,
                    job_id const& job, apply_result& v)
{
    auto const found = s.workers.find(worker_name);
    if (found == s.workers.end())
        return;
    auto& faults = s.faults[worker_name];
    faults.failed_jobs.insert(job);
    if (faults.failed_jobs.size() < quarantine_threshold_jobs ||
        found->second.condition != worker_condition::live)
        return;
    found->second.condition = worker_condition::quarantined;
    faults.quarantined_ms = s.log_time;
    v.effects.push_back(
        {"worker", worker_name, "quarantined: several jobs failed on it"});
    replan_seats(s, v);
}

apply_result apply_body(cluster_state& s, log_entry const& e,
                        submit_record const& r)
{
    auto const key = request_key(r.team, r.key);
    if (auto const found = s.job_keys.find(key); found != s.job_keys.end())
        return accepted({"job", found->second, "submitted again"});
    if (auto error_text = find_submit_error(s, r))
        return refused(*error_text);
    auto const& c = s.config.job_classes.at(r.job_class);
    job j;
    j.id = "j" + std::to_string(e.offset);
    j.team = r.team;
    j.key = r.key;
    j.job_class = r.job_class;
    j.region = c.region;
    j.payload = r.payload;
    j.gang = c.gang;
    j.draws_on = c.draws_on;
    j.idempotent = c.idempotent;
    j.submitted = e.offset;
    j.submitted_ms = s.log_time;
    s.job_keys[key] = j.id;
    s.ledger.enqueue(j.id);
    apply_result v = accepted(job_effect(j, "submitted by " + r.team));
    s.jobs[j.id] = std::move(j);
    return v;
}

apply_result apply_body(cluster_state& s, log_entry const&,
                        cancel_record const& r)
{
    auto const found = s.jobs.find(r.job);
    if (found == s.jobs.end())
        return refused("there is no job '" + r.job + "'");
    auto& j = found->second;
    if (j.state == job_state::ended)
        return accepted(
            job_effect(j, "had already ended when it was cancelled"));
    j.cancel_wanted = true;
    if (j.state == job_state::waiting || j.state == job_state::placed)
        end_job(s, j, job_end::cancelled, "cancelled by its caller");
    else
    {
        j.state = job_state::stopping;
        s.ledger.touch(j);
    }
    return accepted(job_effect(j, "cancellation accepted"));
}

apply_result apply_body(cluster_state& s, log_entry const&,
                        place_record const& r)
{
    auto const found = s.jobs.find(r.job);
    if (found == s.jobs.end())
        return refused("there is no job '" + r.job + "'");
    auto& j = found->second;
    if (auto error_text = find_placement_record_error(s, j, r))
        return refused(*error_text);
    apply_result v =
        accepted(job_effect(j, r.seat.empty() ? "placed beyond guarantees"
                                              : "placed on seat " + r.seat));
    for (auto const& id : r.victims)
    {
        auto const victim_at = s.jobs.find(id);
        if (victim_at == s.jobs.end() || !holds_places(victim_at->second))
            continue;
        auto& victim = victim_at->second;
        v.effects.push_back({"job", id, "preempted for " + j.id});
        if (victim.state == job_state::placed)
            requeue_job(s, victim);
        else
        {
            stop_victim(victim, r.seat.empty());
            s.ledger.touch(victim);
        }
    }
    if (!r.seat.empty())
        s.seats.at(r.seat).places = r.seat_places;
    j.state = job_state::placed;
    j.places = r.places;
    j.seat = r.seat;
    ++j.attempt;
    s.ledger.dequeue(j.id);
    s.ledger.add(j);
    return v;
}

apply_result apply_body(cluster_state& s, log_entry const&, job_record const& r)
{
    auto const found = s.jobs.find(r.job);
    if (found == s.jobs.end())
        return refused("there is no job '" + r.job + "'");
    auto& j = found->second;
    if (!holds_places(j) || j.attempt != r.attempt)
        return refused("attempt " + std::to_string(r.attempt) + " of job " +
                       j.id + " is not current");
    if (!epoch_is_current(s, j.region, r.epoch))
        return refused("epoch " + std::to_string(r.epoch) + " of region " +
                       j.region + " is not current");
    bool const is_placed = j.state == job_state::placed;
    switch (r.change)
    {
    case job_change::withdrawn:
        if (!is_placed)
            return refused("job " + j.id + " has already started");
        requeue_job(s, j);
        return accepted(job_effect(j, "withdrawn: " + r.detail));
    case job_change::started:
        return is_placed ? start_job(s, j)
                         : refused("job " + j.id + " is not placed");
    case job_change::stopping:
        if (j.state != job_state::running)
            return refused("job " + j.id + " is not running");
        j.state = job_state::stopping;
        s.ledger.touch(j);
        return accepted(job_effect(j, "is being stopped: " + r.detail));
    case job_change::stopped:
        return is_placed ? refused("job " + j.id + " was not started")
                         : stop_job(s, j, r);
    case job_change::done:
        return is_placed ? refused("job " + j.id + " was not started")
                         : finish_job(s, j, r);
    case job_change::failed:
        return fail_job(s, j, r);
    }
    return refused("unknown job change");
}

} // namespace jasminetrack::core::detail
