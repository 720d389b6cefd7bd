#include <jasminetrack/tasks/departures.hpp>

#include <algorithm>
#include <cmath>

namespace jasminetrack::tasks
{
namespace
{

/// Time constant of the decay. Gangs last 10 to 30 s, and what threatens them
/// is what happens within such a time.
constexpr milliseconds window_ms = 20'000;
constexpr double one_second_ms = 1'000;
constexpr double one_minute_ms = 60'000;
/// Departures with less weight than this are too old to expect others.
constexpr double min_weight = 0.1;
/// The list shows all departures of one wave within a heartbeat and a read.
constexpr milliseconds max_pause_ms = 2'000;
/// Workers that have been up for twice as long have the next lower rank.
/// Finer ranks would spread tasks over workers that are otherwise alike.
constexpr std::int64_t highest_rank = 40;

double decay(milliseconds passed)
{
    return std::exp(-static_cast<double>(passed) /
                    static_cast<double>(window_ms));
}

} // namespace

void departures::record(milliseconds now, worker_info const& w)
{
    auto& s = services_[w.service];
    if (weight(now, w.service) <= 0)
        s = {}; // what left long ago tells nothing about these departures
    bool const is_first = s.weight <= 0;
    if (!is_first && s.version != w.version)
        s.mixed_at = now;
    bool const is_same = !is_first && s.version == w.version;
    s.weight = s.weight * decay(now - s.latest_at) + 1;
    s.latest_at = now;
    s.started = is_same ? std::max(s.started, w.incarnation) : w.incarnation;
    s.version = w.version;
}

departures::service_departures const*
departures::find(std::string const& service) const
{
    auto const at = services_.find(service);
    return at == services_.end() ? nullptr : &at->second;
}

double departures::weight(milliseconds now, std::string const& service) const
{
    auto const* s = find(service);
    auto const w = s ? s->weight * decay(now - s->latest_at) : 0;
    return w < min_weight ? 0 : w;
}

double departures::rate(milliseconds now, std::string const& service,
                        std::int64_t workers) const
{
    auto const seconds = static_cast<double>(window_ms) / one_second_ms;
    auto const count = static_cast<double>(std::max<std::int64_t>(1, workers));
    return weight(now, service) / seconds / count;
}

double departures::chance_to_complete(milliseconds now,
                                      std::string const& service,
                                      std::int64_t workers,
                                      std::int64_t exposed,
                                      milliseconds duration) const
{
    auto const seconds = static_cast<double>(duration) / one_second_ms;
    return std::exp(-rate(now, service, workers) *
                    static_cast<double>(exposed) * seconds);
}

double departures::per_minute(milliseconds now,
                              std::string const& service) const
{
    return weight(now, service) * one_minute_ms /
           static_cast<double>(window_ms);
}

bool departures::are_going_on(milliseconds now,
                              std::string const& service) const
{
    auto const* s = find(service);
    return s && now - s->latest_at <= max_pause_ms;
}

bool departures::is_rolling(milliseconds now, std::string const& service) const
{
    auto const* s = find(service);
    bool const is_mixed =
        s && s->mixed_at >= 0 && now - s->mixed_at <= window_ms;
    return s && !s->version.empty() && !is_mixed && weight(now, service) > 0;
}

bool departures::is_replacement(milliseconds now, worker_info const& w) const
{
    if (w.version.empty() || !is_rolling(now, w.service))
        return false;
    auto const* s = find(w.service);
    return s->version != w.version && w.incarnation > s->started;
}

std::int64_t departures::rank(milliseconds now, milliseconds wall,
                              worker_info const& w) const
{
    if (weight(now, w.service) <= 0)
        return 0;
    if (is_replacement(now, w))
        return 0;
    auto const up_ms = std::max<milliseconds>(0, wall - w.incarnation);
    auto const seconds = static_cast<double>(up_ms) / one_second_ms;
    auto const doublings = static_cast<std::int64_t>(std::log2(seconds + 1));
    return std::max<std::int64_t>(1, highest_rank - doublings);
}

} // namespace jasminetrack::tasks
