#include <jasminetrack/entry/gauges.hpp>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

namespace jasminetrack::entry
{
namespace
{

using tasks::priority_utilization;
using tasks::service_utilization;

/// Upper limit of the exported log age; also exported if the log was never
/// read.
constexpr tasks::milliseconds max_age_ms = 1'000'000'000;

template <typename Metrics> struct gauge
{
    char const* name;
    char const* help;
    std::int64_t Metrics::*value;
};

constexpr std::array process_gauges{
    gauge<dispatch_metrics>{"jasminetrack_dispatcher",
                            "1 if this process is the dispatcher",
                            &dispatch_metrics::leading},
    gauge<dispatch_metrics>{"jasminetrack_epoch",
                            "Epoch of the dispatcher's role",
                            &dispatch_metrics::epoch},
    gauge<dispatch_metrics>{"jasminetrack_open_jobs",
                            "Jobs that have not ended, at the dispatcher",
                            &dispatch_metrics::open_jobs},
    gauge<dispatch_metrics>{"jasminetrack_evacuated_data_centers",
                            "Data centers that operators have evacuated",
                            &dispatch_metrics::evacuated},
    gauge<dispatch_metrics>{"jasminetrack_holds_total",
                            "Lease renewals sent to workers",
                            &dispatch_metrics::lease_renewals},
    gauge<dispatch_metrics>{"jasminetrack_starts_total",
                            "Start orders sent to workers",
                            &dispatch_metrics::starts},
    gauge<dispatch_metrics>{"jasminetrack_stops_total",
                            "Stop orders sent to workers",
                            &dispatch_metrics::stops},
    gauge<dispatch_metrics>{"jasminetrack_batches_total",
                            "Appends sent by the dispatcher",
                            &dispatch_metrics::batches},
    gauge<dispatch_metrics>{"jasminetrack_takeovers_total",
                            "Times this process became the dispatcher",
                            &dispatch_metrics::takeovers},
    gauge<dispatch_metrics>{"jasminetrack_lost_runs_total",
                            "Runs whose worker was lost",
                            &dispatch_metrics::lost_runs},
    gauge<dispatch_metrics>{"jasminetrack_stale_runs_total",
                            "Runs that a worker listed and should not run",
                            &dispatch_metrics::stale_runs},
    gauge<dispatch_metrics>{"jasminetrack_given_up_jobs_total",
                            "Jobs failed because a task crashed its workers",
                            &dispatch_metrics::given_up_jobs}};

struct accelerator_gauge
{
    char const* state;
    std::int64_t service_utilization::*value;
};

constexpr std::array accelerator_gauges{
    accelerator_gauge{"capacity", &service_utilization::capacity},
    accelerator_gauge{"free", &service_utilization::free},
    accelerator_gauge{"unfit", &service_utilization::unfit},
    accelerator_gauge{"reserved", &service_utilization::reserved},
    accelerator_gauge{"headroom", &service_utilization::headroom},
    accelerator_gauge{"lent", &service_utilization::lent},
    accelerator_gauge{"least_share", &service_utilization::least_share},
    accelerator_gauge{"spread", &service_utilization::spread}};

constexpr std::array priority_gauges{
    gauge<priority_utilization>{"jasminetrack_held_accelerators",
                                "Accelerators in use, by priority",
                                &priority_utilization::held},
    gauge<priority_utilization>{
        "jasminetrack_waiting_steps",
        "Steps that are ready to start and wait for accelerators",
        &priority_utilization::waiting},
    gauge<priority_utilization>{
        "jasminetrack_kept_out_steps",
        "Waiting steps held back to keep accelerators for urgent work",
        &priority_utilization::kept_out},
    gauge<priority_utilization>{"jasminetrack_no_room_steps",
                                "Waiting steps that no worker has capacity for",
                                &priority_utilization::no_room}};

constexpr std::array departure_gauges{
    gauge<service_utilization>{"jasminetrack_departures_per_minute",
                               "Workers that leave",
                               &service_utilization::departures_per_minute},
    gauge<service_utilization>{
        "jasminetrack_departed_runs",
        "Runs ended because their worker leaves or has left, since the "
        "dispatcher took over",
        &service_utilization::departed_runs},
    gauge<service_utilization>{"jasminetrack_departed_core_seconds",
                               "Work lost by these runs",
                               &service_utilization::departed_core_seconds}};

void add(prometheus::Registry& registry, char const* name, char const* help,
         prometheus::Labels const& labels, std::int64_t value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels)
        .Set(static_cast<double>(value));
}

void add_utilization(prometheus::Registry& registry, std::string const& service,
                     service_utilization const& u)
{
    for (auto const& g : accelerator_gauges)
        add(registry, "jasminetrack_accelerators",
            "Accelerators of a service, by state",
            {{"service", service}, {"state", g.state}}, u.*(g.value));
    for (auto const& [reason, count] : u.unfit_by)
        add(registry, "jasminetrack_unfit_accelerators",
            "Free accelerators of workers that take no starts, by the cause",
            {{"service", service}, {"reason", to_text(reason)}}, count);
    for (auto const& [reason, count] : u.held_units)
        add(registry, "jasminetrack_held_units",
            "Tasks and gangs of ready steps without a run, by what they wait "
            "for",
            {{"service", service}, {"reason", describe(reason).name}}, count);
    add(registry, "jasminetrack_evacuated_runs",
        "Runs that are left in evacuated data centers", {{"service", service}},
        u.evacuated_runs);
    for (auto const& [speed, count] : u.speeds)
        add(registry, "jasminetrack_worker_speeds",
            "Listed workers, by their speed as learned from progress reports",
            {{"service", service}, {"speed", to_text(speed)}}, count);
    for (auto const& g : departure_gauges)
        add(registry, g.name, g.help, {{"service", service}}, u.*(g.value));
    for (auto const& [priority, p] : u.priorities)
        for (auto const& g : priority_gauges)
            add(registry, g.name, g.help,
                {{"service", service}, {"priority", std::to_string(priority)}},
                p.*(g.value));
}

} // namespace

std::string gauges_text(dispatch_metrics const& m, tasks::milliseconds log_age)
{
    prometheus::Registry registry;
    for (auto const& g : process_gauges)
        add(registry, g.name, g.help, {}, m.*(g.value));
    for (auto const& [service, u] : m.utilization)
        add_utilization(registry, service, u);
    add(registry, "jasminetrack_log_age_ms",
        "Time since jobs were read from the log", {},
        std::min(log_age, max_age_ms));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

std::string gauges_text(admission_metrics const& m)
{
    prometheus::Registry registry;
    for (auto const& [queue, count] : m.refused)
        add(registry, "jasminetrack_refused_jobs_total",
            "Jobs refused because they would expire before their end",
            {{"queue", queue}}, count);
    add(registry, "jasminetrack_load_reading_age_ms",
        "Time since the newest reading of the load was read", {},
        std::min(m.reading_age_ms, max_age_ms));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace jasminetrack::entry
