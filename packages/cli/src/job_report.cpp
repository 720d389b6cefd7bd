#include "job_report.hpp"

#include "job_causes.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>

namespace jasminetrack::cli
{
namespace
{

constexpr std::int64_t us_per_second = 1'000'000;

/// \returns whether any field contains the job's id.
bool mentions(log_line const& l, std::string const& job)
{
    return std::any_of(l.fields.begin(), l.fields.end(),
                       [&](auto const& f)
                       { return f.second.find(job) != std::string::npos; });
}

std::string seconds_text(std::int64_t us)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s",
                  static_cast<double>(us) / us_per_second);
    return text;
}

/// Names the run that a line is about. @p part says what the index of the line
/// counts: "unit", or "task" (in a gang, a member of the unit).
std::string run_text(log_line const& l, std::string const& part)
{
    return "run " + l.field("run") + " of step " + l.field("step") + ", " +
           part + " " + l.field("index");
}

/// Says which runs were stopped. Lines of earlier builds do not count urgent
/// ones, as there were none.
std::string reclaim_text(log_line const& l)
{
    auto const urgent = l.field("urgent");
    bool const has_urgent = !urgent.empty() && urgent != "0";
    auto const kind =
        has_urgent
            ? "(" + urgent + " urgent, beyond the guarantees of their teams) "
            : std::string("of lower priority ");
    return "Not enough capacity was free; " + l.field("victims") + " run(s) " +
           kind + "were stopped for this job.";
}

using formatter = std::function<std::string(log_line const&)>;
using formatter_table = std::map<std::string, formatter>;

/// Sentences for lines about a job, by step.
formatter_table const& job_formatters()
{
    static formatter_table const formatters{
        {"job.submit",
         [](log_line const& e)
         {
             return "Node " + e.node + " received the submission for team " +
                    e.field("team") + ": " + e.field("result") + " after " +
                    e.field("took_ms") + " ms.";
         }},
        {"job.cancel_request",
         [](log_line const& e)
         {
             return "Node " + e.node +
                    " received a cancellation: " + e.field("result") + ".";
         }},
        {"unit.reclaim", reclaim_text},
        {"unit.reclaim_again",
         [](log_line const& e)
         {
             return "The reclaimed capacity did not become free: " +
                    e.field("why") + ".";
         }},
        {"job.held",
         [](log_line const& e)
         {
             return "Nothing of the job has run for " + e.field("held_ms") +
                    " ms: " + e.field("reason") + ", which ends with " +
                    e.field("ended_by") + ".";
         }},
        {"job.released", [](log_line const& e)
         { return "The wait ended after " + e.field("held_ms") + " ms."; }},
        {"job.final",
         [](log_line const& e)
         {
             return "The job ended as " + e.field("phase") + ", " +
                    e.field("known_ms") +
                    " ms after it became known to this dispatcher.";
         }},
    };
    return formatters;
}

/// Sentences for lines about the runs of a job, by step.
formatter_table const& run_formatters()
{
    static formatter_table const formatters{
        {"unit.place",
         [](log_line const& e)
         {
             return "The dispatcher on " + e.node + " placed " +
                    run_text(e, "unit") + ": " + e.field("tasks") +
                    " task(s) on " + e.field("racks") +
                    " rack(s), the first on " + e.field("first") + ", " +
                    e.field("waited_ms") +
                    " ms after the job became known to it.";
         }},
        {"unit.end_run",
         [](log_line const& e)
         {
             return "The dispatcher ended " + run_text(e, "unit") + ": " +
                    e.field("why") + ".";
         }},
        {"start.failed",
         [](log_line const& e)
         {
             return "Worker " + e.field("worker") +
                    " did not accept a start request: " + e.field("result") +
                    ".";
         }},
        {"run.ended",
         [](log_line const& e)
         {
             return "On worker " + e.field("worker") + ", " +
                    run_text(e, "task") + " ended: " + e.field("how") + ".";
         }},
        {"run.absent",
         [](log_line const& e)
         {
             return "Worker " + e.field("worker") + " no longer had run " +
                    e.field("run") + ".";
         }},
    };
    return formatters;
}

/// Sentences for lines about workers that fail or are lost, by step.
formatter_table const& worker_formatters()
{
    static formatter_table const formatters{
        {"worker.doubted",
         [](log_line const& e)
         {
             return "Worker " + e.field("worker") + " failed " +
                    e.field("failures") +
                    " run(s) in a row and is quarantined for " +
                    e.field("rest_ms") + " ms.";
         }},
        {"run.lost",
         [](log_line const& e)
         {
             return "Worker " + e.field("worker") + " was lost with " +
                    run_text(e, "task") + ", " + e.field("ran_ms") +
                    " ms after its start was sent" +
                    (e.number("established") == 1 ? "" : ", while it started") +
                    "; " + e.field("others") +
                    " other run(s) were on that worker.";
         }},
        {"run.crashed",
         [](log_line const& e)
         {
             return "Worker " + e.field("worker") +
                    ", lost with a task of step " + e.field("step") +
                    ", turned out to have crashed.";
         }},
        {"unit.given_up",
         [](log_line const& e)
         {
             return "The job was given up: " + e.field("crashes") +
                    " workers crashed while they ran task " + e.field("index") +
                    " of step " + e.field("step") + " (" + e.field("workers") +
                    ").";
         }},
    };
    return formatters;
}

/// Formats a line whose step has no formatter: step and fields as logged.
std::string plain_text(log_line const& l)
{
    std::string text = "Node " + l.node + ": " + l.step;
    for (auto const& [key, value] : l.fields)
        text.append(" ").append(key).append("=").append(value);
    return text;
}

/// \returns one sentence for a line, by its step.
std::string describe_line(log_line const& l, std::string const& job)
{
    if (l.step == "unit.end_run" && l.field("job") != job)
        return "A run of job " + l.field("job") + " was stopped for this job.";
    for (auto const* table :
         {&job_formatters(), &run_formatters(), &worker_formatters()})
        if (auto const at = table->find(l.step); at != table->end())
            return at->second(l);
    return plain_text(l);
}

/// \returns whether a line without a job may explain what happened to the jobs
/// of that time: changes of the dispatcher role and failures of the log.
bool is_context(log_line const& l)
{
    static std::set<std::string> const steps{
        "role.taken",      "role.lost",     "log.append.failing",
        "log.append.back", "log.read.lost", "log.read.back"};
    return steps.count(l.step) != 0;
}

/// \returns whether a line is about the state of one of these workers.
bool is_of_workers(log_line const& l, std::set<std::string> const& workers)
{
    return l.step.starts_with("worker.") && l.step != "worker.listed" &&
           workers.count(l.field("worker")) != 0;
}

} // namespace

std::vector<std::string> describe_job(std::vector<log_line> const& lines,
                                      std::string const& job)
{
    std::set<std::string> workers;
    std::string from;
    std::string to;
    job_times times;
    for (auto const& l : lines)
    {
        if (!mentions(l, job))
            continue;
        from = from.empty() ? l.time : from;
        to = l.time;
        workers.insert(l.field("worker"));
        workers.insert(l.field("first"));
        if (l.field("job") == job)
            update(times, l);
    }
    if (from.empty())
        return {};
    workers.erase("");
    std::vector<std::string> report;
    std::string last;
    int repeats = 1;
    for (auto const& l : lines)
    {
        if (!mentions(l, job) &&
            (l.time < from || l.time > to ||
             !(is_context(l) || is_of_workers(l, workers))))
            continue;
        auto text = describe_line(l, job);
        repeats = text == last ? repeats + 1 : 1;
        if (repeats == 1)
            report.push_back(l.time + "  " + text);
        else
            report.back() = l.time + "  " + text + " (" +
                            std::to_string(repeats) + " times)";
        last = std::move(text);
    }
    auto const took =
        times.ended < 0 || times.first < 0
            ? std::string()
            : ", after " + seconds_text(times.ended - times.first);
    report.push_back("Outcome: " + outcome_of(times) + took + ".");
    return report;
}

} // namespace jasminetrack::cli
