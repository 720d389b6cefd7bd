/// \file
/// A worker loses power and is back after three seconds, under its id, as a new
/// process. In between, a service job (`long_running`) is handed in, and the
/// start of its task goes to that worker. Nothing else is wrong, and all other
/// workers are free. When does the task run?

#include "case_support.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::cases;
using nlohmann::json;

constexpr int vm_count = 3;
constexpr int worker_count = 8;
/// Until the new dispatcher starts tasks, as its list of workers is current.
constexpr milliseconds settle_ms = 6'000;
/// The longest wait of a call to /api/hold that is under way.
constexpr milliseconds held_call_ms = 2'100;
constexpr milliseconds dark_ms = 3'000;
constexpr milliseconds seen_ms = 25'000;
/// A task that lasts may have nothing running for so long, in calm, from
/// `lasting_grace_ms` after its last run on.
constexpr milliseconds max_standstill_ms = 3'000;
constexpr milliseconds calm_ms = 4'000;
constexpr milliseconds lasting_grace_ms = 6'000;

bool submit(standins::entry_vm& vm, standins::record& log)
{
    auto call = standins::cluster::client_call("POST", standins::batch_prefix +
                                                           standins::job_id(1));
    call.address = vm.address();
    json const step{{"count", 1},
                    {"cpu", 4'000},
                    {"mem_mb", 1'024},
                    {"gpu", 1},
                    {"est_runtime_ms", 60'000},
                    {"long_running", true}};
    json const body{{"spec", "600000 of a service"},
                    {"steps", json::array({step})}};
    call.body = body.dump();
    auto const answer = review::send(call);
    log.write("POST job " + standins::job_id(1) + " at " + vm.name() + ": " +
              (answer ? std::to_string(answer->status) : "no answer"));
    return answer && answer->status == 200;
}

int play(std::string const& folder)
{
    using standins::worker_action;
    temporary_folder const dir;
    standins::record log(folder + "/record.txt");
    standins::cluster_size size;
    size.vms = vm_count;
    size.workers = worker_count;
    standins::cluster c(size, dir.path(), log);
    if (!c.start() || c.await_dispatcher(settle_ms) == nullptr)
        return exit_could_not_run;
    sleep_ms(settle_ms);
    // Of workers that are alike, the one with the lowest id is taken first.
    auto& w = *c.workers().front();
    if (has_trouble())
    {
        // The call that is under way may still be answered, as the power is
        // lost only after it. The next one gets no answer.
        w.act_on_calls(worker_action::mute);
        sleep_ms(held_call_ms);
        w.crash();
        log.write("worker " + w.id() + " has lost power");
    }
    auto const begin = now_ms();
    if (!submit(*c.vms().front(), log))
        return exit_could_not_run;
    auto const accepted_at = now_ms();
    auto calm_from = accepted_at;
    if (has_trouble())
    {
        sleep_ms(begin + dark_ms - now_ms());
        w.act_on_calls(worker_action::serve);
        c.list(w);
        log.write("worker " + w.id() + " is back, as a new process");
        calm_from = now_ms() + calm_ms;
    }
    auto const counts_from =
        std::max(accepted_at + lasting_grace_ms, calm_from);
    while (now_ms() < begin + seen_ms && c.runs().all().empty())
        sleep_ms(10);
    auto const runs = c.runs().all();
    auto const began_at = runs.empty() ? now_ms() : runs.front().begun_ms;
    for (auto const& r : runs)
        log.write("run: " + to_text(r, begin));
    auto const standstill = std::max<milliseconds>(0, began_at - counts_from);
    auto const verdict =
        "the task stood still for " + std::to_string(began_at - accepted_at) +
        " ms after its job was accepted" +
        (runs.empty() ? " and does not run yet" : "") + ", " +
        std::to_string(standstill) + " ms of it in calm, beside " +
        std::to_string(worker_count - 1) + " free workers";
    log.write(verdict);
    std::cout << verdict << '\n';
    return standstill > max_standstill_ms ? exit_broken : exit_held;
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
