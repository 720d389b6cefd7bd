#include <jasminetrack/tasks/hold_reason.hpp>

#include <array>

namespace jasminetrack::tasks
{
namespace
{

constexpr milliseconds by_load = -1;

constexpr std::array<hold_terms, static_cast<std::size_t>(hold_reason::count)>
    terms{{
        {"no_queue",
         "a configuration with the queue of a job of an earlier build",
         by_load},
        {"jobs_not_current", "a read of the jobs to their end", 1'900},
        {"list_not_current", "a read of the workers after their reports",
         2'500},
        {"evacuations_not_current", "a read of the operators' records", 1'500},
        {"role_unproven", "a confirmed append or a survey", 6'000},
        {"placement_not_stored", "the log's confirmation", 600},
        {"start_unanswered", "the worker's answer", 4'000},
        {"worker_unreached", "its answer or the end of earlier leases", 6'100},
        {"worker_silent", "its answer or the end of its lease", 6'100},
        {"late_start", "an answer after the last time of arrival", 13'000},
        {"stopping", "the end of the run", 1'200},
        {"earlier_run", "the end of a run that a worker lists", 1'200},
        {"isolation", "a worker that starts only suspected runs", 20'000},
        {"unclear_losses", "what became of the silent workers", 25'000},
        {"verified_worker", "a completed run on some worker", 2'000},
        {"reservation", "the stops that make room", 1'200},
        {"headroom", "free capacity beyond that of urgent work", by_load},
        {"rack", "room in one rack", by_load},
        {"departures", "the end of a wave of departures", 4'500},
        {"advice", "the advice service", by_load},
        {"evacuated", "the end of an evacuation, or of another run", by_load},
        {"workers_unfit", "a worker with room that takes starts", by_load},
        {"fragmented", "free capacity in places that the unit can use",
         by_load},
        {"no_room", "the end of another run", by_load},
    }};

constexpr std::array<char const*, static_cast<std::size_t>(unfit_reason::count)>
    unfit_names{
        "unlisted",       "views_not_current", "draining", "evacuated",
        "outdated_entry", "late_orders",       "silent",   "not_reached",
        "unknown_task",   "isolating",         "cleared"};

char const* name_of(hold_reason r)
{
    return describe(r).name;
}

char const* name_of(unfit_reason r)
{
    return to_text(r);
}

template <typename Counts> std::string list_of(Counts const& counts)
{
    std::string text;
    for (auto const& [reason, count] : counts)
        text += (text.empty() ? "" : ",") + std::string(name_of(reason)) + ":" +
                std::to_string(count);
    return text;
}

} // namespace

hold_terms const& describe(hold_reason r) noexcept
{
    return terms[static_cast<std::size_t>(r)];
}

char const* to_text(unfit_reason r) noexcept
{
    return unfit_names[static_cast<std::size_t>(r)];
}

std::string to_text(hold_counts const& counts)
{
    return list_of(counts);
}

std::string to_text(unfit_counts const& counts)
{
    return list_of(counts);
}

} // namespace jasminetrack::tasks
