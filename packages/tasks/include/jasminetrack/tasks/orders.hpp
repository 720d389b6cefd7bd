#pragma once
/// \file
/// Actions of the dispatcher towards workers, the log and the advice service,
/// and the replies to them.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <variant>

namespace jasminetrack::tasks
{

/// A worker, as listed by the platform.
struct worker_info
{
    std::string id;
    std::string address; ///< IP:port
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    milliseconds remaining_ms = 0; ///< at least; only while it drains
    milliseconds cold_ms = 0;      ///< for how much longer it is slow
    /// Start time of its process, milliseconds; distinguishes successive
    /// processes under one id.
    std::int64_t incarnation = 0;
    std::string version; ///< of its software; empty: not reported

    friend bool operator==(worker_info const&, worker_info const&) = default;
};

/// Renews a worker's lease, acknowledges ended runs, and requests the list of
/// its runs.
struct renew_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;     ///< fencing token
    milliseconds until_ms = 0;  ///< lease end on the worker's clock; 0: none
    std::int64_t last_seen = 0; ///< acknowledges ends up to this number
    milliseconds wait_ms = 0;   ///< the answer may wait this long for an end

    friend bool operator==(renew_order const&, renew_order const&) = default;
};

/// Starts a run on a worker.
struct start_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;
    task_run run;
    std::string payload;
    milliseconds until_ms = 0; ///< refused after this time of its clock
    std::string checkpoint;    ///< to resume from; empty: none
    std::string ticket;        ///< from the advice service; empty: none

    friend bool operator==(start_order const&, start_order const&) = default;
};

/// Stops a run, and refuses later starts of it and of earlier runs.
struct stop_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;
    task_run run;

    friend bool operator==(stop_order const&, stop_order const&) = default;
};

/// Identifies a step of one occurrence of a job.
struct step_ref
{
    std::string job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;

    friend auto operator<=>(step_ref const&, step_ref const&) = default;
};

/// Asks the advice service which of `workers` may run a step.
struct advice_order
{
    step_ref step;
    std::vector<std::string> workers;
    /// Expected time for the service to answer.
    milliseconds service_time_ms = 0;

    friend bool operator==(advice_order const&, advice_order const&) = default;
};

/// A record of a keyed topic; an empty value deletes the key.
struct log_record
{
    std::string key;
    std::string value;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// Appends records to the log. Actions that depend on them follow only after
/// they are stored.
struct store_order
{
    std::int64_t batch = 0;
    std::vector<log_record> records;

    friend bool operator==(store_order const&, store_order const&) = default;
};

using action = std::variant<renew_order, start_order, stop_order, store_order,
                            advice_order>;
using actions = std::vector<action>;

/// Outcome of a call to a worker or to the advice service.
enum class call_result : std::uint8_t
{
    done,
    fenced,      ///< the worker has seen a higher token
    old_run,     ///< not newer than a run of the task that ended or was stopped
    expired,     ///< arrived after its `until_ms`
    no_capacity, ///< not enough free capacity
    no_ticket,   ///< the ticket is missing or not valid
    unhealthy,   ///< refused for the time being; nothing was done
    other_incarnation, ///< another process answers at the address
    invalid,
    no_answer, ///< unknown; may have been carried out or may still be
};

[[nodiscard]] char const* to_text(call_result r) noexcept;

/// A run that a worker reports as running.
struct running_task
{
    task_run run;
    std::string checkpoint;   ///< newest; empty: none
    std::int64_t percent = 0; ///< done

    friend bool operator==(running_task const&, running_task const&) = default;
};

/// A run that a worker reports as ended, until that is acknowledged.
struct ended_task
{
    std::int64_t number = 0; ///< counts the ends of one incarnation, from 1
    task_run run;
    run_end how = run_end::done;
    std::string checkpoint;

    friend bool operator==(ended_task const&, ended_task const&) = default;
};

/// Answer to a renew_order.
struct renew_reply
{
    std::string worker;
    call_result result = call_result::no_answer;
    std::int64_t incarnation = 0;
    milliseconds clock_ms = 0; ///< the worker's clock when it answered
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::int64_t token = 0; ///< of the order
};

struct stop_reply
{
    std::string worker;
    task_run run;
    call_result result = call_result::no_answer;
    std::int64_t token = 0; ///< of the order
};

/// Answer to an advice_order.
struct advice_reply
{
    step_ref step;
    call_result result = call_result::no_answer;
    std::map<std::string, std::string> good; ///< tickets by permitted worker
    milliseconds valid_ms = 0;               ///< lifetime of the tickets
};

struct start_reply
{
    std::string worker;
    task_run run;
    call_result result = call_result::no_answer;
    milliseconds clock_ms = 0;
    std::int64_t token = 0; ///< of the order
};

} // namespace jasminetrack::tasks
