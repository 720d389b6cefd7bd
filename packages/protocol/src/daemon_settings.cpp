#include <jasminetrack/protocol/daemon_settings.hpp>

namespace jasminetrack::protocol
{
namespace
{

void read_limits(yaml_reader in, request_limits& l)
{
    l.body_bytes = in.size("body", l.body_bytes);
    l.header_bytes = in.size("headers", l.header_bytes);
    l.requests = in.integer("requests", l.requests, 1, 100'000);
    l.team_requests = in.integer("team_requests", l.team_requests, 1, 100'000);
    l.answer_bytes = in.size("answer", l.answer_bytes);
    in.check_unknown_keys();
}

void read_policy(yaml_reader in, core::policy_settings& p)
{
    p.completion_weight =
        in.number("completion_weight", p.completion_weight, 0, 1);
    p.fragmentation_weight =
        in.number("fragmentation_weight", p.fragmentation_weight, 0, 1);
    p.max_wait_ms = in.duration("patience", p.max_wait_ms);
    p.move_seats = in.boolean("move_seats", p.move_seats);
    in.check_unknown_keys();
}

void read_timing(yaml_reader in, core::timing_settings& t)
{
    t.task_lease_ms = in.duration("task_lease", t.task_lease_ms);
    t.renew_interval_ms = in.duration("renew_every", t.renew_interval_ms);
    t.idle_poll_interval_ms =
        in.duration("look_every", t.idle_poll_interval_ms);
    t.grace_ms = in.duration("grace", t.grace_ms);
    t.graceful_stop_ms = in.duration("calm_grace", t.graceful_stop_ms);
    t.owner_lease_ms = in.duration("owner_lease", t.owner_lease_ms);
    t.peer_timeout_ms = in.duration("suspect", t.peer_timeout_ms);
    t.quarantine_ms = in.duration("quarantine", t.quarantine_ms);
    if (t.renew_interval_ms * 2 > t.task_lease_ms)
        in.add_diagnostic("renew_every", "must be at most half of task_lease",
                          "lower renew_every or raise task_lease");
    in.check_unknown_keys();
}

} // namespace

parse_result<daemon_settings> parse_settings(std::string const& text,
                                             std::string const& file)
{
    parse_result<daemon_settings> result;
    yaml_reader in(text, file, result.diagnostics);
    if (!result.diagnostics.empty())
        return result;
    auto& s = result.value;
    s.node = in.required_name("node");
    s.region = in.required_name("region");
    s.data_center = in.required_name("data_center");
    s.listen = in.required_address("listen");
    s.mesh = in.required_address("mesh");
    s.platform = in.required_address("platform");
    s.threads = static_cast<int>(in.integer("threads", s.threads, 2, 512));
    s.snapshot_records =
        in.integer("snapshot_records", s.snapshot_records, 10, 1'000'000);
    s.drain_ms = in.duration("drain", s.drain_ms);
    std::vector<std::string> const levels{"debug", "info", "warning"};
    s.log_level = levels[in.choice("log_level", levels, 1)];
    read_limits(in.child("limits"), s.limits);
    read_policy(in.child("policy"), s.policy);
    read_timing(in.child("timing"), s.timing);
    in.check_unknown_keys();
    return result;
}

} // namespace jasminetrack::protocol
