/// \file
/// A worker leaves the start of a task unanswered, loses power and is back
/// 4.5 s later, under its id, as a new process. The order, which was still
/// under way, reaches the new process eight seconds after it was sent. Does the
/// task run once at a time?

#include "worker_front.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::cases;
using nlohmann::json;

constexpr int vm_count = 3;
constexpr int worker_count = 16;
constexpr milliseconds work_ms = 40'000;
constexpr milliseconds settle_ms = 6'000;
constexpr milliseconds start_limit_ms = 5'000;
/// The worker is silent for so long; see claim.txt.
constexpr milliseconds dark_ms = 4'500;
/// Its entry lapses after three heartbeat intervals of silence. The last
/// heartbeat came half a second before.
constexpr milliseconds entry_lapse_ms = 4'000;
/// Orders are carried out 2 to 12 s late.
constexpr milliseconds late_ms = 8'000;
constexpr milliseconds after_ms = 8'000;

bool submit(standins::entry_vm& vm, standins::record& log)
{
    auto call = standins::cluster::client_call("POST", standins::batch_prefix +
                                                           standins::job_id(1));
    call.address = vm.address();
    json const step{{"count", 1},
                    {"cpu", 4'000},
                    {"mem_mb", 1'024},
                    {"gpu", 1},
                    {"est_runtime_ms", work_ms}};
    json const body{{"spec", std::to_string(work_ms) + " of a job"},
                    {"steps", json::array({step})}};
    call.body = body.dump();
    auto const answer = review::send(call);
    log.write("POST job " + standins::job_id(1) + " at " + vm.name() + ": " +
              (answer ? std::to_string(answer->status) : "no answer"));
    return answer && answer->status == 200;
}

int play(std::string const& folder)
{
    temporary_folder const dir;
    standins::record log(folder + "/record.txt");
    standins::cluster_size size;
    size.vms = vm_count;
    size.workers = worker_count;
    standins::cluster c(size, dir.path(), log);
    // Of workers that are alike, the one with the lowest id is taken first.
    auto& w = *c.workers().front();
    auto const worker_address =
        json::parse(w.list_entry()).at("address").get<std::string>();
    worker_front front("127.0.0.1:" + std::to_string(standins::free_port()),
                       worker_address, w.id());
    list(c, w, front.address());
    if (!c.start() || c.await_dispatcher(settle_ms) == nullptr)
        return exit_could_not_run;
    sleep_ms(settle_ms);
    auto const begin = now_ms();
    if (has_trouble())
    {
        // The power is lost late in a call to /api/hold, 1.8 of its 2 s.
        auto const held_before = front.held_at();
        while (front.held_at() == held_before)
            sleep_ms(1);
        auto const held_at = front.held_at();
        sleep_ms(held_at + 900 - now_ms());
        front.delay_starts(true);
        if (!submit(*c.vms().front(), log))
            return exit_could_not_run;
        sleep_ms(held_at + 1'800 - now_ms());
        if (front.first_delayed_at() == 0)
            return exit_could_not_run;
        front.set_dark(true);
        auto const lost_at = now_ms();
        log.write("worker " + w.id() +
                  " has lost power; the start of the "
                  "task has had no answer");
        sleep_ms(lost_at + entry_lapse_ms - now_ms());
        c.unlist(w);
        sleep_ms(lost_at + dark_ms - now_ms());
        front.delay_starts(false);
        w.crash(); // the next process begins
        front.set_dark(false);
        list(c, w, front.address());
        log.write("worker " + w.id() + " is back, as a new process");
        sleep_ms(front.first_delayed_at() + late_ms - now_ms());
        log.write("the order reaches it and is answered with " +
                  std::to_string(front.deliver_first()));
    }
    else if (!submit(*c.vms().front(), log))
        return exit_could_not_run;
    sleep_ms(after_ms);
    auto const runs = c.runs().all();
    auto const seen_until = now_ms();
    if (runs.empty())
        return exit_could_not_run;
    for (auto const& r : runs)
        log.write("run: " + to_text(r, begin));
    auto const found = find_overlaps(runs, seen_until);
    for (auto const& o : found)
        log.write("TWICE for " + std::to_string(o.lasted_ms) + " ms: " +
                  to_text(o.earlier, begin) + "; " + to_text(o.later, begin));
    auto const verdict = std::to_string(runs.size()) + " runs of 1 task, " +
                         std::to_string(found.size()) +
                         " pairs at the same time";
    log.write(verdict);
    std::cout << verdict << '\n';
    return found.empty() ? exit_held : exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return play(argc > 1 ? argv[1] : ".");
    }
    catch (std::exception const& e)
    {
        std::cerr << "the case could not run: " << e.what() << '\n';
        return exit_could_not_run;
    }
}
