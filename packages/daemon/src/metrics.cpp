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

void add_call_metrics(prometheus::Registry& registry, call_metrics const& f)
{
    auto& family = prometheus::BuildCounter()
                       .Name("jasminetrack_calls_total")
                       .Help("Calls of services, by outcome")
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
                "Bytes of calls sent to and received from other regions",
                f.cross_region_bytes);
}

void add_log_metrics(prometheus::Registry& registry,
                     runtime::log_client_stats const& f)
{
    add_counter(registry, "jasminetrack_log_appends_total",
                "Append requests sent to the log", f.appends);
    add_counter(registry, "jasminetrack_log_records_total",
                "Records in append requests", f.records);
    add_counter(registry, "jasminetrack_log_retries_total",
                "Append requests that were repeated", f.retries);
    add_counter(registry, "jasminetrack_log_bytes_total",
                "Bytes sent to and received from the log", f.bytes);
    add_gauge(registry, "jasminetrack_log_queue",
              "Records queued for an append", static_cast<double>(f.queued));
}

void add_node_metrics(prometheus::Registry& registry, core::node const& n)
{
    constexpr core::milliseconds max_age_ms = 1'000'000'000;
    auto const now = runtime::monotonic_ms();
    add_gauge(registry, "jasminetrack_log_age_ms",
              "Time since the log was read to its end",
              static_cast<double>(std::min(max_age_ms, n.log_age(now))));
    add_gauge(registry, "jasminetrack_current",
              "1 if no newer configuration can be in force than this node's",
              n.is_current(now) ? 1 : 0);
    add_gauge(registry, "jasminetrack_broken_guarantees",
              "Guaranteed seats that no accelerators could be found for",
              static_cast<double>(core::broken_guarantees(n.state()).size()));
    add_gauge(registry, "jasminetrack_evacuated_data_centers",
              "Data centers on whose workers nothing new is placed",
              static_cast<double>(n.state().evacuations.size()));
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

std::string metrics_text(node_driver& driver, call_chain const& calls)
{
    prometheus::Registry registry;
    driver.with_node(
        [&](core::node const& n)
        {
            add_node_metrics(registry, n);
            return 0;
        });
    add_gauge(registry, "jasminetrack_diverged",
              "1 if this node's state differs from the other nodes'",
              driver.diverged() ? 1 : 0);
    add_call_metrics(registry, calls.metrics());
    add_log_metrics(registry, driver.log_stats());
    auto const& f = driver.metrics();
    add_counter(registry, "jasminetrack_orders_total", "Orders sent to workers",
                f.orders);
    add_counter(registry, "jasminetrack_order_bytes_total",
                "Bytes of orders to workers and of their reports",
                f.order_bytes);
    add_counter(registry, "jasminetrack_silent_workers_total",
                "Orders that no worker answered", f.unanswered_orders);
    add_counter(registry, "jasminetrack_mesh_bytes_total",
                "Bytes sent to other entry VMs", driver.mesh_bytes());
    add_counter(registry, "jasminetrack_relayed_records_total",
                "Log records received from peers", f.relayed);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace jasminetrack::daemon
