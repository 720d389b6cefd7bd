#include "evacuations_api.hpp"

#include <jasminetrack/core/evacuation.hpp>

namespace jasminetrack::daemon
{

using nlohmann::json;
using runtime::http_request;
using runtime::http_response;
using runtime::monotonic_ms;

namespace
{

constexpr std::int64_t append_timeout_ms = 5000;

core::outcome<core::evacuate_record> parse_change(std::string const& body)
{
    try
    {
        auto const j = json::parse(body);
        core::evacuate_record record;
        record.data_center = j.at("data_center").get<std::string>();
        record.evacuated = j.at("evacuated").get<bool>();
        return record;
    }
    catch (std::exception const& e)
    {
        return core::error{"evacuation.parse", "caller", e.what(), ""};
    }
}

} // namespace

json describe_evacuations(core::cluster_state const& state)
{
    json evacuated = json::array();
    for (auto const& e : core::evacuation_statuses(state))
        evacuated.push_back({{"data_center", e.data_center},
                             {"workers", e.workers},
                             {"gang_members", e.gang_members},
                             {"seats", e.seats}});
    json unmet = json::array();
    for (auto const& g : core::find_unmet_guarantees(state))
        unmet.push_back({{"guarantee", g.seat},
                         {"team", g.team},
                         {"region", g.region},
                         {"reason", g.reason}});
    return {{"evacuated", std::move(evacuated)},
            {"unmet_guarantees", std::move(unmet)}};
}

evacuations_api::evacuations_api(node_driver& driver) : driver_(driver) {}

http_response evacuations_api::refuse(int status, std::string reason,
                                      std::string remedy) const
{
    return not_run_response(status, {"evacuation", driver_.settings().node,
                                     std::move(reason), std::move(remedy)});
}

http_response evacuations_api::serve(http_request const& request)
{
    if (request.method != "POST")
        return driver_.with_node(
            [](core::node const& n)
            { return json_response(describe_evacuations(n.state())); });
    auto const parsed = parse_change(request.body);
    if (!parsed)
        return refuse(
            status_bad_request, parsed.failure().reason,
            R"(send {"data_center": NAME, "evacuated": true or false})");
    auto record = parsed.value();
    record.move_seats = driver_.settings().policy.move_seats;
    return change(record);
}

http_response evacuations_api::change(core::evacuate_record const& record)
{
    std::uint64_t sequence = 0;
    auto const result =
        driver_.propose(record, monotonic_ms() + append_timeout_ms, sequence);
    if (result && result->accepted)
    {
        auto body =
            driver_.with_node([](core::node const& n)
                              { return describe_evacuations(n.state()); });
        body["outcome"] = "accepted";
        body["data_center"] = record.data_center;
        body["reason"] = result->effects.front().text;
        return json_response(body);
    }
    if (result)
        return refuse(status_conflict, result->reason,
                      "look at 'jasminetrack status'");
    auto const waited = std::to_string(append_timeout_ms) + " ms";
    if (driver_.withdraw(sequence))
        return refuse(status_unavailable,
                      "the log did not store the change within " + waited,
                      "repeat the command");
    return unknown_response(
        {"evacuation", driver_.settings().platform,
         "the log did not confirm the change within " + waited,
         "repeat the command; it takes effect once"});
}

} // namespace jasminetrack::daemon
