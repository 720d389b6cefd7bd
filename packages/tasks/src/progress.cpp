#include <jasminetrack/tasks/progress.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, millicores,
                                                memory_mb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_spec, count, need,
                                                estimate_ms, after, gang,
                                                same_rack, checkpoints, copies,
                                                lasting, filling,
                                                most_per_worker, label, rack,
                                                image, target_ms, may_miss)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_spec, payload, steps,
                                                first_due_ms, interval_ms,
                                                occurrences)
namespace
{

/// Header of a progress record: the phase, and whether the job has begun.
constexpr std::size_t summary_bytes = 2;

std::string to_bytes(json const& value)
{
    auto const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

/// Fields of a queue in a job's record; a queue with advice has two more.
constexpr std::size_t queue_fields = 7;
constexpr std::size_t advised_queue_fields = 9;

json row_of(queue const& q)
{
    auto row = json::array({q.host, q.prefix, q.service, q.priority,
                            q.max_attempts, q.stretch, q.latency_ms});
    if (!q.advised)
        return row;
    row.push_back(q.advice_ms);
    row.push_back(q.advice_each_ms);
    return row;
}

/// \returns nothing if the job's record has no queue, or one that this build
/// cannot read.
std::optional<queue> queue_of(json const& record, std::string const& name)
try
{
    auto const at = record.find("terms");
    if (at == record.end() || at->size() < queue_fields)
        return std::nullopt;
    auto const& row = *at;
    queue q;
    q.name = name;
    q.host = row.at(0).get<std::string>();
    q.prefix = row.at(1).get<std::string>();
    q.service = row.at(2).get<std::string>();
    q.priority = row.at(3).get<std::int64_t>();
    q.max_attempts = row.at(4).get<std::int64_t>();
    q.stretch = row.at(5).get<double>();
    q.latency_ms = row.at(6).get<milliseconds>();
    q.advised = row.size() >= advised_queue_fields;
    if (!q.advised)
        return q;
    q.advice_ms = row.at(7).get<milliseconds>();
    q.advice_each_ms = row.at(8).get<milliseconds>();
    return q;
}
catch (json::exception const&)
{
    return std::nullopt;
}

json record_of(accepted_job const& job)
{
    json record{{"id", job.id},
                {"queue", job.queue},
                {"team", job.team},
                {"accepted_ms", job.accepted_ms},
                {"spec", job.spec}};
    if (job.terms)
        record["terms"] = row_of(*job.terms);
    return record;
}

accepted_job job_of(json const& record)
{
    accepted_job job;
    job.id = record.value("id", job.id);
    job.queue = record.value("queue", job.queue);
    job.team = record.value("team", job.team);
    job.accepted_ms = record.value("accepted_ms", job.accepted_ms);
    job.spec = record.value("spec", job.spec);
    job.terms = queue_of(record, job.queue);
    return job;
}

json rows_of(std::vector<worker_loss> const& losses)
{
    json rows = json::array();
    for (auto const& l : losses)
        rows.push_back(json::array({l.index, l.run, l.worker, l.incarnation,
                                    static_cast<int>(l.exposure), l.crashed}));
    return rows;
}

/// The last four fields are missing if they are empty, and in records of
/// earlier builds.
json row_of(unit_id const& id, unit const& u)
{
    auto row = json::array({id.occurrence, id.step, id.index,
                            static_cast<int>(u.phase), u.run, u.failures,
                            u.failed_run, u.checkpoint, u.places});
    bool const has_late_lease = u.late_lease_ms != unknown_late_lease_ms;
    bool const has_answer = u.answered_run != 0 || has_late_lease;
    bool const has_losses = !u.losses.empty() || has_answer;
    if (!u.incarnations.empty() || has_losses)
        row.push_back(u.incarnations);
    if (has_losses)
        row.push_back(rows_of(u.losses));
    if (has_answer)
        row.push_back(u.answered_run);
    if (has_late_lease)
        row.push_back(u.late_lease_ms);
    return row;
}

std::vector<worker_loss> read_losses(json const& rows)
{
    std::vector<worker_loss> losses;
    for (auto const& row : rows)
        losses.push_back({row.at(0), row.at(1), row.at(2), row.at(3),
                          static_cast<crash_exposure>(row.at(4).get<int>()),
                          row.at(5)});
    return losses;
}

void read_row(json const& row, job_progress& into)
{
    unit_id const id{row.at(0), row.at(1), row.at(2)};
    auto const at = into.units.find(id);
    if (at == into.units.end())
        return;
    auto& u = at->second;
    u.phase = static_cast<unit_phase>(row.at(3).get<int>());
    u.run = row.at(4);
    u.failures = row.at(5);
    u.failed_run = row.at(6);
    u.checkpoint = row.at(7);
    u.places = row.at(8).get<std::vector<std::string>>();
    if (row.size() > 9)
        u.incarnations = row.at(9).get<std::vector<std::int64_t>>();
    if (row.size() > 10)
        u.losses = read_losses(row.at(10));
    if (row.size() > 11)
        u.answered_run = row.at(11);
    if (row.size() > 12)
        u.late_lease_ms = row.at(12);
}

} // namespace

job_progress initial_progress(job_spec const& spec)
{
    job_progress p;
    auto const occurrences = std::max<std::int64_t>(1, spec.occurrences);
    for (std::int64_t k = 0; k < occurrences; ++k)
        for (std::size_t s = 0; s < spec.steps.size(); ++s)
        {
            auto const& step = spec.steps[s];
            auto const units = step.gang ? 1 : step.count;
            for (std::int64_t i = 0; i < units; ++i)
                p.units[{k, static_cast<std::int64_t>(s), i}] = {};
        }
    return p;
}

std::string encode(accepted_job const& job)
{
    return to_bytes(record_of(job));
}

std::optional<accepted_job> decode_job(std::string const& bytes)
{
    try
    {
        return job_of(json::from_cbor(bytes));
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::string encode(job_progress const& progress)
{
    std::string bytes;
    bytes += static_cast<char>(progress.phase);
    bytes += static_cast<char>(progress.begun ? 1 : 0);
    if (is_final(progress.phase))
        return bytes;
    json rows = json::array();
    for (auto const& [id, u] : progress.units)
        if (u != unit{})
            rows.push_back(row_of(id, u));
    return bytes + to_bytes(rows);
}

std::optional<progress_summary> decode_summary(std::string const& bytes)
{
    if (bytes.size() < summary_bytes || bytes[0] < 0 ||
        bytes[0] > static_cast<char>(job_phase::cancelled))
        return std::nullopt;
    return progress_summary{static_cast<job_phase>(bytes[0]), bytes[1] != 0};
}

std::optional<job_progress> decode_progress(std::string const& bytes,
                                            job_spec const& spec)
{
    auto const summary = decode_summary(bytes);
    if (!summary)
        return std::nullopt;
    auto progress = initial_progress(spec);
    progress.phase = summary->phase;
    progress.begun = summary->begun;
    if (bytes.size() == summary_bytes)
        return progress;
    try
    {
        for (auto const& row : json::from_cbor(bytes.substr(summary_bytes)))
            read_row(row, progress);
        return progress;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace jasminetrack::tasks
