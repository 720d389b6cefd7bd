/// \file
/// Workers that leave: what the dispatcher asks the modules `departures`,
/// `drain_plan` and `departure_wait`, and how it carries out their verdicts.

#include <jasminetrack/tasks/dispatcher.hpp>

#include <algorithm>
#include <limits>

namespace jasminetrack::tasks
{
namespace
{

constexpr std::int64_t per_thousand = 1'000;
/// Units with a higher chance to complete take any worker.
constexpr double safe_chance = 0.9;
constexpr milliseconds never = std::numeric_limits<milliseconds>::max();

std::string thousandths(double share)
{
    return std::to_string(static_cast<std::int64_t>(share * per_thousand));
}

/// The work that a resumed run had done before shows in its first report.
run_report report_of(milliseconds now, detail::active_run const& a,
                     detail::member const& m, step_spec const& step)
{
    bool const is_resumed = step.checkpoints && m.first_reported_at >= 0;
    auto const begun = is_resumed ? m.first_reported_at : a.first_sent;
    auto const reported = std::max(m.reported_at, begun);
    run_report r;
    r.ran_ms = reported - begun;
    r.age_ms = now - reported;
    r.first_percent = is_resumed ? m.first_percent : 0;
    r.percent = m.percent;
    r.estimate_ms = step.estimate_ms;
    return r;
}

std::string plan_text(unit_ref const& ref, std::int64_t run,
                      leaving_run const& r, drain_verdict const& v)
{
    return "step=" + std::to_string(ref.unit.step) +
           " index=" + std::to_string(ref.unit.index) +
           " run=" + std::to_string(run) + " why=" + to_text(v.reason) +
           " end_in_ms=" + std::to_string(v.end_in_ms) +
           " notice_ms=" + std::to_string(r.notice_ms) +
           " least_ms=" + std::to_string(r.remaining.least_ms) +
           " expected_ms=" + std::to_string(r.remaining.expected_ms) +
           " checkpoints=" + (r.checkpoints ? "1" : "0") +
           " wanted=" + (r.place_is_wanted ? "1" : "0");
}

/// \returns how many of the workers may leave before others of the service have
/// been replaced.
std::int64_t
count_exposed(milliseconds now, std::vector<std::string> const& places,
              std::map<std::string, worker_view> const& workers_by_id,
              departures const& history)
{
    std::set<std::string> const workers(places.begin(), places.end());
    return std::count_if(
        workers.begin(), workers.end(),
        [&](std::string const& id)
        { return !history.is_replacement(now, workers_by_id.at(id).info); });
}

/// \returns whether other waiting work can use what the run of the job holds on
/// workers that stay.
///
/// The work got no place without what the run holds, so it uses that if it fits
/// with it.
bool is_place_wanted(detail::job_entry const& e, step_spec const& step,
                     detail::active_run const& a,
                     std::map<std::string, worker_view> const& workers,
                     detail::departure_state const& departures)
{
    auto const waiting = departures.unplaced.find(e.service);
    if (waiting == departures.unplaced.end())
        return false;
    std::map<std::string, resources> held;
    for (auto const& m : a.members)
        held[m.worker] += held_by(step);
    bool any_stays = false;
    std::vector<detail::free_place> places;
    for (auto const& [id, w] : workers)
    {
        if (w.info.service != e.service || !w.takes_new_work())
            continue;
        auto const released = held.find(id);
        bool const is_released = released != held.end();
        any_stays = any_stays || is_released;
        places.push_back({&w.info, is_released
                                       ? w.free_capacity() + released->second
                                       : w.free_capacity()});
    }
    return any_stays &&
           std::any_of(waiting->second.begin(), waiting->second.end(),
                       [&](detail::waiting_need const& need) {
                           return need.job != e.job.id &&
                                  detail::fits_on(need, places);
                       });
}

} // namespace

/// The first list entry of a worker does not show when its drain began.
void dispatcher::note_drain(milliseconds now, worker_view const& w,
                            worker_info const& info)
{
    bool const begins =
        info.draining && !w.info.draining && !w.info.address.empty();
    if (limits_.expect_departures && begins)
        departures_.history.record(now, info);
}

void dispatcher::note_lost_worker(milliseconds now, worker_view const& w)
{
    if (limits_.expect_departures && w.listed && !w.info.draining)
        departures_.history.record(now, w.info);
}

void dispatcher::note_lost_run(milliseconds now, worker_view const& w,
                               unit_ref const& ref)
{
    auto const at = active_.find(ref);
    bool const has_left = !w.listed || w.info.draining || w.replaced;
    if (!limits_.expect_departures || !has_left || at == active_.end() ||
        at->second.over)
        return;
    departures_.note_move(
        ref, w.info.service,
        lost_work(now, at->second, step_of(jobs_.at(ref.job), ref)));
}

void dispatcher::plan_drains(milliseconds now)
{
    std::erase_if(departures_.verdicts, [&](auto const& entry)
                  { return active_.count(entry.first) == 0; });
    std::vector<std::pair<unit_ref, drain_reason>> ends;
    for (auto const& [ref, a] : active_)
    {
        auto const r = leaving_run_of(now, ref, a);
        if (!r)
            continue;
        auto const verdict = plan_drain(*r);
        std::pair const noted{a.run, verdict.reason};
        auto const [at, is_new] = departures_.verdicts.emplace(ref, noted);
        if (is_new || at->second != noted)
            log_decision("drain.plan", ref.job,
                         plan_text(ref, a.run, *r, verdict));
        at->second = noted;
        if (verdict.action == drain_action::end_now)
            ends.emplace_back(ref, verdict.reason);
    }
    for (auto const& [ref, why] : ends)
        end_for_departure(now, ref, why);
}

void dispatcher::end_for_departure(milliseconds now, unit_ref const& ref,
                                   drain_reason why)
{
    auto const at = active_.find(ref);
    if (at == active_.end() || at->second.over)
        return;
    auto const& e = jobs_.at(ref.job);
    departures_.note_move(ref, e.service,
                          lost_work(now, at->second, step_of(e, ref)));
    end_run(now, ref, std::string("its worker leaves: ") + to_text(why));
}

/// A gang goes on at the speed of its slowest member, and ends with the first
/// that leaves.
std::optional<leaving_run> dispatcher::leaving_run_of(milliseconds now,
                                                      unit_ref const& ref,
                                                      active_run const& a) const
{
    auto const& e = jobs_.at(ref.job);
    auto const& step = step_of(e, ref);
    if (a.over || step.lasting)
        return std::nullopt;
    milliseconds leaves_at = never;
    member const* slowest = nullptr;
    for (auto const& m : a.members)
    {
        if (m.phase != member_phase::running)
            continue;
        auto const at = workers_.find(m.worker);
        if (at != workers_.end() && at->second.listed &&
            at->second.leaves_at >= 0)
            leaves_at = std::min(leaves_at, at->second.leaves_at);
        if (!slowest || m.percent < slowest->percent)
            slowest = &m;
    }
    if (leaves_at == never)
        return std::nullopt;
    leaving_run r;
    r.notice_ms = leaves_at - now;
    r.max_stop_ms = limits_.max_stop_ms;
    r.remaining = project(report_of(now, a, *slowest, step));
    r.checkpoints = step.checkpoints;
    bool const is_hopeless = !r.checkpoints && !may_complete(r);
    r.place_is_wanted =
        is_hopeless && is_place_wanted(e, step, a, workers_, departures_);
    return r;
}

/// Only narrower units count as other work that can use the room. Two wide
/// gangs would otherwise wait for each other.
departure_wait_terms dispatcher::wait_terms_of(milliseconds now,
                                               job_entry const& e,
                                               unit_ref const& ref,
                                               unit_need const& need,
                                               std::int64_t exposed) const
{
    auto const& step = step_of(e, ref);
    auto const& count = shares_.counts().at(e.service);
    auto const is_other = [&](detail::waiting_need const& other)
    {
        return other.job != ref.job && other.count < need.count &&
               fits(other.count * other.per_task, count.load.free);
    };
    auto const waiting = departures_.waiting.find(e.service);
    departure_wait_terms t;
    t.chance = departures_.history.chance_to_complete(
        now, e.service, count.workers, exposed, step.estimate_ms);
    t.going_on = departures_.history.are_going_on(now, e.service);
    t.urgent = e.priority == 0;
    t.checkpoints = step.checkpoints;
    t.service_in_use = idleness_for(count.load, need) == idleness::none;
    t.room_is_wanted =
        waiting != departures_.waiting.end() &&
        std::any_of(waiting->second.begin(), waiting->second.end(), is_other);
    t.spare_ms = time_to_spare(ordering_key_of(now, e, ref.unit));
    return t;
}

bool dispatcher::avoids_departures(milliseconds now, job_entry const& e,
                                   unit_need const& need) const
{
    auto const* const count = shares_.find(e.service);
    if (!limits_.expect_departures || !count)
        return false;
    auto const chance = departures_.history.chance_to_complete(
        now, e.service, count->workers, need.count, need.estimate_ms);
    return chance < safe_chance;
}

bool dispatcher::awaits_departures(milliseconds now, job_entry const& e,
                                   unit_ref const& ref, unit_need const& need,
                                   std::vector<std::string> const& places)
{
    if (!limits_.expect_departures || need.count < 2)
        return false;
    auto const exposed =
        count_exposed(now, places, workers_, departures_.history);
    auto const t = wait_terms_of(now, e, ref, need, exposed);
    bool const waited = departures_.waits.is_waiting(ref);
    auto const reason = departures_.waits.judge(now, ref, t);
    bool const waits = reason == departure_wait_reason::waits;
    if (waits != waited)
        log_decision(
            "departures.wait", ref.job,
            "step=" + std::to_string(ref.unit.step) + " index=" +
                std::to_string(ref.unit.index) + " why=" + to_text(reason) +
                " chance_thousandths=" + thousandths(t.chance) +
                " exposed=" + std::to_string(exposed) + " workers=" +
                std::to_string(shares_.counts().at(e.service).workers) +
                " estimate_ms=" + std::to_string(need.estimate_ms) +
                " spare_ms=" + std::to_string(t.spare_ms));
    return waits;
}

std::string dispatcher::moved_text(std::int64_t moves) const
{
    return limits_.expect_departures ? " moved=" + std::to_string(moves) : "";
}

} // namespace jasminetrack::tasks
