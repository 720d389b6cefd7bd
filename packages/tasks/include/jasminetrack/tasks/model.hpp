#pragma once
/// \file
/// A general job: steps of tasks with their needs, and the configuration of
/// queues and teams that it runs under. Times are milliseconds.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::tasks
{

using milliseconds = std::int64_t;

/// What a task takes, or what a worker has.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(resources const&, resources const&) = default;

    resources& operator+=(resources const& r) noexcept
    {
        millicores += r.millicores;
        memory_mb += r.memory_mb;
        accelerators += r.accelerators;
        return *this;
    }
    resources& operator-=(resources const& r) noexcept
    {
        millicores -= r.millicores;
        memory_mb -= r.memory_mb;
        accelerators -= r.accelerators;
        return *this;
    }
};

[[nodiscard]] inline resources operator+(resources a, resources const& b)
{
    return a += b;
}
[[nodiscard]] inline resources operator-(resources a, resources const& b)
{
    return a -= b;
}
/// \returns whether `need` fits into `room` in every dimension.
[[nodiscard]] inline bool fits(resources const& need,
                               resources const& room) noexcept
{
    return need.millicores <= room.millicores &&
           need.memory_mb <= room.memory_mb &&
           need.accelerators <= room.accelerators;
}

/// Tasks of one kind within a job.
struct step_spec
{
    std::int64_t count = 1;
    resources need; ///< of one task
    milliseconds estimate_ms = 0;
    std::vector<int> after; ///< earlier steps that must be done first
    bool gang = false;      ///< all tasks run together or not at all
    bool same_rack = false; ///< slow when spread over racks
    bool checkpoints = false;
    bool copies = false;              ///< may run several times at once
    bool lasting = false;             ///< runs until the job is cancelled
    bool filling = false;             ///< uses processor time that others leave
    std::int64_t most_per_worker = 0; ///< 0: no bound
    std::string label;                ///< that the worker must have; empty: any
    std::string rack;                 ///< where its data is; empty: anywhere
    std::string image;
    milliseconds target_ms = 0; ///< response time bound of a serving task
    std::int64_t may_miss = 0;

    friend bool operator==(step_spec const&, step_spec const&) = default;
};

struct job_spec
{
    std::string payload;
    std::vector<step_spec> steps;
    milliseconds first_due_ms = 0; ///< of occurrence 0, since 1970
    milliseconds interval_ms = 0;  ///< between occurrences
    std::int64_t occurrences = 0;  ///< 0: runs once, at once

    friend bool operator==(job_spec const&, job_spec const&) = default;
};

/// A job as it was accepted.
struct accepted_job
{
    std::string id;
    std::string queue;
    std::string team;
    milliseconds accepted_ms = 0; ///< time of day
    job_spec spec;

    friend bool operator==(accepted_job const&, accepted_job const&) = default;
};

enum class job_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

[[nodiscard]] constexpr bool is_final(job_phase p) noexcept
{
    return p >= job_phase::completed;
}
[[nodiscard]] char const* to_text(job_phase p) noexcept;

/// A queue of jobs and the service whose workers run them.
struct queue
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int64_t priority = 0; ///< 0 comes first
    std::int64_t max_attempts = 1;
    double stretch = 1;
    milliseconds latency_ms = 0;
    bool open = false;    ///< needs no key
    bool advised = false; ///< its policy names the workers that may run it
    milliseconds advice_ms = 0;      ///< a call for advice takes this,
    milliseconds advice_each_ms = 0; ///< and this for each worker named

    friend bool operator==(queue const&, queue const&) = default;
};

struct team
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed_accelerators = 0;

    friend bool operator==(team const&, team const&) = default;
};

/// All that operators have set; replaced as a whole by a higher version.
struct configuration
{
    std::int64_t version = -1; ///< -1: none known yet
    std::vector<queue> queues;
    std::vector<team> teams;
    std::int64_t body_bytes = 256 * 1024;

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

/// \returns the queue with the longest prefix of `path`, or nullptr.
[[nodiscard]] queue const* find_queue(configuration const& c,
                                      std::string const& host,
                                      std::string const& path);
[[nodiscard]] queue const* find_queue(configuration const& c,
                                      std::string const& name);
[[nodiscard]] team const* team_of_key(configuration const& c,
                                      std::string const& key);

/// Bounds of a job's size: what no worker pool could hold is refused early.
inline constexpr std::int64_t max_tasks = 20'000;
inline constexpr std::int64_t max_steps = 100;

/// \returns why the specification is not valid, if it is not.
[[nodiscard]] std::optional<std::string> validate(job_spec const& spec);

/// Names a task: occurrence, step and index of one job.
struct task_id
{
    std::string job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;

    friend auto operator<=>(task_id const&, task_id const&) = default;
};

/// One start of a task.
struct task_run
{
    task_id task;
    std::int64_t run = 0;

    friend auto operator<=>(task_run const&, task_run const&) = default;
};

/// How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lapsed, ///< its lease expired
    broken, ///< another member of its gang ended
    alone,  ///< the other members did not come in time
};

[[nodiscard]] char const* to_text(run_end e) noexcept;

} // namespace jasminetrack::tasks
