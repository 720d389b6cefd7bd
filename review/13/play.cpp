/// \file
/// A new version of the configuration removes a route and adds another one with
/// the same host and path, while a job that was accepted has a step to come.

#include <review/standins-3/deployment.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace
{

using namespace jasminetrack::review3;
using nlohmann::json;

constexpr int vm_count = 3;
constexpr int worker_count = 8;
constexpr milliseconds step_ms = 6'000; ///< of the first step
constexpr int tasks = 4;                ///< of each step
/// LOST: a job may have nothing running for this long.
constexpr milliseconds standstill_ms = 3'000;
constexpr milliseconds poll_ms = 100;
constexpr char const* prefix = "/plans/";

std::string two_steps()
{
    json const first{{"count", tasks},
                     {"cpu", 500},
                     {"mem_mb", 256},
                     {"est_runtime_ms", step_ms}};
    json const second{{"count", tasks},
                      {"cpu", 500},
                      {"mem_mb", 256},
                      {"est_runtime_ms", 1'000},
                      {"after", {0}}};
    json const job{{"spec", std::to_string(step_ms) + ",1000"},
                   {"steps", {first, second}}};
    return job.dump();
}

/// \returns how many tasks of the step have ended as done.
int done_of(std::vector<run_record> const& runs, int step)
{
    return static_cast<int>(std::count_if(
        runs.begin(), runs.end(),
        [&](run_record const& r)
        {
            return r.how == "done" && r.task.find(".0." + std::to_string(step) +
                                                  ".") != std::string::npos;
        }));
}

/// \returns how many tasks of the step have begun.
int begun_of(std::vector<run_record> const& runs, int step)
{
    return static_cast<int>(std::count_if(
        runs.begin(), runs.end(),
        [&](run_record const& r)
        {
            return r.task.find(".0." + std::to_string(step) + ".") !=
                   std::string::npos;
        }));
}

int play(std::string const& dir, record_file& out)
{
    deployment d(vm_count, worker_count, dir, out);
    std::vector<std::string> const keys{deployment::default_key};
    d.configure({{"plans", prefix, 3}, {"other", "/other/", 3}}, keys);
    if (!d.start())
        return exit_not_run;
    sleep_ms(contact_ms);
    auto const id = job_id(1);
    if (d.call_vm(*d.vms()[0], "POST", prefix + id, two_steps()).status != 200)
        return exit_not_run;
    auto const begun_by = now_ms() + 5'000;
    while (begun_of(d.runs().of_job(id), 0) < tasks)
    {
        if (now_ms() > begun_by)
            return exit_not_run;
        sleep_ms(poll_ms);
    }
    auto const* const name = has_trouble() ? "plans-b" : "plans";
    d.configure({{name, prefix, 3}, {"other", "/other/", 3}}, keys);
    auto const first_by = now_ms() + step_ms + 4'000;
    while (done_of(d.runs().of_job(id), 0) < tasks)
    {
        if (now_ms() > first_by)
            return exit_not_run;
        sleep_ms(poll_ms);
    }
    out.write("all tasks of step 0 have ended as done; the turn of step 1 has "
              "come, nothing else runs on " +
              std::to_string(worker_count) + " workers");
    auto const turn = now_ms();
    // The traffic ended with the job's submission, longer ago than this.
    while (now_ms() - turn < finish_ms + standstill_ms &&
           begun_of(d.runs().of_job(id), 1) == 0)
    {
        sleep_ms(1'000);
        (void)d.call_vm(*d.vms()[1], "GET", prefix + id, "");
    }
    auto const waited = now_ms() - turn;
    bool const stands = begun_of(d.runs().of_job(id), 1) == 0;
    out.write("result: " + (stands ? "nothing of the job has run for " +
                                         std::to_string(waited) + " ms"
                                   : "step 1 begun after " +
                                         std::to_string(waited) + " ms"));
    return stands ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return exit_not_run;
    record_file out(argv[2]);
    try
    {
        return play(argv[1], out);
    }
    catch (std::exception const& e)
    {
        out.write(std::string("cannot run: ") + e.what());
        std::cerr << e.what() << '\n';
        return exit_not_run;
    }
}
