#pragma once
/// \file
/// The load of each service as the dispatcher publishes it with its heartbeat,
/// for the admission of new jobs by all entry VMs. Cores and accelerators are
/// separate, as either may be full while the other is idle; an accelerator
/// counts as eight cores.

#include <jasminetrack/tasks/model.hpp>

#include <map>

namespace jasminetrack::tasks
{

inline constexpr double cores_per_accelerator = 8;

/// Unfinished work of one priority that has not expired.
struct priority_load
{
    double queued_core_s = 0;  ///< without a place, the later steps included
    double running_core_s = 0; ///< of runs, until their estimated ends
    std::int64_t queued_jobs = 0;

    friend bool operator==(priority_load const&,
                           priority_load const&) = default;
};

/// Load of one kind of resource.
struct resource_load
{
    double capacity_cores = 0; ///< of workers that take new work
    double used_cores = 0;     ///< of these
    double kept_cores = 0;     ///< of the unused: headroom for urgent work
    /// Cores that running work is expected to free per second.
    double freed_cores_per_s = 0;
    double least_share_cores = 0; ///< of each lower priority; 0: none
    std::map<std::int64_t, priority_load> priorities;

    friend bool operator==(resource_load const&,
                           resource_load const&) = default;
};

struct service_reading
{
    resource_load cores;
    resource_load accelerators;

    friend bool operator==(service_reading const&,
                           service_reading const&) = default;
};

struct load_reading
{
    milliseconds taken_ms = 0; ///< wall-clock time of the dispatcher
    std::map<std::string, service_reading> services;

    friend bool operator==(load_reading const&, load_reading const&) = default;
};

/// Largest encoded reading. It is part of a record that is written twice a
/// second.
inline constexpr std::size_t max_reading_bytes = 900;

/// Amounts are rounded to whole cores and core-seconds. If the reading is too
/// large, the services with the least work are left out; their jobs are
/// admitted.
[[nodiscard]] std::string encode(load_reading const& reading);
/// \returns nothing if `bytes` are not an encoded reading.
[[nodiscard]] std::optional<load_reading> decode_load(std::string const& bytes);

/// \returns the core-seconds of holding a task's cores for `time`, without its
/// accelerators.
[[nodiscard]] double core_work(resources const& held,
                               milliseconds time) noexcept;
/// \returns the same of its accelerators.
[[nodiscard]] double accelerator_work(resources const& held,
                                      milliseconds time) noexcept;

} // namespace jasminetrack::tasks
