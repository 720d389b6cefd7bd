#include "metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace jasminetrack::daemon
{
namespace
{

void add_gauge(prometheus::Registry& registry, char const* name,
               char const* help, double value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Set(value);
}

void add_counter(prometheus::Registry& registry, char const* name,
                 char const* help, std::uint64_t value)
{
    prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Increment(static_cast<double>(value));
}

void add_calls(prometheus::Registry& registry, call_metrics const& f)
{
    auto& family = prometheus::BuildCounter()
                       .Name("jasminetrack_calls_total")
                       .Help("Calls of services by outcome")
                       .Register(registry);
    auto const add = [&](char const* outcome, std::uint64_t value) {
        family.Add({{"outcome", outcome}})
            .Increment(static_cast<double>(value));
    };
    add("done", f.done);
    add("not_run", f.not_run);
    add("unknown", f.unknown);
    add_counter(registry, "jasminetrack_call_retries_total",
                "Calls sent again to another target", f.retries);
    add_counter(registry, "jasminetrack_far_bytes_total",
                "Bytes of calls to and from other regions", f.far_bytes);
}

void add_log(prometheus::Registry& registry, runtime::log_client_stats const& f)
{
    add_counter(registry, "jasminetrack_log_appends_total",
                "Append requests to the log", f.appends);
    add_counter(registry, "jasminetrack_log_records_total", "Records in them",
                f.records);
    add_counter(registry, "jasminetrack_log_retries_total",
                "Appends that were repeated", f.retries);
    add_counter(registry, "jasminetrack_log_bytes_total",
                "Bytes to and from the log", f.bytes);
    add_gauge(registry, "jasminetrack_log_queue",
              "Records that wait for their append",
              static_cast<double>(f.queued));
}

void add_node(prometheus::Registry& registry, core::node const& n)
{
    constexpr core::milliseconds most_age_ms = 1'000'000'000;
    auto const now = runtime::monotonic_ms();
    add_gauge(registry, "jasminetrack_log_age_ms",
              "Time since the log was read to its end",
              static_cast<double>(std::min(most_age_ms, n.log_age(now))));
    add_gauge(registry, "jasminetrack_current",
              "1 if the configuration known here is surely in force",
              n.is_current(now) ? 1 : 0);
    add_gauge(registry, "jasminetrack_broken_guarantees",
              "Guarantees that cannot be seated",
              static_cast<double>(core::broken_guarantees(n.state()).size()));
    auto& jobs = prometheus::BuildGauge()
                     .Name("jasminetrack_jobs")
                     .Help("Jobs by state")
                     .Register(registry);
    std::map<std::string, double> count;
    for (auto const& [id, j] : n.state().jobs)
        count[core::to_text(j.state)] += 1;
    for (auto const& [state, value] : count)
        jobs.Add({{"state", state}}).Set(value);
}

} // namespace

std::string metrics_text(node_driver& c, call_chain const& calls)
{
    prometheus::Registry registry;
    c.with_node(
        [&](core::node const& n)
        {
            add_node(registry, n);
            return 0;
        });
    add_gauge(registry, "jasminetrack_diverged",
              "1 if this node's state differs from the other nodes'",
              c.diverged() ? 1 : 0);
    add_calls(registry, calls.metrics());
    add_log(registry, c.log_client_stats());
    auto const& f = c.metrics();
    add_counter(registry, "jasminetrack_orders_total", "Orders to workers",
                f.orders);
    add_counter(registry, "jasminetrack_order_bytes_total",
                "Bytes of orders and reports", f.order_bytes);
    add_counter(registry, "jasminetrack_silent_workers_total",
                "Orders that no worker answered", f.unanswered_orders);
    add_counter(registry, "jasminetrack_mesh_bytes_total",
                "Bytes sent to other entry VMs", c.mesh_bytes());
    add_counter(registry, "jasminetrack_relayed_records_total",
                "Log records had from peers", f.relayed);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace jasminetrack::daemon
