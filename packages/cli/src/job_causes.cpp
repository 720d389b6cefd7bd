#include "job_causes.hpp"

#include <algorithm>
#include <sstream>

namespace jasminetrack::cli
{
namespace
{

constexpr std::int64_t us_per_ms = 1'000;
/// A part of a job's time that is shorter than this is not named as the cause
/// of a delay.
constexpr std::int64_t min_cause_us = 300 * us_per_ms;

void update_placement(job_times& t, log_line const& l)
{
    auto const unit = l.field("step") + "/" + l.field("index");
    t.priority = l.number("priority");
    if (t.placed < 0)
        t.placed = l.time_us;
    t.placed_last = l.time_us;
    t.spread =
        t.spread || (l.number("wants_rack") == 1 && l.number("racks") > 1);
    auto const [at, fresh] = t.first_runs.emplace(unit, l.time_us);
    t.lost_us = std::max(t.lost_us, l.time_us - at->second);
}

/// Cuts a reason after " job ", so that reasons that differ only in the id of
/// the other job are counted together.
std::string without_ids(std::string const& why)
{
    auto const at = why.find(" job ");
    return at == std::string::npos ? why : why.substr(0, at + 4);
}

std::string most_frequent(std::map<std::string, int> const& counts)
{
    auto const at = std::max_element(counts.begin(), counts.end(),
                                     [](auto const& a, auto const& b)
                                     { return a.second < b.second; });
    return at == counts.end() ? "unknown" : at->first;
}

/// \returns the longest part of the job's time as the cause.
std::string cause_of_delay(job_times const& t)
{
    std::map<std::int64_t, std::string> parts;
    parts[t.accepted - t.first] = "late: waited for the log to store it";
    parts[t.placed - t.accepted] = "late: waited for its first placement";
    parts[t.lost_us] = "late: restarted, " + most_frequent(t.reasons);
    auto const& [longest_us, cause] = *parts.rbegin();
    if (t.spread)
        return "late: gang was spread over several racks";
    return longest_us < min_cause_us ? "late: ran longer than estimated"
                                     : cause;
}

void add(ended_runs& ended, log_line const& l)
{
    ++ended.count;
    ended.lost_core_s += std::max<std::int64_t>(0, l.number("lost_core_s"));
}

/// Writes the runs that were ended before their work was done.
void write_ended_runs(std::ostream& out, loss_table const& t)
{
    std::vector<std::pair<std::string, ended_runs>> rows;
    for (auto const& row : t.ended)
        if (row.second.lost_core_s > 0)
            rows.push_back(row);
    std::sort(rows.begin(), rows.end(),
              [](auto const& a, auto const& b)
              { return a.second.lost_core_s > b.second.lost_core_s; });
    if (!rows.empty())
        out << "work that was lost, in core seconds\n";
    for (auto const& [why, ended] : rows)
        out << "  " << ended.lost_core_s << "  in " << ended.count
            << " runs: " << why << "\n";
}

} // namespace

void update(job_times& t, log_line const& l)
{
    if (l.step == "job.submit")
    {
        if (t.first < 0)
            t.first = l.time_us - l.number("took_ms") * us_per_ms;
        if (l.field("result") == "stored" && t.accepted < 0)
            t.accepted = l.time_us;
        t.refused = t.accepted < 0 && l.field("result") == "refused";
    }
    else if (l.step == "unit.place")
        update_placement(t, l);
    else if (l.step == "unit.end_run")
        ++t.reasons[without_ids(l.field("why"))];
    else if (l.step == "unit.given_up")
        t.given_up = true;
    else if (l.step == "job.cancel_request")
        t.cancelled = true;
    else if (l.step == "job.final")
    {
        t.ended = l.time_us;
        t.phase = l.field("phase");
        t.objective_us = l.number("objective_ms") * us_per_ms;
    }
}

std::string outcome_of(job_times const& t)
{
    if (t.cancelled)
        return "cancelled by the caller";
    if (t.accepted < 0)
        return t.refused ? "refused: the log did not confirm the job"
                         : "not confirmed as stored";
    if (t.placed < 0)
        return "never placed";
    if (t.ended < 0)
        return "not ended within these log lines";
    if (t.given_up)
        return t.phase + ": a task crashed the workers that started it";
    if (t.phase != "completed")
        return t.phase + ": " + most_frequent(t.reasons);
    return t.ended - t.first <= t.objective_us ? "in time" : cause_of_delay(t);
}

loss_table count_losses(std::vector<log_line> const& lines)
{
    std::map<std::string, job_times> jobs;
    loss_table table;
    for (auto const& l : lines)
    {
        if (auto const& id = l.field("job"); !id.empty())
            update(jobs[id], l);
        if (l.step == "unit.end_run")
            add(table.ended[without_ids(l.field("why"))], l);
    }
    for (auto const& [id, t] : jobs)
    {
        if (t.first < 0)
            continue;
        ++table.jobs;
        ++table.causes[t.priority][outcome_of(t)];
    }
    return table;
}

std::string to_text(loss_table const& t)
{
    std::ostringstream out;
    out << t.jobs << " jobs\n";
    for (auto const& [priority, causes] : t.causes)
    {
        out << (priority < 0 ? std::string("never placed")
                             : "priority " + std::to_string(priority))
            << "\n";
        std::vector<std::pair<int, std::string>> rows;
        for (auto const& [cause, count] : causes)
            rows.emplace_back(count, cause);
        std::sort(rows.rbegin(), rows.rend());
        for (auto const& [count, cause] : rows)
            out << "  " << count << "  " << cause << "\n";
    }
    write_ended_runs(out, t);
    return out.str();
}

} // namespace jasminetrack::cli
