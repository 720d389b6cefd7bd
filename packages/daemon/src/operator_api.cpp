#include "operator_api.hpp"
#include "evacuations_api.hpp"
#include "metrics.hpp"

#include <jasminetrack/protocol/json_types.hpp>
#include <jasminetrack/protocol/ticket_file.hpp>

namespace jasminetrack::daemon
{

using nlohmann::json;
using runtime::http_request;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr std::int64_t append_timeout_ms = 5000;
constexpr std::size_t max_events = 2000;

json count_workers(core::cluster_state const& s, std::string const& region)
{
    std::map<std::string, int> count;
    int accelerators = 0;
    for (auto const& [name, w] : s.workers)
    {
        if (w.region != region)
            continue;
        ++count[json(w.condition).get<std::string>()];
        if (w.condition == core::worker_condition::live)
            accelerators += w.accelerators;
    }
    json out = count;
    out["accelerators"] = accelerators;
    out["free_accelerators"] = s.ledger.free().free_accelerators(region);
    return out;
}

json describe_regions(core::cluster_state const& s)
{
    std::set<std::string> names;
    for (auto const& [name, o] : s.owners)
        names.insert(name);
    json regions = json::object();
    for (auto const& name : names)
    {
        auto const& o = s.owners.at(name);
        regions[name] = {{"owner", o.holder},
                         {"epoch", o.epoch},
                         {"workers", count_workers(s, name)}};
    }
    return regions;
}

json count_jobs(core::cluster_state const& s)
{
    std::map<std::string, int> count;
    for (auto const& [id, j] : s.jobs)
        ++count[core::to_text(j.state)];
    return count;
}

json describe_broken_guarantees(core::cluster_state const& s)
{
    json out = json::array();
    for (auto const& seat : core::broken_guarantees(s))
        out.push_back({{"guarantee", seat.name},
                       {"team", seat.team},
                       {"region", seat.region}});
    return out;
}

} // namespace

operator_api::operator_api(node_driver& driver, call_chain const& calls)
    : driver_(driver), calls_(calls)
{
}

http_response operator_api::tickets(http_request const& request)
{
    return request.method == "POST" ? apply_ticket(request) : show_tickets();
}

http_response operator_api::apply_ticket(http_request const& request)
{
    auto const parsed = protocol::parse_ticket(request.body, "ticket");
    if (!parsed)
    {
        json diagnostics = json::array();
        for (auto const& m : parsed.diagnostics)
            diagnostics.push_back(to_line(m));
        return json_response({{"outcome", "refused"},
                              {"step", "ticket.parse"},
                              {"reasons", std::move(diagnostics)}},
                             status_unprocessable);
    }
    std::uint64_t sequence = 0;
    auto const result =
        driver_.propose(core::ticket_record{parsed.value},
                        monotonic_ms() + append_timeout_ms, sequence);
    if (result && result->accepted)
        return json_response({{"outcome", "in_force"},
                              {"number", parsed.value.number},
                              {"reason", result->effects.front().text}});
    if (result)
        return json_response({{"outcome", "refused"},
                              {"step", "ticket.apply"},
                              {"number", parsed.value.number},
                              {"reasons", json::array({result->reason})}},
                             status_conflict);
    bool const withdrawn = driver_.withdraw(sequence);
    return json_response(
        {{"outcome", withdrawn ? "refused" : "unknown"},
         {"step", "ticket.record"},
         {"peer", driver_.settings().platform},
         {"number", parsed.value.number},
         {"reasons",
          json::array({withdrawn
                           ? "the log did not store the ticket within " +
                                 std::to_string(append_timeout_ms) +
                                 " ms; apply it again"
                           : "the log did not confirm the ticket within " +
                                 std::to_string(append_timeout_ms) +
                                 " ms; apply the same ticket again, it takes "
                                 "effect once"})}},
        withdrawn ? status_unavailable : status_gateway_timeout);
}

http_response operator_api::show_tickets() const
{
    return driver_.with_node(
        [&](core::node const& n)
        {
            auto const& s = n.state();
            json in_force = json::object();
            for (auto const& [key, v] : s.versions)
                in_force[key] = {{"number", v.number}, {"offset", v.offset}};
            return json_response({{"current", n.is_current(monotonic_ms())},
                                  {"next_offset", s.next},
                                  {"in_force", std::move(in_force)},
                                  {"configuration", s.config},
                                  {"verdicts", s.verdicts}});
        });
}

http_response operator_api::status() const
{
    return driver_.with_node(
        [&](core::node const& n)
        {
            auto const now = monotonic_ms();
            auto const& s = n.state();
            json peers = json::object();
            for (auto const& [name, p] : n.peers())
                peers[name] = {{"heard_ms_ago", now - p.heard_ms},
                               {"region", p.region},
                               {"draining", p.draining}};
            return json_response(
                {{"node", n.settings().name},
                 {"incarnation", n.settings().incarnation},
                 {"region", n.settings().region},
                 {"current", n.is_current(now)},
                 {"log_age_ms", n.log_age(now)},
                 {"next_offset", s.next},
                 {"draining", n.draining()},
                 {"regions", describe_regions(s)},
                 {"jobs", count_jobs(s)},
                 {"calls_kept", s.calls.size()},
                 {"seats", s.seats.size()},
                 {"broken_guarantees", describe_broken_guarantees(s)},
                 {"evacuations", describe_evacuations(s)},
                 {"peers", std::move(peers)}});
        });
}

http_response operator_api::timeline(http_request const& request)
{
    auto const wanted = request.query.find("count");
    auto const max_count =
        wanted == request.query.end()
            ? max_events
            : std::strtoull(wanted->second.c_str(), nullptr, 10);
    json events = json::array();
    for (auto const& e : driver_.events().recent(max_count))
        events.push_back({{"ms", e.at.wall_ms},
                          {"step", e.at.step},
                          {"node", e.node},
                          {"offset", e.offset},
                          {"kind", e.kind},
                          {"key", e.key},
                          {"text", e.text}});
    return json_response({{"events", std::move(events)}});
}

http_response operator_api::metrics()
{
    return {status_ok,
            metrics_text(driver_, calls_),
            "text/plain; version=0.0.4",
            {}};
}

http_response operator_api::ready() const
{
    if (driver_.diverged())
        return json_response({{"ready", false}, {"diverged", true}},
                             status_unavailable);
    return driver_.with_node(
        [&](core::node const& n)
        {
            bool const current = n.is_current(monotonic_ms());
            bool const ok = current && !n.draining();
            return json_response({{"ready", ok},
                                  {"current", current},
                                  {"draining", n.draining()}},
                                 ok ? status_ok : status_unavailable);
        });
}

} // namespace jasminetrack::daemon
