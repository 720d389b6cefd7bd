#pragma once
/// \file
/// What the dispatcher tells workers and the log, and what they answer.

#include <jasminetrack/tasks/model.hpp>

#include <map>
#include <variant>

namespace jasminetrack::tasks
{

/// A worker as the platform lists it.
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
    milliseconds remaining_ms = 0; ///< least time left while it drains
    std::int64_t incarnation = 0;  ///< tells lives under one id apart

    friend bool operator==(worker_info const&, worker_info const&) = default;
};

/// Renews a worker's lease, acknowledges ends, and asks what runs there.
struct renew_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;    ///< fencing token
    milliseconds until_ms = 0; ///< lease end on the worker's clock; 0: none
    std::int64_t last_seen = 0;
    milliseconds wait_ms = 0; ///< for an end to come

    friend bool operator==(renew_order const&, renew_order const&) = default;
};

struct start_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;
    task_run run;
    std::string payload;
    milliseconds until_ms = 0;
    std::string checkpoint;
    std::string ticket;

    friend bool operator==(start_order const&, start_order const&) = default;
};

struct stop_order
{
    std::string worker;
    std::string address;
    std::int64_t token = 0;
    task_run run;

    friend bool operator==(stop_order const&, stop_order const&) = default;
};

/// Names a step of one occurrence of a job.
struct step_ref
{
    std::string job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;

    friend auto operator<=>(step_ref const&, step_ref const&) = default;
};

/// Asks which of some workers may run a step.
struct advice_order
{
    step_ref step;
    std::vector<std::string> workers;
    milliseconds service_time_ms = 0; ///< what the service needs for its answer

    friend bool operator==(advice_order const&, advice_order const&) = default;
};

/// A record of a keyed topic; an empty value drops the key.
struct log_record
{
    std::string key;
    std::string value;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// Records that must be in the log before what depends on them.
struct store_order
{
    std::int64_t batch = 0;
    std::vector<log_record> records;

    friend bool operator==(store_order const&, store_order const&) = default;
};

using action = std::variant<renew_order, start_order, stop_order, store_order,
                            advice_order>;
using actions = std::vector<action>;

/// What came of a call to a worker.
enum class call_result : std::uint8_t
{
    done,
    fenced,  ///< another dispatcher used a higher token
    old_run, ///< the run is not above one that stopped or ended there
    late,    ///< the lease end had passed when it arrived
    no_room,
    no_ticket,
    unhealthy,         ///< refused, nothing was done
    other_incarnation, ///< another incarnation answers at the address
    invalid,
    no_answer, ///< may have been carried out, now or later
};

[[nodiscard]] char const* to_text(call_result r) noexcept;

struct running_task
{
    task_run run;
    std::string checkpoint;
    std::int64_t percent = 0;

    friend bool operator==(running_task const&, running_task const&) = default;
};

struct ended_task
{
    std::int64_t number = 0; ///< counts the ends of one worker life
    task_run run;
    run_end how = run_end::done;
    std::string checkpoint;

    friend bool operator==(ended_task const&, ended_task const&) = default;
};

struct renew_reply
{
    std::string worker;
    call_result result = call_result::no_answer;
    std::int64_t incarnation = 0;
    milliseconds clock_ms = 0; ///< the worker's, when it answered
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

struct stop_reply
{
    std::string worker;
    task_run run;
    call_result result = call_result::no_answer;
};

struct advice_reply
{
    step_ref step;
    call_result result = call_result::no_answer;
    std::map<std::string, std::string> good; ///< tickets by worker
    milliseconds valid_ms = 0;               ///< of the tickets
};

struct start_reply
{
    std::string worker;
    task_run run;
    call_result result = call_result::no_answer;
    milliseconds clock_ms = 0;
};

} // namespace jasminetrack::tasks
