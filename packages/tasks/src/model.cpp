#include <jasminetrack/tasks/model.hpp>

#include <algorithm>
#include <array>

namespace jasminetrack::tasks
{

std::string to_text(resources const& r)
{
    return std::to_string(r.millicores) + "/" + std::to_string(r.memory_mb) +
           "/" + std::to_string(r.accelerators);
}

milliseconds due_of(accepted_job const& job, std::int64_t occurrence) noexcept
{
    auto const& spec = job.spec;
    return spec.occurrences > 0
               ? spec.first_due_ms + occurrence * spec.interval_ms
               : job.accepted_ms;
}

bool is_of_queue(accepted_job const& job, queue const& q)
{
    auto const& terms = job.terms;
    return job.queue == q.name ||
           (terms && terms->host == q.host && terms->prefix == q.prefix);
}

char const* to_text(job_phase p) noexcept
{
    constexpr std::array names{"queued", "running", "completed", "failed",
                               "cancelled"};
    return names[static_cast<std::size_t>(p)];
}

char const* to_text(run_end e) noexcept
{
    constexpr std::array names{"done",   "failed", "stopped",
                               "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(e)];
}

queue const* find_queue(configuration const& c, std::string const& host,
                        std::string const& path)
{
    queue const* best = nullptr;
    for (auto const& q : c.queues)
    {
        if (q.host != host || !path.starts_with(q.prefix))
            continue;
        if (!best || q.prefix.size() > best->prefix.size())
            best = &q;
    }
    return best;
}

queue const* find_queue(configuration const& c, std::string const& name)
{
    auto const at =
        std::find_if(c.queues.begin(), c.queues.end(),
                     [&](queue const& q) { return q.name == name; });
    return at == c.queues.end() ? nullptr : &*at;
}

team const* team_of_key(configuration const& c, std::string const& key)
{
    for (auto const& t : c.teams)
        if (std::find(t.keys.begin(), t.keys.end(), key) != t.keys.end())
            return &t;
    return nullptr;
}

namespace
{

/// Part of a job's progress record that a task takes, with an id of its worker
/// of the platform's length, in bytes; and that of its checkpoint.
constexpr std::int64_t task_record_bytes = 37;
constexpr std::int64_t checkpoint_record_bytes = 18;

std::optional<std::string> check_record_size(job_spec const& spec)
{
    std::int64_t bytes = 0;
    for (auto const& s : spec.steps)
        bytes += s.count * (task_record_bytes +
                            (s.checkpoints ? checkpoint_record_bytes : 0));
    bytes *= std::max<std::int64_t>(1, spec.occurrences);
    if (bytes <= max_record_bytes)
        return std::nullopt;
    return "the progress of the job's tasks may take " + std::to_string(bytes) +
           " bytes; the log keeps at most " + std::to_string(max_record_bytes) +
           " bytes of a job";
}

std::optional<std::string> check_step(step_spec const& s, std::size_t number)
{
    auto const name = "steps[" + std::to_string(number) + "].";
    if (s.count < 1 || s.count > max_tasks)
        return name + "count must be from 1 to " + std::to_string(max_tasks);
    if (s.need.millicores < 0 || s.need.memory_mb < 0 ||
        s.need.accelerators < 0)
        return name + "needs must not be negative";
    for (int const before : s.after)
        if (before < 0 || static_cast<std::size_t>(before) >= number)
            return name + "after must refer to earlier steps only";
    return std::nullopt;
}

} // namespace

std::optional<std::string> validate(job_spec const& spec)
{
    if (spec.steps.empty() ||
        spec.steps.size() > static_cast<std::size_t>(max_steps))
        return "steps must have from 1 to " + std::to_string(max_steps) +
               " entries";
    if (spec.occurrences < 0 || spec.interval_ms < 0 ||
        spec.occurrences > max_tasks)
        return "occurrences must be from 0 to " + std::to_string(max_tasks) +
               " and their interval must not be negative";
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        if (auto reason = check_step(spec.steps[i], i))
            return reason;
        tasks += spec.steps[i].count;
    }
    if (tasks * std::max<std::int64_t>(1, spec.occurrences) > max_tasks)
        return "a job may have at most " + std::to_string(max_tasks) + " tasks";
    return check_record_size(spec);
}

} // namespace jasminetrack::tasks
