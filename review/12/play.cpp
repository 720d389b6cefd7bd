/// \file
/// One tenant's job of priority 0 uses accelerators that are idle, beyond what
/// that tenant is guaranteed. Then another tenant asks for its guarantee.

#include <review/standins-3/deployment.hpp>

#include <nlohmann/json.hpp>

#include <iostream>

namespace
{

using namespace jasminetrack::review3;
using nlohmann::json;

constexpr int vm_count = 3;
constexpr int worker_count = 8;
constexpr int accelerators = 8; ///< of a worker
/// Of the owner; all guarantees together are 0.25 of the accelerators, where
/// the site file has 0.62.
constexpr int guaranteed = 16;
/// They come within a second: the site's bursts of this class are of up to 2.3
/// times 3 a second.
constexpr int borrowing_jobs = 4;
constexpr int urgent_tasks = 2; ///< with all accelerators of a worker each
constexpr milliseconds reclaim_ms = 2'900;
constexpr milliseconds watched_ms = 40'000;
constexpr milliseconds poll_ms = 50;
constexpr char const* urgent_prefix = "/measures/";
constexpr char const* other_prefix = "/plans/";
constexpr char const* owner_key = "key-of-the-owner";
constexpr char const* other_key = "key-of-the-other";

/// \returns a job that uses all accelerators, within the site's figures for its
/// urgent class: up to 18 tasks of up to 8 s with up to 8 accelerators.
std::string borrowing_job()
{
    json const step{{"count", worker_count},
                    {"cpu", 7'500},
                    {"mem_mb", 15'000},
                    {"gpu", accelerators},
                    {"est_runtime_ms", 8'000}};
    json const job{{"spec", "8000"}, {"steps", {step}}};
    return job.dump();
}

std::string urgent_job()
{
    json const step{{"count", urgent_tasks},
                    {"cpu", 7'500},
                    {"mem_mb", 15'000},
                    {"gpu", accelerators},
                    {"est_runtime_ms", 2'500}};
    json const job{{"spec", "2500"}, {"steps", {step}}};
    return job.dump();
}

bool await_runs(deployment& d, std::string const& id, std::size_t count,
                milliseconds limit_ms)
{
    auto const until = now_ms() + limit_ms;
    while (d.runs().of_job(id).size() < count)
    {
        if (now_ms() > until)
            return false;
        sleep_ms(poll_ms);
    }
    return true;
}

int play(std::string const& dir, record_file& out)
{
    deployment d(vm_count, worker_count, dir, out);
    // TROUBLE=0: the other tenant's job is of priority 1.
    d.configure({{"measures", urgent_prefix, 3, 0},
                 {"plans", other_prefix, 3, has_trouble() ? 0 : 1}},
                std::vector<tenant>{{"owner", {owner_key}, guaranteed},
                                    {"other", {other_key}, 0}});
    if (!d.start())
        return exit_not_run;
    sleep_ms(contact_ms);
    for (int i = 0; i < borrowing_jobs; ++i)
        if (d.call_vm(*d.vms()[0], "POST", other_prefix + job_id(0x10 + i),
                      borrowing_job(), other_key)
                .status != 200)
            return exit_not_run;
    if (!await_runs(d, job_id(0x10), worker_count, 10'000))
        return exit_not_run;
    out.write("tasks of the other tenant use all accelerators");
    auto const urgent = job_id(2);
    if (d.call_vm(*d.vms()[1], "POST", urgent_prefix + urgent, urgent_job(),
                  owner_key)
            .status != 200)
        return exit_not_run;
    auto const acknowledged = now_ms();
    bool const begun = await_runs(d, urgent, urgent_tasks, watched_ms);
    auto const waited = now_ms() - acknowledged;
    (void)d.call_vm(*d.vms()[1], "GET", urgent_prefix + urgent, "", owner_key);
    out.write("result: the guaranteed job " +
              std::string(begun ? "has begun all its tasks after "
                                : "has not begun all its tasks after ") +
              std::to_string(waited) + " ms; " + std::to_string(reclaim_ms) +
              " ms are allowed");
    return waited > reclaim_ms ? exit_broken : exit_held;
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
