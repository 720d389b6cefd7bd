#include "random_fleet.hpp"

#include "crashing_jobs.hpp"
#include "small_jobs.hpp"

#include <jasminetrack/tasks/lease_bounds.hpp>

#include <algorithm>
#include <array>

namespace support
{
namespace
{

constexpr int events_per_day = 50;
constexpr int max_pause_ms = 1'500;
constexpr int max_outage_ms = 9'000;
constexpr resources whole{64'000, 128'000, 8};
constexpr resources half{35'200, 70'400, 4};
constexpr int workers = 8;
constexpr std::array<char const*, 2> kinds{"a", "b"};
/// Above the longest lag of the list.
constexpr milliseconds list_settled_ms = 3'000;
/// Of the orders that are lost, late or not answered.
constexpr double usual_share = 0.02;
constexpr milliseconds settle_ms = 240'000;
constexpr milliseconds settle_step_ms = 5'000;

/// All faults of the network except those of a profile of its own.
simulation_faults usual_faults()
{
    simulation_faults f;
    f.max_list_lag_ms = 2'000;
    f.max_restart_ms = 6'000;
    f.long_polls = true;
    f.slow_stops = true;
    f.fast_resets = true;
    f.heartbeats = true;
    return f;
}

simulation_faults lossy_faults()
{
    auto f = usual_faults();
    f.lost_orders = usual_share;
    f.lost_answers = usual_share;
    return f;
}

simulation_faults with(simulation_faults f, double simulation_faults::*which,
                       double share)
{
    f.*which = share;
    return f;
}

simulation_faults with_slow_answers(simulation_faults f)
{
    f.max_latency_ms = 300;
    return f;
}

simulation_faults with_stray_checks(simulation_faults f)
{
    f.late_orders = 0.02;
    f.checks_stray_orders = true;
    return f;
}

simulation_faults with_unanswered_orders(simulation_faults f)
{
    f.lost_orders = 0.2;
    f.late_orders = 0.2;
    f.lost_answers = 0.1;
    f.max_latency_ms = 300;
    return f;
}

simulation_faults with_guarantee_checks(simulation_faults f)
{
    f.checks_guarantees = true;
    return f;
}

simulation_faults with_late_jobs(simulation_faults f)
{
    f.max_job_lag_ms = 6'000;
    return f;
}

simulation_faults with_short_leases(simulation_faults f)
{
    f.max_lease_ms = 6'000;
    return f;
}

simulation_faults with_rejecting_workers(simulation_faults f)
{
    f.rejecting_workers = true;
    return f;
}

std::vector<fleet_profile> make_profiles()
{
    using fleet = random_fleet;
    auto const usual = usual_faults();
    auto const lossy = lossy_faults();
    std::vector<fleet_profile> profiles{
        {"usual", usual, {}},
        {"lossy", lossy, {}},
        {"crashes", lossy, {&fleet::crash, &fleet::restart_at_once}},
        {"slow answers",
         with_slow_answers(lossy),
         {&fleet::crash, &fleet::restart_at_once}},
        {"late orders",
         with(lossy, &simulation_faults::late_orders, 0.02),
         {&fleet::crash}},
        {"stray orders", with_stray_checks(lossy), {&fleet::crash}},
        {"stray orders of crashing tasks", with_stray_checks(usual), {}},
        {"stray orders and take-overs",
         with_stray_checks(lossy),
         {&fleet::crash, &fleet::take_over, &fleet::replace_leader,
          &fleet::freeze_leader, &fleet::wake}},
        {"unanswered orders",
         with_unanswered_orders(usual),
         {&fleet::crash_many, &fleet::restart_many},
         false},
        {"unanswered orders and crashing tasks",
         with_unanswered_orders(usual),
         {&fleet::crash, &fleet::restart_at_once}},
        {"unanswered orders and take-overs",
         with_unanswered_orders(usual),
         {&fleet::crash_many, &fleet::restart_many, &fleet::replace_leader},
         false},
        {"other kinds", lossy, {&fleet::crash_and_change_kind}},
        {"cut workers", lossy, {&fleet::disconnect, &fleet::reconnect}},
        {"refusals", lossy, {&fleet::refuse, &fleet::accept}},
        {"rejecting workers",
         with_rejecting_workers(lossy),
         {&fleet::refuse, &fleet::accept}},
        {"reset starts",
         with(usual, &simulation_faults::reset_starts, 0.02),
         {}},
        {"reset starts without crashes",
         with(usual, &simulation_faults::reset_starts, 0.02),
         {},
         false,
         false},
        {"take-overs", lossy, {&fleet::take_over, &fleet::replace_leader}},
        {"late jobs",
         with_late_jobs(lossy),
         {&fleet::take_over, &fleet::replace_leader}},
        {"pauses", lossy, {&fleet::pause_leader}},
        {"frozen dispatchers", lossy, {&fleet::freeze_leader, &fleet::wake}},
        {"log outages", lossy, {&fleet::log_outage}},
        {"log outages without crashes",
         lossy,
         {&fleet::log_outage},
         false,
         true},
        {"list outages", lossy, {&fleet::list_outage}},
        {"log outages with take-overs",
         lossy,
         {&fleet::log_outage_with_take_over}},
        {"unlisted workers", lossy, {&fleet::unlist, &fleet::correct_entries}},
        {"wrong addresses",
         lossy,
         {&fleet::report_wrong_address, &fleet::correct_entries}},
        {"wrong services",
         lossy,
         {&fleet::report_wrong_service, &fleet::correct_entries}},
        {"listed twice", lossy, {&fleet::list_twice, &fleet::correct_entries}},
        {"isolated dispatchers",
         lossy,
         {&fleet::isolate_leader, &fleet::restore_links}},
        {"isolated dispatchers that reach other workers",
         lossy,
         {&fleet::isolate_with_workers, &fleet::restore_links}},
        {"short leases and frozen dispatchers",
         with_short_leases(lossy),
         {&fleet::freeze_leader, &fleet::wake}},
        {"short leases and isolated dispatchers",
         with_short_leases(lossy),
         {&fleet::isolate_with_workers, &fleet::restore_links}},
        {"short leases and frozen dispatchers that are isolated",
         with_short_leases(lossy),
         {&fleet::freeze_and_isolate, &fleet::restore_links}},
        {"partial cuts",
         lossy,
         {&fleet::cut_from_leader, &fleet::cut_from_earlier, &fleet::take_over,
          &fleet::restore_links}},
        {"labels and limits per worker",
         lossy,
         {&fleet::crash, &fleet::take_over},
         true,
         true,
         true},
        {"other labels",
         lossy,
         {&fleet::crash_and_change_label, &fleet::restart_with_other_label,
          &fleet::take_over, &fleet::log_outage_with_other_labels},
         false,
         true,
         true},
        {"other labels and late orders",
         with(with_slow_answers(lossy), &simulation_faults::late_orders, 0.02),
         {&fleet::crash_and_change_label, &fleet::replace_leader,
          &fleet::restart_at_once},
         false,
         true,
         true},
        {"limits per worker and stray orders",
         with_stray_checks(lossy),
         {&fleet::crash, &fleet::restart_at_once},
         false,
         false,
         true},
        {"limits per worker and unanswered orders",
         with_unanswered_orders(with_stray_checks(usual)),
         {&fleet::crash_many, &fleet::restart_many},
         false,
         false,
         true},
        {"limits per worker, unanswered orders and crashing tasks",
         with_unanswered_orders(with_stray_checks(usual)),
         {&fleet::crash, &fleet::restart_at_once},
         true,
         false,
         true},
        {"limits per worker, unanswered orders and take-overs",
         with_unanswered_orders(with_stray_checks(usual)),
         {&fleet::restart_many, &fleet::take_over, &fleet::replace_leader,
          &fleet::pause_leader},
         false,
         false,
         true},
        {"limits per worker and frozen dispatchers",
         with_unanswered_orders(with_stray_checks(usual)),
         {&fleet::restart_at_once, &fleet::freeze_leader, &fleet::wake},
         false,
         false,
         true},
        {"limits per worker and isolated dispatchers",
         with_short_leases(with_stray_checks(lossy)),
         {&fleet::restart_many, &fleet::isolate_with_workers,
          &fleet::freeze_and_isolate, &fleet::restore_links},
         false,
         false,
         true},
        {"evacuations",
         with_evacuations(lossy),
         {&fleet::evacuate, &fleet::restore, &fleet::take_over,
          &fleet::replace_leader, &fleet::restart_at_once}},
        {"evacuations and frozen dispatchers",
         with_evacuations(lossy),
         {&fleet::evacuate, &fleet::restore, &fleet::freeze_leader,
          &fleet::wake}},
        {"evacuations and isolated dispatchers",
         with_evacuations(lossy),
         {&fleet::evacuate, &fleet::restore, &fleet::isolate_with_workers,
          &fleet::log_outage, &fleet::restore_links}},
        {"replaced queues",
         lossy,
         {&fleet::rename_queue, &fleet::remove_queue, &fleet::move_queue,
          &fleet::restore_queues}},
        {"replaced queues and take-overs",
         lossy,
         {&fleet::rename_queue, &fleet::remove_queue, &fleet::restore_queues,
          &fleet::take_over, &fleet::replace_leader},
         false},
        {"borrowed guarantees",
         with_guarantee_checks(usual),
         {&fleet::submit_borrowed, &fleet::submit_borrowed,
          &fleet::submit_guaranteed, &fleet::submit_guaranteed},
         false,
         false,
         false,
         fleet_layout::two_racks,
         false,
         true},
        {"borrowed guarantees and lasting tasks",
         with_guarantee_checks(usual),
         {&fleet::submit_borrowed, &fleet::submit_lasting,
          &fleet::submit_guaranteed, &fleet::submit_guaranteed},
         false,
         false,
         false,
         fleet_layout::two_racks,
         false,
         true},
        {"resubmissions", lossy, {&fleet::resubmit, &fleet::take_over}},
        {"other kinds and take-overs",
         with_slow_answers(lossy),
         {&fleet::crash_and_change_kind, &fleet::crash, &fleet::take_over,
          &fleet::disconnect, &fleet::reconnect}},
        {"mixed",
         with(with_slow_answers(lossy), &simulation_faults::late_orders, 0.02),
         {&fleet::crash, &fleet::disconnect, &fleet::reconnect, &fleet::refuse,
          &fleet::accept, &fleet::take_over, &fleet::replace_leader,
          &fleet::pause_leader, &fleet::unlist, &fleet::correct_entries,
          &fleet::resubmit}},
    };
    auto const racks = rack_profiles(usual);
    profiles.insert(profiles.end(), racks.begin(), racks.end());
    return profiles;
}

} // namespace

std::vector<fleet_profile> const& fleet_profiles()
{
    static auto const profiles = make_profiles();
    return profiles;
}

random_fleet::random_fleet(unsigned seed, fleet_profile const& profile)
    : random_(seed), events_(profile.events), has_teams_(profile.has_teams),
      has_constrained_jobs_(profile.has_constrained_jobs),
      layout_(profile.layout), has_bursts_(profile.has_bursts),
      world_(seed, profile.faults)
{
    if (layout_ != fleet_layout::two_racks)
        return;
    // Jobs are most of a day, whatever else the profile has.
    auto const jobs = std::max<std::size_t>(4, events_.size());
    events_.insert(events_.end(), jobs, &random_fleet::submit_sound);
    events_.push_back(&random_fleet::cancel);
    if (profile.has_crashing_jobs)
        events_.insert(events_.end(), 1 + jobs / 4,
                       &random_fleet::submit_crashing);
    if (profile.has_changing_capacity)
        events_.insert(events_.end(), 1 + jobs / 4, &random_fleet::shrink);
    if (profile.has_changing_capacity)
        events_.insert(events_.end(), 1 + jobs / 4, &random_fleet::grow);
}

int random_fleet::below(int n)
{
    return std::uniform_int_distribution<>(0, n - 1)(random_);
}

std::string random_fleet::any_worker()
{
    auto const live = world_.live_workers();
    if (live.empty())
        return name_of(0);
    return live[static_cast<std::size_t>(
        below(static_cast<int>(std::ssize(live))))];
}

void random_fleet::run()
{
    constexpr int max_step_ms = 2'000;
    world_.set_comeback(below(2) == 0 ? comeback::same_id : comeback::new_id);
    add_workers();
    if (has_teams_)
        configure_teams();
    if (has_constrained_jobs_)
        for (int i = 1; i < workers; i += 2)
            world_.set_label(name_of(i), kinds[1]);
    if (has_constrained_jobs_)
        world_.run_for(list_settled_ms);
    for (int i = 0; i < events_per_day; ++i)
    {
        auto const event = events_[static_cast<std::size_t>(
            below(static_cast<int>(std::ssize(events_))))];
        (this->*event)();
        pass(below(max_step_ms));
    }
    settle();
}

void random_fleet::settle()
{
    restore_links();
    correct_entries();
    restore();
    cancel_lasting();
    world_.limit_order_faults(usual_share);
    for (auto const& id : world_.live_workers())
    {
        world_.disconnect_worker(id, false);
        world_.refuse_calls(id, 0);
        world_.set_capacity(id, usual_capacity(id));
    }
    if (!world_.has_leader())
        world_.take_over();
    for (milliseconds t = 0; t < settle_ms && !unfinished().empty();
         t += settle_step_ms)
        world_.run_for(settle_step_ms);
}

std::vector<std::string> random_fleet::unfinished() const
{
    std::vector<std::string> jobs;
    for (auto const* list : {&sound_, &crashing_})
        for (auto const& id : *list)
            if (!is_final(world_.phase(id)))
                jobs.push_back(id);
    return jobs;
}

void random_fleet::submit_sound()
{
    auto const id = "sound" + std::to_string(sound_.size());
    auto spec = below(3) == 0 ? gang_job(1 + below(4), 1 << below(4))
                              : simple_job(1 + below(12), 1 << below(3));
    spec.steps[0].checkpoints = below(2) == 0;
    spec.steps[0].same_rack = below(3) == 0;
    if (below(3) == 0)
    {
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
    }
    if (has_constrained_jobs_)
        constrain(spec);
    true_work const work{200 + below(6'000)};
    auto const queue = queue_at(below(3) == 0 ? urgent_prefix : batch_prefix);
    if (!queue)
        return;
    sound_.push_back(id);
    world_.submit(id, *queue, spec, work);
}

void random_fleet::constrain(job_spec& spec)
{
    for (auto& step : spec.steps)
    {
        // Two workers of each kind are always there.
        bool const fits_two =
            !step.gang || step.count * step.need.accelerators <= 16;
        if (fits_two && below(3) == 0)
            step.label = kinds[static_cast<std::size_t>(below(2))];
        if (below(2) == 0)
            step.most_per_worker = step.gang && !step.label.empty() ? 2 : 1;
    }
}

void random_fleet::submit_crashing()
{
    constexpr int max_crash_after_ms = 1'500;
    auto const queue = queue_at(batch_prefix);
    if (!queue)
        return;
    auto const id = "crashing" + std::to_string(crashing_.size());
    crashing_.push_back(id);
    auto work = crashing_task(below(3));
    work.crash_after_ms =
        below(2) == 0 ? work.crash_after_ms : below(max_crash_after_ms);
    work.duration_ms = max_crash_after_ms + 200;
    world_.submit(id, *queue, below(2) == 0 ? gang_job(3, 2) : simple_job(3, 1),
                  work);
}

void random_fleet::evacuate()
{
    if (world_.evacuated().empty())
        world_.evacuate(below(2) == 0 ? "r1" : "r2", true);
}

void random_fleet::restore()
{
    while (!world_.evacuated().empty())
        world_.evacuate(world_.evacuated().begin()->first, false);
}

void random_fleet::cancel()
{
    auto const& jobs = below(4) == 0 ? crashing_ : sound_;
    if (jobs.empty())
        return;
    world_.cancel(jobs[static_cast<std::size_t>(
        below(static_cast<int>(std::ssize(jobs))))]);
}

void random_fleet::resubmit()
{
    if (!sound_.empty() && world_.has_leader())
        world_.repeat(sound_[static_cast<std::size_t>(
                          below(static_cast<int>(std::ssize(sound_))))],
                      below(3));
}

void random_fleet::shrink()
{
    constexpr resources almost_none{16'000, 32'000, 1};
    world_.set_capacity(any_worker(), below(4) == 0 ? almost_none : half);
}

void random_fleet::grow()
{
    for (auto const& id : world_.live_workers())
        if (world_.capacity(id) != usual_capacity(id) && below(2) == 0)
            world_.set_capacity(id, usual_capacity(id));
}

void random_fleet::crash()
{
    world_.crash_for_a_while(any_worker());
}

void random_fleet::crash_and_change_kind()
{
    auto const id = any_worker();
    auto const kind = below(2) == 0 ? half : whole;
    world_.crash_for_a_while(id);
    world_.set_capacity(id, kind);
}

void random_fleet::crash_and_change_label()
{
    auto const id = any_worker();
    // Two workers of each kind never change, so that all jobs can end.
    if (id[1] < '4')
        return;
    world_.crash_for_a_while(id);
    world_.set_label(id, kinds[static_cast<std::size_t>(below(2))]);
}

void random_fleet::restart_with_other_label()
{
    auto const id = any_worker();
    if (id[1] < '4')
        return;
    world_.crash_worker(id);
    world_.set_label(id, kinds[static_cast<std::size_t>(below(2))]);
}

void random_fleet::log_outage_with_other_labels()
{
    world_.log_down(true);
    submit_and(&random_fleet::crash_and_change_label);
    world_.log_down(false);
}

void random_fleet::restart_at_once()
{
    auto const id = any_worker();
    world_.crash_worker(id);
    world_.publish(id);
}

void random_fleet::crash_many()
{
    for (auto const& id : world_.live_workers())
        if (below(2) == 0)
            world_.crash_for_a_while(id);
}

void random_fleet::restart_many()
{
    for (auto const& id : world_.live_workers())
    {
        if (below(2) == 0)
            continue;
        world_.crash_worker(id);
        world_.publish(id);
    }
}

void random_fleet::disconnect()
{
    world_.disconnect_worker(any_worker(), true);
}

void random_fleet::reconnect()
{
    for (auto const& id : world_.live_workers())
        if (below(2) == 0)
            world_.disconnect_worker(id, false);
}

void random_fleet::refuse()
{
    world_.refuse_calls(any_worker(), below(2) == 0 ? 1 : 0.5);
}

void random_fleet::accept()
{
    for (auto const& id : world_.live_workers())
        world_.refuse_calls(id, 0);
}

void random_fleet::take_over()
{
    world_.take_over();
}

void random_fleet::replace_leader()
{
    constexpr int max_gap_ms = 4'000;
    world_.kill_leader();
    world_.run_for(below(max_gap_ms));
    world_.take_over();
}

void random_fleet::pause_leader()
{
    auto const node = world_.leader_node();
    world_.freeze(node, true);
    world_.run_for(below(max_pause_ms));
    world_.freeze(node, false);
}

void random_fleet::freeze_leader()
{
    world_.freeze(world_.leader_node(), true);
    world_.run_for(max_pause_ms + below(max_pause_ms));
    world_.take_over();
}

void random_fleet::freeze_and_isolate()
{
    constexpr int max_freeze_ms = 4'000;
    constexpr milliseconds isolated_ms = 16'000;
    auto const node = world_.leader_node();
    world_.freeze(node, true);
    world_.run_for(holder_timeout_ms);
    world_.take_over();
    for (auto const& id : world_.live_workers())
        if (below(2) == 0)
            world_.cut_link(world_.leader_node(), id, true);
    world_.run_for(below(max_freeze_ms));
    world_.cut_from_log(node, true);
    world_.freeze(node, false);
    world_.run_for(isolated_ms);
}

void random_fleet::wake()
{
    for (std::size_t i = 0; i < world_.node_count(); ++i)
        world_.freeze(i, false);
}

void random_fleet::isolate_leader()
{
    world_.cut_from_log(world_.leader_node(), true);
    world_.run_for(max_pause_ms + below(max_pause_ms));
    world_.take_over();
}

void random_fleet::isolate_with_workers()
{
    isolate_leader();
    cut_from_leader();
    cut_from_leader();
}

void random_fleet::cut_from_leader()
{
    world_.cut_link(world_.leader_node(), any_worker(), true);
}

void random_fleet::cut_from_earlier()
{
    if (world_.node_count() > 1)
        world_.cut_link(world_.leader_node() - 1, any_worker(), true);
}

void random_fleet::restore_links()
{
    world_.restore_nodes();
}

void random_fleet::log_outage()
{
    world_.log_down(true);
    world_.run_for(below(max_outage_ms));
    world_.log_down(false);
}

void random_fleet::log_outage_with_take_over()
{
    world_.kill_leader();
    world_.log_down(true);
    submit_and(&random_fleet::shrink);
    world_.log_down(false);
    world_.run_for(holder_timeout_ms);
    world_.take_over();
}

void random_fleet::list_outage()
{
    world_.list_down(true);
    submit_and(&random_fleet::shrink);
    world_.list_down(false);
}

void random_fleet::submit_and(fleet_event event)
{
    for (int i = 0; i < 4; ++i)
    {
        submit_sound();
        (this->*event)();
        world_.run_for(below(max_outage_ms / 2));
    }
}

void random_fleet::unlist()
{
    world_.misreport_worker(any_worker(), std::nullopt);
}

void random_fleet::report_wrong_address()
{
    auto const id = any_worker();
    auto entry = world_.info(id);
    entry.address = world_.info(any_worker()).address;
    world_.misreport_worker(id, entry);
}

void random_fleet::report_wrong_service()
{
    auto const id = any_worker();
    auto entry = world_.info(id);
    entry.service = "another";
    world_.misreport_worker(id, entry);
}

void random_fleet::list_twice()
{
    auto entry = world_.info(any_worker());
    entry.id = "ghost" + std::to_string(ghosts_.size());
    entry.incarnation = world_.now();
    ghosts_.insert(entry.id);
    world_.misreport_worker(entry.id, entry);
}

void random_fleet::correct_entries()
{
    for (auto const& id : ghosts_)
        world_.misreport_worker(id, std::nullopt);
    for (auto const& id : world_.live_workers())
        world_.publish(id);
}

} // namespace support
