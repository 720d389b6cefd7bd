/// \file
/// Days on which urgent work of one team uses what others are guaranteed.

#include "random_fleet.hpp"
#include "small_jobs.hpp"

namespace support
{
namespace
{

constexpr std::int64_t guaranteed = 16;
constexpr char const* borrower = "borrower";

} // namespace

void random_fleet::configure_teams()
{
    auto c = world_.current_configuration();
    ++c.version;
    c.teams = {{"team", {"key"}, guaranteed},
               {"second", {"key-2"}, guaranteed},
               {"third", {"key-3"}, guaranteed},
               {borrower, {"key-b"}, 0}};
    world_.configure(c);
}

void random_fleet::submit_urgent(job_spec const& spec, milliseconds duration_ms,
                                 std::string const& team)
{
    auto const id = "sound" + std::to_string(sound_.size());
    sound_.push_back(id);
    world_.submit(id, "urgent", spec, {duration_ms}, team);
}

void random_fleet::submit_borrowed()
{
    constexpr int max_duration_ms = 9'000;
    auto const accelerators = 1 << below(4);
    auto const tasks = 64 / accelerators;
    bool const is_gang = below(3) == 0;
    auto spec = is_gang ? gang_job(tasks / 2, accelerators)
                        : simple_job(tasks, accelerators);
    spec.steps[0].checkpoints = below(2) == 0;
    submit_urgent(spec, 1'000 + below(max_duration_ms), borrower);
}

void random_fleet::submit_guaranteed()
{
    constexpr int max_duration_ms = 4'000;
    std::string const team = below(2) == 0 ? "second" : "third";
    auto const accelerators = 1 << below(4);
    auto const tasks = 1 + below(static_cast<int>(guaranteed) / accelerators);
    auto spec = below(2) == 0 ? gang_job(tasks, accelerators)
                              : simple_job(tasks, accelerators);
    spec.steps[0].same_rack = below(3) == 0;
    auto& newest = guaranteed_[team];
    if (!newest.empty() && !is_final(world_.phase(newest)))
        return;
    newest = "sound" + std::to_string(sound_.size());
    submit_urgent(spec, 500 + below(max_duration_ms), team);
}

} // namespace support
