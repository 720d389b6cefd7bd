#include <jasminetrack/protocol/codec.hpp>

#include <jasminetrack/protocol/json_types.hpp>

namespace jasminetrack::core
{

void to_json(nlohmann::json& j, config_object const& object)
{
    struct visitor
    {
        nlohmann::json& j;
        void operator()(team const& o) const
        {
            j = {{"kind", "team"}, {"state", o}};
        }
        void operator()(service const& o) const
        {
            j = {{"kind", "service"}, {"state", o}};
        }
        void operator()(job_class const& o) const
        {
            j = {{"kind", "job_class"}, {"state", o}};
        }
        void operator()(removal const& o) const
        {
            j = {{"kind", "removal"}, {"state", o}};
        }
    };
    std::visit(visitor{j}, object);
}

void from_json(nlohmann::json const& j, config_object& object)
{
    auto const kind = j.at("kind").get<std::string>();
    auto const& state = j.at("state");
    if (kind == "team")
        object = state.get<team>();
    else if (kind == "service")
        object = state.get<service>();
    else if (kind == "job_class")
        object = state.get<job_class>();
    else
        object = state.get<removal>();
}

} // namespace jasminetrack::core

namespace jasminetrack::protocol
{
namespace
{

using nlohmann::json;

/// Record kinds as written in the log, in the order of `core::record`.
constexpr char const* record_kinds[] = {
    "ticket", "claim",    "workers",  "submit",      "cancel",
    "place",  "job",      "call",     "call_result", "mark",
    "digest", "snapshot", "evacuate", "unknown"};

struct body_to_json
{
    template <typename T> json operator()(T const& body) const
    {
        return json(body);
    }
    json operator()(core::unknown_record const&) const
    {
        return json::object();
    }
    json operator()(core::mark_record const&) const
    {
        return json::object();
    }
};

template <typename T> core::record read_body_as(json const& j)
{
    return j.get<T>();
}

core::record read_mark(json const&)
{
    return core::mark_record{};
}

using body_reader = core::record (*)(json const&);

constexpr body_reader body_readers[] = {
    read_body_as<core::ticket_record>,      read_body_as<core::claim_record>,
    read_body_as<core::workers_record>,     read_body_as<core::submit_record>,
    read_body_as<core::cancel_record>,      read_body_as<core::place_record>,
    read_body_as<core::job_record>,         read_body_as<core::call_record>,
    read_body_as<core::call_result_record>, read_mark,
    read_body_as<core::digest_record>,      read_body_as<core::snapshot_record>,
    read_body_as<core::evacuate_record>};

core::record read_body(std::string const& kind, json const& j)
{
    for (std::size_t i = 0; i < std::size(body_readers); ++i)
        if (kind == record_kinds[i])
            return body_readers[i](j);
    return core::unknown_record{kind};
}

json encode_record(std::string const& writer, std::uint64_t sequence,
                   core::record const& body)
{
    return {{"v", 1},
            {"w", writer},
            {"s", sequence},
            {"k", record_kinds[body.index()]},
            {"b", std::visit(body_to_json{}, body)}};
}

json encode_entry(core::log_entry const& e)
{
    auto j = encode_record(e.writer, e.sequence, e.body);
    j["o"] = e.offset;
    j["t"] = e.time;
    return j;
}

core::log_entry decode_entry(json const& j)
{
    core::log_entry e;
    e.offset = j.at("o");
    e.time = j.at("t");
    e.writer = j.at("w");
    e.sequence = j.at("s");
    e.body = read_body(j.at("k"), j.at("b"));
    return e;
}

core::log_entry decode_stored(json const& j)
{
    core::log_entry e;
    e.offset = j.at(0);
    e.time = j.at(1);
    auto const decoded = decode_record(j.at(2).get_binary());
    if (!decoded)
    {
        e.body = core::unknown_record{"undecodable"};
        return e;
    }
    e.writer = decoded.value().writer;
    e.sequence = decoded.value().sequence;
    e.body = decoded.value().body;
    return e;
}

/// Runs a decoder; its exceptions become a `core::error` with this step.
template <typename T, typename Decoder>
core::outcome<T> decode_or_error(char const* step, Decoder decode)
{
    try
    {
        return decode();
    }
    catch (std::exception const& e)
    {
        return core::error{step, "codec", e.what(),
                           "check that the sender runs a compatible version"};
    }
}

} // namespace

bytes encode(written_record const& r)
{
    return json::to_cbor(encode_record(r.writer, r.sequence, r.body));
}

core::outcome<written_record> decode_record(bytes const& data)
{
    return decode_or_error<written_record>(
        "record.decode",
        [&]
        {
            auto const j = json::from_cbor(data);
            return written_record{j.at("w"), j.at("s"),
                                  read_body(j.at("k"), j.at("b"))};
        });
}

bytes encode(stored_page const& page)
{
    json records = json::array();
    for (auto const& r : page.records)
        records.push_back({r.offset, r.time, json::binary(r.data)});
    return json::to_cbor(json{{"first", page.first},
                              {"end", page.end},
                              {"records", std::move(records)}});
}

core::outcome<log_page> decode_page(bytes const& data)
{
    return decode_or_error<log_page>("log.decode",
                                     [&]
                                     {
                                         auto const j = json::from_cbor(data);
                                         log_page page;
                                         page.first = j.at("first");
                                         page.end = j.at("end");
                                         for (auto const& r : j.at("records"))
                                             page.entries.push_back(
                                                 decode_stored(r));
                                         return page;
                                     });
}

bytes encode_batch(std::vector<bytes> const& records)
{
    json batch = json::array();
    for (auto const& r : records)
        batch.push_back(json::binary(r));
    return json::to_cbor(batch);
}

core::outcome<std::vector<bytes>> decode_batch(bytes const& data)
{
    return decode_or_error<std::vector<bytes>>(
        "batch.decode",
        [&]
        {
            std::vector<bytes> records;
            for (auto const& r : json::from_cbor(data))
                records.push_back(r.get_binary());
            return records;
        });
}

bytes encode(peer_message const& m)
{
    json relayed = json::array();
    for (auto const& e : m.relayed)
        relayed.push_back(encode_entry(e));
    json j{{"n", m.node},    {"i", m.incarnation}, {"r", m.region},
           {"o", m.next},    {"a", m.log_age_ms},  {"d", m.draining},
           {"t", m.sent_ms}, {"c", m.echo_ms}};
    if (!relayed.empty())
        j["e"] = std::move(relayed);
    return json::to_cbor(j);
}

core::outcome<peer_message> decode_peer_message(bytes const& data)
{
    return decode_or_error<peer_message>(
        "peer.decode",
        [&]
        {
            auto const j = json::from_cbor(data);
            peer_message m{j.at("n"), j.at("i"), j.at("r"),
                           j.at("o"), j.at("a"), j.at("d"),
                           j.at("t"), j.at("c"), {}};
            if (j.contains("e"))
                for (auto const& e : j.at("e"))
                    m.relayed.push_back(decode_entry(e));
            return m;
        });
}

bytes encode(core::cluster_state const& state)
{
    return json::to_cbor(json(state));
}

core::outcome<core::cluster_state> decode_state(bytes const& data)
{
    return decode_or_error<core::cluster_state>(
        "snapshot.decode",
        [&]
        {
            auto state = json::from_cbor(data).get<core::cluster_state>();
            core::rebuild_derived(state);
            return state;
        });
}

std::string to_json_text(core::worker_order const& order)
{
    return json(order).dump();
}

core::outcome<core::worker_order> parse_order(std::string const& text)
{
    return decode_or_error<core::worker_order>(
        "order.decode",
        [&] { return json::parse(text).get<core::worker_order>(); });
}

std::string to_json_text(core::worker_report_event const& report)
{
    return json(report).dump();
}

core::outcome<core::worker_report_event> parse_report(std::string const& text)
{
    return decode_or_error<core::worker_report_event>(
        "report.decode",
        [&] { return json::parse(text).get<core::worker_report_event>(); });
}

} // namespace jasminetrack::protocol
