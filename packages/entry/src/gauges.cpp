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

/// The log was never read.
constexpr tasks::milliseconds age_most_ms = 1'000'000'000;

template <typename Metrics> struct gauge
{
    char const* name;
    char const* help;
    std::int64_t Metrics::*value;
};

constexpr std::array process_gauges{
    gauge<dispatch_metrics>{"jasminetrack_dispatcher",
                            "1 if this process dispatches",
                            &dispatch_metrics::leading},
    gauge<dispatch_metrics>{"jasminetrack_epoch",
                            "Epoch of the dispatcher's role",
                            &dispatch_metrics::epoch},
    gauge<dispatch_metrics>{"jasminetrack_open_jobs",
                            "Jobs without an end, at the dispatcher",
                            &dispatch_metrics::open_jobs},
    gauge<dispatch_metrics>{"jasminetrack_holds_total", "Lease renewals sent",
                            &dispatch_metrics::lease_renewals},
    gauge<dispatch_metrics>{"jasminetrack_starts_total", "Starts sent",
                            &dispatch_metrics::starts},
    gauge<dispatch_metrics>{"jasminetrack_stops_total", "Stops sent",
                            &dispatch_metrics::stops},
    gauge<dispatch_metrics>{"jasminetrack_batches_total",
                            "Appends of the dispatcher",
                            &dispatch_metrics::batches},
    gauge<dispatch_metrics>{"jasminetrack_takeovers_total",
                            "Times the role was taken here",
                            &dispatch_metrics::takeovers}};

struct room_gauge
{
    char const* state;
    std::int64_t service_utilization::*value;
};

constexpr std::array room_gauges{
    room_gauge{"capacity", &service_utilization::capacity},
    room_gauge{"free", &service_utilization::free},
    room_gauge{"unfit", &service_utilization::unfit},
    room_gauge{"reserved", &service_utilization::reserved},
    room_gauge{"headroom", &service_utilization::headroom},
    room_gauge{"least_share", &service_utilization::least_share},
    room_gauge{"spread", &service_utilization::spread}};

constexpr std::array priority_gauges{
    gauge<priority_utilization>{"jasminetrack_held_accelerators",
                                "Accelerators in use, by priority",
                                &priority_utilization::held},
    gauge<priority_utilization>{"jasminetrack_waiting_steps",
                                "Steps that could start if there were room",
                                &priority_utilization::waiting},
    gauge<priority_utilization>{
        "jasminetrack_kept_out_steps",
        "Of these, kept out by the room for urgent work",
        &priority_utilization::kept_out},
    gauge<priority_utilization>{"jasminetrack_no_room_steps",
                                "Of these, without workers to take them",
                                &priority_utilization::no_room}};

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

void add_room(prometheus::Registry& registry, std::string const& service,
              service_utilization const& room)
{
    for (auto const& g : room_gauges)
        add(registry, "jasminetrack_accelerators",
            "Accelerators of a service, by state",
            {{"service", service}, {"state", g.state}}, room.*(g.value));
    for (auto const& [priority, p] : room.priorities)
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
    for (auto const& [service, room] : m.utilization)
        add_room(registry, service, room);
    add(registry, "jasminetrack_log_age_ms", "Time since jobs were read", {},
        std::min(log_age, age_most_ms));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace jasminetrack::entry
