#include <jasminetrack/entry/node_record.hpp>

#include <nlohmann/json.hpp>

namespace jasminetrack::entry
{
using nlohmann::json;

std::string encode(node_record const& r)
{
    auto const bytes =
        json::to_cbor(json::array({r.address, r.processor_share}));
    return {bytes.begin(), bytes.end()};
}

std::optional<node_record> decode_node(std::string const& bytes)
{
    try
    {
        auto const row = json::from_cbor(bytes);
        return node_record{row.at(0), row.at(1)};
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace jasminetrack::entry
