#include <jasminetrack/tasks/load_reading.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace jasminetrack::tasks
{
namespace
{

using nlohmann::json;

constexpr double ms_per_s = 1'000;
constexpr double millicores_per_core = 1'000;
/// Freed cores per second are encoded in thousandths, as a few long runs free
/// less than one.
constexpr double rate_scale = 1'000;

std::int64_t rounded(double value)
{
    return std::llround(value);
}

json to_row(resource_load const& load)
{
    auto row = json::array({rounded(load.capacity_cores),
                            rounded(load.used_cores), rounded(load.kept_cores),
                            rounded(load.freed_cores_per_s * rate_scale),
                            rounded(load.least_share_cores)});
    for (auto const& [priority, p] : load.priorities)
        row.push_back({priority, rounded(p.queued_core_s),
                       rounded(p.running_core_s), p.queued_jobs});
    return row;
}

resource_load load_of(json const& row)
{
    constexpr std::size_t fields = 5;
    resource_load load;
    load.capacity_cores = row.at(0);
    load.used_cores = row.at(1);
    load.kept_cores = row.at(2);
    load.freed_cores_per_s = row.at(3).get<double>() / rate_scale;
    load.least_share_cores = row.at(4);
    for (auto i = fields; i < row.size(); ++i)
        load.priorities[row.at(i).at(0)] = {row.at(i).at(1), row.at(i).at(2),
                                            row.at(i).at(3)};
    return load;
}

double total_work(service_reading const& s)
{
    double sum = 0;
    for (auto const* load : {&s.cores, &s.accelerators})
        for (auto const& [priority, p] : load->priorities)
            sum += p.queued_core_s + p.running_core_s;
    return sum;
}

std::string encode_all(load_reading const& reading)
{
    json services = json::object();
    for (auto const& [name, s] : reading.services)
        services[name] = {to_row(s.cores), to_row(s.accelerators)};
    auto const bytes = json::to_cbor(json::array({reading.taken_ms, services}));
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode(load_reading const& reading)
{
    auto part = reading;
    auto bytes = encode_all(part);
    while (bytes.size() > max_reading_bytes && !part.services.empty())
    {
        part.services.erase(std::min_element(
            part.services.begin(), part.services.end(),
            [](auto const& a, auto const& b)
            { return total_work(a.second) < total_work(b.second); }));
        bytes = encode_all(part);
    }
    return bytes;
}

std::optional<load_reading> decode_load(std::string const& bytes)
{
    try
    {
        auto const row = json::from_cbor(bytes);
        load_reading reading;
        reading.taken_ms = row.at(0);
        for (auto const& [name, s] : row.at(1).items())
            reading.services[name] = {load_of(s.at(0)), load_of(s.at(1))};
        return reading;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

double core_work(resources const& held, milliseconds time) noexcept
{
    return static_cast<double>(held.millicores) / millicores_per_core *
           static_cast<double>(time) / ms_per_s;
}

double accelerator_work(resources const& held, milliseconds time) noexcept
{
    return static_cast<double>(held.accelerators) * cores_per_accelerator *
           static_cast<double>(time) / ms_per_s;
}

} // namespace jasminetrack::tasks
