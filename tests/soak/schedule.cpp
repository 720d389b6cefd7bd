#include "schedule.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace jasminetrack::soak
{
namespace
{

constexpr milliseconds first_fault_ms = 5'000;
/// Between series: time to recover, and calm in which the checks apply.
constexpr milliseconds min_calm_ms = 9'000;
constexpr milliseconds max_calm_ms = 14'000;
constexpr milliseconds max_gap_ms = 1'500; ///< within a series
/// Later kinds are in no random schedule.
constexpr auto drawn_kinds =
    static_cast<std::uint32_t>(fault_kind::store_refuses_after_takeover);
constexpr int max_series = 4; ///< faults in a series
constexpr milliseconds min_length_ms = 500;
constexpr milliseconds max_length_ms = 4'000;

constexpr std::array<char const*, static_cast<std::size_t>(fault_kind::count)>
    names = {"store_refuses",
             "store_silent",
             "store_loses_answers",
             "dispatcher_killed",
             "dispatcher_killed_after_placing",
             "dispatcher_dies_with_store",
             "vm_killed",
             "all_killed",
             "dispatcher_cut_from_store",
             "vm_cut_from_store",
             "dispatcher_frozen",
             "vm_frozen",
             "vm_stopped",
             "vm_reloaded",
             "connections_reset",
             "peers_cut",
             "worker_silent",
             "worker_restarted",
             "worker_replaced",
             "starts_delayed",
             "entries_lapse",
             "store_refuses_after_takeover",
             "worker_lost"};

} // namespace

char const* to_text(fault_kind k) noexcept
{
    return names[static_cast<std::size_t>(k)];
}

fault_schedule draw_schedule(std::uint32_t seed, milliseconds traffic_ms)
{
    std::mt19937 engine(seed);
    // Unlike the library's distributions, the same on each platform.
    auto const draw = [&](milliseconds from, milliseconds to)
    {
        auto const range = static_cast<std::uint32_t>(to - from + 1);
        return from + static_cast<milliseconds>(engine() % range);
    };
    fault_schedule out;
    auto at = first_fault_ms;
    while (at < traffic_ms)
    {
        auto const faults = draw(1, max_series);
        auto last = at;
        for (milliseconds i = 0; i < faults; ++i)
        {
            fault f;
            f.kind = static_cast<fault_kind>(engine() % drawn_kinds);
            f.at_ms = at;
            f.for_ms = draw(min_length_ms, max_length_ms);
            f.pick = engine();
            last = std::max(last, f.at_ms + f.for_ms);
            at += draw(0, max_gap_ms);
            out.push_back(f);
        }
        at = last + draw(min_calm_ms, max_calm_ms);
    }
    return out;
}

fault_schedule placed_run_lost_with_its_sender()
{
    using enum fault_kind;
    return {{dispatcher_dies_with_store, 8'000, 4'300, 0},
            {store_refuses_after_takeover, 8'000, 2'000, 0}};
}

fault_schedule worker_lost_with_dispatcher()
{
    using enum fault_kind;
    return {{worker_lost, 8'000, 0, 0}, {dispatcher_killed, 8'050, 1'000, 0}};
}

fault_schedule planned_stops()
{
    constexpr milliseconds interval_ms = 1'700;
    constexpr milliseconds pause_ms = 500; ///< until the VM is started again
    constexpr std::uint32_t stops = 8;
    fault_schedule out;
    for (std::uint32_t i = 0; i < stops; ++i)
    {
        auto const at = first_fault_ms + i * interval_ms;
        out.push_back({fault_kind::vm_stopped, at, pause_ms, i});
        out.push_back({fault_kind::vm_reloaded, at + pause_ms, 0, i + 2});
    }
    return out;
}

} // namespace jasminetrack::soak
