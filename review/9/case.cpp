/// \file
/// The first order to start a task gets no answer; the second one does, the
/// task is done, and its job is shown as completed. Then its worker loses power
/// and is back 4.5 s later, under its id, as a new process. The first order
/// reaches it ten seconds after it was sent. Does the task run again?

#include "worker_front.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::cases;
using nlohmann::json;

constexpr int vm_count = 3;
constexpr int worker_count = 16;
constexpr milliseconds work_ms = 1'500;
constexpr milliseconds settle_ms = 6'000;
constexpr milliseconds end_limit_ms = 6'000;
/// The worker is silent for so long; see claim.txt.
constexpr milliseconds dark_ms = 4'500;
/// Its entry lapses after three heartbeat intervals of silence.
constexpr milliseconds entry_lapse_ms = 4'400;
/// Orders are carried out 2 to 12 s late.
constexpr milliseconds late_ms = 10'000;
constexpr milliseconds after_ms = 4'000;
constexpr milliseconds poll_ms = 20;

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

/// \returns whether the job is shown as completed within the time.
bool await_completed(standins::entry_vm& vm, standins::record& log)
{
    auto call = standins::cluster::client_call("GET", standins::batch_prefix +
                                                          standins::job_id(1));
    call.address = vm.address();
    auto const until = now_ms() + end_limit_ms;
    while (now_ms() < until)
    {
        auto const answer = review::send(call);
        if (answer && answer->body.find("completed") != std::string::npos)
        {
            log.write("GET job " + standins::job_id(1) + " at " + vm.name() +
                      ": " + answer->body);
            return true;
        }
        sleep_ms(poll_ms);
    }
    return false;
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
        front.delay_one_start();
    auto& vm = *c.vms().front();
    if (!submit(vm, log) || !await_completed(vm, log))
        return exit_could_not_run;
    // The end counts as noted once a call to /api/hold has acknowledged it.
    while (c.runs().all().front().noted_ms < 0)
    {
        if (now_ms() > begin + end_limit_ms)
            return exit_could_not_run;
        sleep_ms(poll_ms);
    }
    auto const noted_at = c.runs().all().front().noted_ms;
    auto const completed_at = std::max(noted_at, now_ms());
    log.write("the end of the run was taken note of " +
              std::to_string(noted_at - begin) + " ms after the begin");
    if (has_trouble())
    {
        if (front.first_delayed_at() == 0)
            return exit_could_not_run;
        front.set_dark(true);
        auto const lost_at = now_ms();
        log.write("worker " + w.id() + " has lost power");
        sleep_ms(lost_at + entry_lapse_ms - now_ms());
        c.unlist(w);
        sleep_ms(lost_at + dark_ms - now_ms());
        w.crash(); // the next process begins
        front.set_dark(false);
        list(c, w, front.address());
        log.write("worker " + w.id() + " is back, as a new process");
        sleep_ms(front.first_delayed_at() + late_ms - now_ms());
        log.write("the first order reaches it and is answered with " +
                  std::to_string(front.deliver_first()));
    }
    sleep_ms(after_ms);
    auto const runs = c.runs().all();
    if (runs.empty())
        return exit_could_not_run;
    for (auto const& r : runs)
        log.write("run: " + to_text(r, begin));
    auto const again = std::count_if(runs.begin(), runs.end(),
                                     [&](standins::run_history const& r)
                                     { return r.begun_ms > completed_at; });
    auto const verdict = std::to_string(runs.size()) + " runs of 1 task, " +
                         std::to_string(again) +
                         " begun after its job was shown as completed";
    log.write(verdict);
    std::cout << verdict << '\n';
    return again == 0 ? exit_held : exit_broken;
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
