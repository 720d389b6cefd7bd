#include <jasminetrack/entry/settings.hpp>

namespace jasminetrack::entry
{
namespace
{

constexpr double min_processor_share = 0.01;
constexpr double max_processor_share = 1'024;
/// Half of it is the time of a start; with less for the age of a view, no start
/// could rely on one.
constexpr milliseconds min_evacuation_bound_ms = 4'000;

void read_limits(protocol::yaml_reader in, tasks::dispatch_limits& b)
{
    b.max_lease_ms = in.duration("lease_most", b.max_lease_ms);
    b.max_stop_ms = in.duration("stop", b.max_stop_ms);
    b.gang_wait_ms = in.duration("gang_wait", b.gang_wait_ms);
    b.max_reclaim_ms = in.duration("reclaim", b.max_reclaim_ms);
    b.far_factor = in.integer("far_factor", b.far_factor, 1, 1'000);
    b.heartbeat_ms = in.duration("heartbeat", b.heartbeat_ms);
    b.unseen_change_ms = in.duration("unseen_change", b.unseen_change_ms);
    b.wait_beside_running =
        in.boolean("wait_beside_running", b.wait_beside_running);
    b.evacuation_bound_ms = in.duration("evacuate", b.evacuation_bound_ms);
    if (b.evacuation_bound_ms != 0 &&
        b.evacuation_bound_ms < min_evacuation_bound_ms)
        in.add_diagnostic("evacuate", "the bound is below 4 s",
                          "set 4s or more, or leave it out");
    b.learn_speeds = in.boolean("learn_speeds", b.learn_speeds);
    b.lend_headroom = in.boolean("lend_headroom", b.lend_headroom);
    b.shed_load = in.boolean("shed_load", b.shed_load);
    b.expect_departures = in.boolean("expect_departures", b.expect_departures);
    in.check_unknown_keys();
}

} // namespace

bool is_entry_settings(std::string const& text)
{
    return text.starts_with("jobs:") ||
           text.find("\njobs:") != std::string::npos;
}

protocol::parse_result<entry_settings>
parse_entry_settings(std::string const& text, std::string const& file,
                     milliseconds evacuation_bound_ms)
{
    protocol::parse_result<entry_settings> result;
    result.value.limits.evacuation_bound_ms = evacuation_bound_ms;
    protocol::yaml_reader in(text, file, result.diagnostics);
    if (!result.diagnostics.empty())
        return result;
    auto& s = result.value;
    s.node = in.required_name("node");
    s.region = in.required_name("region");
    s.data_center = in.required_name("data_center");
    s.listen = in.required_address("listen");
    s.ready = in.required_address("ready");
    s.mesh = in.required_address("mesh");
    s.log = in.required_address("log");
    s.advice = in.text("advice", "");
    s.threads = in.integer("threads", s.threads, 2, 256);
    s.stop_within_ms = in.duration("stop_within", s.stop_within_ms);
    s.processor_share = in.number("processor_share", s.processor_share,
                                  min_processor_share, max_processor_share);
    std::vector<std::string> const levels{"debug", "info", "warning"};
    s.log_level = levels[in.choice("log_level", levels, 1)];
    read_limits(in.child("jobs"), s.limits);
    in.check_unknown_keys();
    return result;
}

} // namespace jasminetrack::entry
