#pragma once
/// \file
/// A job as steps of tasks with their resource needs, and the configuration of
/// queues and teams that applies to it. Times are milliseconds.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::tasks
{

using milliseconds = std::int64_t;

/// Resources that a task needs or a worker has.
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
[[nodiscard]] inline resources operator*(std::int64_t n, resources const& r)
{
    return {n * r.millicores, n * r.memory_mb, n * r.accelerators};
}
/// \returns whether `need` fits into `available` in every dimension.
[[nodiscard]] inline bool fits(resources const& need,
                               resources const& available) noexcept
{
    return need.millicores <= available.millicores &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

/// \returns "MILLICORES/MEMORY_MB/ACCELERATORS", as in log lines.
[[nodiscard]] std::string to_text(resources const& r);

/// A step of a job: tasks that are alike.
struct step_spec
{
    std::int64_t count = 1;
    resources need; ///< of one task
    milliseconds estimate_ms = 0;
    std::vector<int> after;   ///< indices of earlier steps it depends on
    bool gang = false;        ///< all tasks run at the same time or not at all
    bool same_rack = false;   ///< slower if its tasks are on several racks
    bool checkpoints = false; ///< its runs save their progress
    bool copies = false;      ///< a task may run several times at once
    bool lasting = false;     ///< runs until the job is cancelled
    bool filling = false;     ///< uses only otherwise idle processor time
    std::int64_t most_per_worker = 0; ///< tasks; 0: no limit
    std::string label;                ///< required of the worker; empty: any
    std::string rack;                 ///< of its data; empty: any
    std::string image;
    milliseconds target_ms = 0; ///< response time limit of a serving task
    std::int64_t may_miss = 0;

    friend bool operator==(step_spec const&, step_spec const&) = default;
};

/// What a job consists of and when it is due.
struct job_spec
{
    std::string payload;
    std::vector<step_spec> steps;
    milliseconds first_due_ms = 0; ///< of occurrence 0, since 1970
    milliseconds interval_ms = 0;  ///< between occurrences
    std::int64_t occurrences = 0;  ///< 0: one run, due immediately

    friend bool operator==(job_spec const&, job_spec const&) = default;
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
    std::int64_t priority = 0;     ///< 0 is the highest
    std::int64_t max_attempts = 1; ///< failed runs of a unit that fail a job
    /// The objective of a job is its critical path times `stretch`, plus
    /// `latency_ms`.
    double stretch = 1;
    milliseconds latency_ms = 0;
    bool open = false;    ///< accepts requests without a key
    bool advised = false; ///< the advice service decides which workers to use
    milliseconds advice_ms = 0;      ///< fixed duration of an advice request
    milliseconds advice_each_ms = 0; ///< additional duration per worker

    friend bool operator==(queue const&, queue const&) = default;
};

/// A job as it was accepted.
struct accepted_job
{
    std::string id;
    std::string queue; ///< its name
    std::string team;
    milliseconds accepted_ms = 0; ///< wall-clock time
    job_spec spec;
    /// The queue as it was then. Its terms apply until the job ends, whatever
    /// becomes of the queue. Records of earlier builds have none.
    std::optional<tasks::queue> terms{};

    friend bool operator==(accepted_job const&, accepted_job const&) = default;
};

/// \returns the wall-clock time at which the occurrence was due, or the job was
/// accepted if it has none.
[[nodiscard]] milliseconds due_of(accepted_job const& job,
                                  std::int64_t occurrence) noexcept;

/// \returns whether the job was submitted to the queue: under its name, or at
/// its address while it had another name.
[[nodiscard]] bool is_of_queue(accepted_job const& job, queue const& q);

/// A team: its API keys and its guarantee.
struct team
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed_accelerators = 0;

    friend bool operator==(team const&, team const&) = default;
};

/// The operators' configuration; a higher version replaces it as a whole.
struct configuration
{
    std::int64_t version = -1; ///< -1: no configuration received yet
    std::vector<queue> queues;
    std::vector<team> teams;
    std::int64_t body_bytes = 256 * 1024; ///< largest request body

    friend bool operator==(configuration const&,
                           configuration const&) = default;
};

/// \returns the queue of the host whose prefix is the longest that matches
/// `path`, or nullptr.
[[nodiscard]] queue const* find_queue(configuration const& c,
                                      std::string const& host,
                                      std::string const& path);
/// \returns nullptr if no queue has this name.
[[nodiscard]] queue const* find_queue(configuration const& c,
                                      std::string const& name);
/// \returns nullptr if no team has this key.
[[nodiscard]] team const* team_of_key(configuration const& c,
                                      std::string const& key);

/// Limits of a job's size; larger jobs are refused on submission.
inline constexpr std::int64_t max_tasks = 20'000;
inline constexpr std::int64_t max_steps = 100;
/// Largest record that the log takes, in bytes. The progress of a job is one.
inline constexpr std::int64_t max_record_bytes = 262'144;

/// \returns the reason why the specification is invalid, or nothing if it is
/// valid.
[[nodiscard]] std::optional<std::string> validate(job_spec const& spec);

/// Identifies a task.
struct task_id
{
    std::string job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;

    friend auto operator<=>(task_id const&, task_id const&) = default;
};

/// Identifies one run of a task; later runs have higher numbers.
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
    alone,  ///< the other members did not start in time
};

[[nodiscard]] char const* to_text(run_end e) noexcept;

} // namespace jasminetrack::tasks
