/// \file
/// The soak: runs the entry processes as the deploy file does, with stand-ins
/// for the platform and its workers, injects faults from outside and checks
/// the promises from what callers and workers see.

#include "checks.hpp"
#include "dispatcher_watch.hpp"
#include "fault_player.hpp"
#include "processor_shares.hpp"
#include "schedule.hpp"
#include "traffic.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::soak;
using standins::now_ms;

constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;
/// Traffic starts this long after the machines do.
constexpr milliseconds settle_ms = 10'000;
constexpr milliseconds ms_per_s = 1'000;
constexpr std::size_t max_printed = 20; ///< findings of a play

struct options
{
    std::uint32_t seed = 1;
    std::uint32_t seeds = 1;
    std::int64_t seconds = 60;
    int vms = 7;
    int workers = 8;
    double share = 0.25;
    double jobs_per_second = 18;
    int gangs_per_hundred = 0;
    std::string schedule = "random";
    std::string program;
    std::string keep;
};

milliseconds longest_after_trouble(play_history const& h)
{
    milliseconds longest = 0;
    for (auto const& w : find_waits(h))
        longest = std::max(longest, w.after_trouble);
    return longest;
}

fault_schedule schedule_of(options const& o, std::uint32_t seed,
                           milliseconds traffic_ms)
{
    if (o.schedule == "lost-sender")
        return placed_run_lost_with_its_sender();
    if (o.schedule == "worker-lost")
        return worker_lost_with_dispatcher();
    if (o.schedule == "planned-stops")
        return planned_stops();
    return draw_schedule(seed, traffic_ms);
}

/// \throws std::exception if the play cannot run
play_history play(options const& o, std::uint32_t seed, std::string const& dir)
{
    standins::record log(dir + "/record.txt");
    standins::cluster c({o.vms, o.workers, o.workers}, dir, log);
    dispatcher_watch watch(c, dir);
    fault_player faults(c, watch, log);
    faults.link_peers();
    for (auto const& vm : c.vms())
        if (!o.program.empty())
            vm->set_program(o.program);
    if (!c.start())
        throw std::runtime_error("the deployment did not become ready");
    processor_shares const shares(c, o.share);
    standins::sleep_ms(settle_ms);
    traffic_plan plan;
    plan.seed = seed;
    plan.jobs_per_second = o.jobs_per_second;
    plan.gangs_per_hundred = o.gangs_per_hundred;
    traffic callers(plan, c, log);
    auto const traffic_ms = o.seconds * ms_per_s;
    auto const begin = now_ms();
    callers.start();
    faults.play(schedule_of(o, seed, traffic_ms), begin);
    standins::sleep_ms(begin + traffic_ms - now_ms());
    callers.stop();
    play_history h;
    h.traffic_ended_at = now_ms();
    callers.await_ends(standins::finish_ms);
    h.ended_at = now_ms();
    callers.copy_to(h);
    faults.copy_to(h);
    h.runs = c.runs().all();
    return h;
}

/// The same; a message of failure names the folder, which is kept.
play_history play_in(options const& o, std::uint32_t seed,
                     std::string const& dir)
{
    try
    {
        return play(o, seed, dir);
    }
    catch (std::exception const& e)
    {
        throw std::runtime_error(std::string(e.what()) +
                                 "; records and logs: " + dir);
    }
}

/// Keeps records and logs of a play that broke a promise.
/// \returns whether all promises were kept.
bool play_seed(options const& o, std::uint32_t seed)
{
    namespace fs = std::filesystem;
    auto const root =
        o.keep.empty() ? fs::temp_directory_path() : fs::path(o.keep);
    auto const dir = root / ("soak-" + std::to_string(::getpid()) + "-" +
                             std::to_string(seed));
    fs::create_directories(dir);
    auto const h = play_in(o, seed, dir.string());
    auto const found = check_all(h);
    std::cout << "seed " << seed << ": " << h.jobs.size() << " jobs, "
              << h.runs.size() << " runs, " << h.troubles.size()
              << " troubles, longest wait after the last trouble "
              << longest_after_trouble(h) << " ms, " << found.size()
              << " findings\n";
    for (std::size_t i = 0; i < std::min(found.size(), max_printed); ++i)
        std::cout << "  " << found[i].check << ": " << found[i].text << "\n";
    if (found.empty() && o.keep.empty())
        fs::remove_all(dir);
    else
        std::cout << "  records and logs: " << dir.string() << "\n";
    std::cout << std::flush;
    return found.empty();
}

} // namespace

int main(int argc, char** argv)
{
    options o;
    CLI::App app{"Plays seeded faults on entry processes and checks promises.\n"
                 "Run it in the root of the repository, after building the "
                 "deploy file.\n"
                 "Exit codes: 0 all kept, 1 one broken, 2 could not run"};
    app.add_option("--seed", o.seed, "first seed");
    app.add_option("--seeds", o.seeds, "number of seeds");
    app.add_option("--seconds", o.seconds, "length of the traffic of a seed")
        ->check(CLI::Range(10, 3'600));
    app.add_option("--vms", o.vms, "entry VMs")->check(CLI::Range(1, 60));
    app.add_option("--workers", o.workers, "workers")
        ->check(CLI::Range(1, 400));
    app.add_option("--share", o.share, "share of a core for each entry VM")
        ->check(CLI::Range(0.05, 1.0));
    app.add_option("--jobs-per-second", o.jobs_per_second, "of all callers")
        ->check(CLI::Range(0.5, 100.0));
    app.add_option("--gangs-per-hundred", o.gangs_per_hundred,
                   "of the jobs of several tasks")
        ->check(CLI::Range(0, 100));
    app.add_option("--schedule", o.schedule,
                   "random, lost-sender, worker-lost or planned-stops")
        ->check(CLI::IsMember(
            {"random", "lost-sender", "worker-lost", "planned-stops"}));
    app.add_option("--program", o.program,
                   "program of the entry VMs, if not that of the deploy file")
        ->check(CLI::ExistingFile);
    app.add_option("--keep", o.keep,
                   "folder that keeps records and logs of all plays");
    CLI11_PARSE(app, argc, argv);

    bool all_kept = true;
    try
    {
        for (std::uint32_t i = 0; i < o.seeds; ++i)
            all_kept = play_seed(o, o.seed + i) && all_kept;
    }
    catch (std::exception const& e)
    {
        std::cerr << "soak: " << e.what() << "\n";
        return exit_could_not_run;
    }
    return all_kept ? 0 : exit_broken;
}
