#include "relay_codec.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace jasminetrack::entry
{
namespace
{

using nlohmann::json;

std::string to_bytes(json const& value)
{
    auto const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

json to_binary(std::string const& text)
{
    return json::binary({text.begin(), text.end()});
}

std::string from_binary(json const& j)
{
    auto const& bytes = j.get_binary();
    return {bytes.begin(), bytes.end()};
}

topic read_topic(json const& j)
{
    constexpr std::array topics{topic::jobs, topic::work, topic::configuration,
                                topic::workers};
    for (auto const t : topics)
        if (j == static_cast<int>(t))
            return t;
    throw std::out_of_range("unknown topic " + j.dump());
}

json encode_entries(std::vector<log_entry> const& entries)
{
    json rows = json::array();
    for (auto const& e : entries)
        rows.push_back({e.offset, e.key, to_binary(e.value)});
    return rows;
}

std::vector<log_entry> decode_entries(json const& rows)
{
    std::vector<log_entry> entries;
    for (auto const& row : rows)
        entries.push_back({row.at(0), row.at(1), from_binary(row.at(2))});
    return entries;
}

json to_row(append_call const& c)
{
    json records = json::array();
    for (auto const& r : c.records)
        records.push_back({r.key, to_binary(r.value)});
    return {"append",
            static_cast<int>(c.topic),
            c.writer.name,
            c.writer.epoch,
            c.writer.sequence,
            c.expected_end ? json(*c.expected_end) : json(nullptr),
            c.timeout_ms,
            records};
}

json to_row(read_call const& c)
{
    return {"read", static_cast<int>(c.topic), c.from, c.wait_ms, c.max_kb};
}

json to_row(newest_call const& c)
{
    return {"newest", static_cast<int>(c.topic), c.after};
}

append_call read_append(json const& row)
{
    append_call c;
    c.topic = read_topic(row.at(1));
    c.writer = {row.at(2), row.at(3), row.at(4)};
    if (!row.at(5).is_null())
        c.expected_end = row.at(5).get<std::int64_t>();
    c.timeout_ms = row.at(6);
    for (auto const& r : row.at(7))
        c.records.push_back({r.at(0), from_binary(r.at(1))});
    return c;
}

relay_call read_row(json const& row)
{
    auto const kind = row.at(0).get<std::string>();
    auto const from_topic = read_topic(row.at(1));
    if (kind == "append")
        return read_append(row);
    // Earlier builds name no size.
    auto const max_kb = row.size() > 4 ? row.at(4) : json(0);
    if (kind == "read")
        return read_call{from_topic, row.at(2), row.at(3), max_kb};
    if (kind == "newest")
        return newest_call{from_topic, row.at(2)};
    throw std::out_of_range("unknown call " + kind);
}

/// \returns nothing if the bytes are not CBOR of the form that `read` expects.
template <typename Read>
auto decode(std::string const& bytes, Read read)
    -> std::optional<decltype(read(json()))>
{
    try
    {
        return read(json::from_cbor(bytes));
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

std::string encode_call(relay_call const& call)
{
    return std::visit([](auto const& c) { return to_bytes(to_row(c)); }, call);
}

std::optional<relay_call> decode_call(std::string const& bytes)
{
    return decode(bytes, read_row);
}

std::string encode_answer(append_answer const& a)
{
    return to_bytes({static_cast<int>(a.result), a.end, a.reason});
}

std::string encode_answer(read_answer const& a)
{
    return to_bytes({static_cast<int>(a.result), a.next, a.at_end,
                     encode_entries(a.entries), a.reason});
}

std::string encode_answer(newest_answer const& a)
{
    return to_bytes(
        {a.answered, a.more, a.end, encode_entries(a.entries), a.reason});
}

std::optional<append_answer> decode_append_answer(std::string const& bytes)
{
    return decode(bytes,
                  [](json const& row)
                  {
                      return append_answer{
                          static_cast<append_result>(row.at(0).get<int>()),
                          row.at(1), row.at(2)};
                  });
}

std::optional<read_answer> decode_read_answer(std::string const& bytes)
{
    return decode(bytes,
                  [](json const& row)
                  {
                      return read_answer{
                          static_cast<read_result>(row.at(0).get<int>()),
                          row.at(1), row.at(2), decode_entries(row.at(3)),
                          row.at(4)};
                  });
}

std::optional<newest_answer> decode_newest_answer(std::string const& bytes)
{
    return decode(bytes,
                  [](json const& row)
                  {
                      return newest_answer{row.at(0), decode_entries(row.at(3)),
                                           row.at(1), row.at(2), row.at(4)};
                  });
}

} // namespace jasminetrack::entry
