#include <jasminetrack/tasks/speed_record.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminetrack::tasks
{
namespace
{

using nlohmann::json;

constexpr milliseconds record_interval_ms = 5'000;
/// Of an encoded worker beside its id: two numbers and three headers.
constexpr std::int64_t max_row_bytes = 32;
/// Left for the key of the record and its header.
constexpr std::int64_t reserved_bytes = 512;

bool is_same_worker(slower_worker const& a, slower_worker const& b)
{
    return a.worker == b.worker && a.incarnation == b.incarnation;
}

} // namespace

/// The first byte of the array is no phase of a job, so that readers of
/// progress records skip it.
std::string encode(std::vector<slower_worker> const& slower)
{
    auto rows = json::array();
    auto left = max_record_bytes - reserved_bytes;
    for (auto const& s : slower)
    {
        left -= std::ssize(s.worker) + max_row_bytes;
        if (left < 0)
            break;
        rows.push_back(json::array({s.worker, s.incarnation, s.permille}));
    }
    auto const bytes = json::to_cbor(rows);
    return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<slower_worker>>
decode_slower_workers(std::string const& bytes)
{
    try
    {
        std::vector<slower_worker> slower;
        auto const rows = json::from_cbor(bytes);
        if (!rows.is_array())
            return std::nullopt;
        for (auto const& row : rows)
            slower.push_back({row.at(0), row.at(1), row.at(2)});
        return slower;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

void speed_record_writer::on_read(std::vector<slower_worker> const& slower)
{
    written_ = slower;
}

std::optional<log_record>
speed_record_writer::take_due(milliseconds now,
                              std::vector<slower_worker> const& slower)
{
    if (written_at_ >= 0 && now - written_at_ < record_interval_ms)
        return std::nullopt;
    if (std::equal(slower.begin(), slower.end(), written_.begin(),
                   written_.end(), is_same_worker))
        return std::nullopt;
    written_ = slower;
    written_at_ = now;
    return log_record{speed_record_key, encode(slower)};
}

} // namespace jasminetrack::tasks
