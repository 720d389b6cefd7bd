#include "cluster_simulation.hpp"

#include <algorithm>

namespace support
{
namespace
{

/// One attempt of a gang, from the workers' records.
struct attempt
{
    std::map<int, milliseconds> prepared;
    std::map<int, milliseconds> started;
    std::map<int, milliseconds> ended;
    std::map<int, std::string> workers;
    int done = 0;
};

struct task_id
{
    core::job_id job;
    int attempt = 0;
    int member = 0;
};

task_id parse_task(std::string const& task)
{
    auto const first = task.find('.');
    auto const second = task.find('.', first + 1);
    return {task.substr(0, first),
            std::stoi(task.substr(first + 1, second - first - 1)),
            std::stoi(task.substr(second + 1))};
}

using attempts = std::map<core::job_id, std::map<int, attempt>>;

void end_tasks_of(attempts& all, standins::worker_event const& lost)
{
    for (auto& [job, by_number] : all)
        for (auto& [number, a] : by_number)
            for (auto const& [member, where] : a.workers)
                if (where == lost.worker)
                    a.ended.try_emplace(member, lost.at_ms);
}

attempts collect(std::vector<standins::worker_event> const& events)
{
    attempts all;
    for (auto const& e : events)
    {
        if (e.what == "lost")
        {
            end_tasks_of(all, e);
            continue;
        }
        auto const id = parse_task(e.task);
        auto& a = all[id.job][id.attempt];
        a.workers[id.member] = e.worker;
        if (e.what == "prepared")
            a.prepared[id.member] = e.at_ms;
        else if (e.what == "started")
            a.started[id.member] = e.at_ms;
        else if (e.what != "stopping")
            a.ended[id.member] = e.at_ms;
        if (e.what == "done")
            ++a.done;
    }
    return all;
}

void check_start(std::string const& name, attempt const& a, int members,
                 std::vector<std::string>& faults)
{
    if (a.started.empty())
        return;
    milliseconds first = a.started.begin()->second;
    for (auto const& [member, at] : a.started)
        first = std::min(first, at);
    if (static_cast<int>(a.prepared.size()) != members)
    {
        faults.push_back(name + " started with " +
                         std::to_string(a.prepared.size()) + " of " +
                         std::to_string(members) + " members prepared");
        return;
    }
    for (auto const& [member, at] : a.prepared)
        if (at > first)
            faults.push_back(name + " started before member " +
                             std::to_string(member) + " was prepared");
}

/// \returns the time during which members of the attempt ran.
std::pair<milliseconds, milliseconds> run_of(attempt const& a)
{
    milliseconds first = INT64_MAX;
    milliseconds last = 0;
    for (auto const& [member, at] : a.started)
    {
        first = std::min(first, at);
        auto const end = a.ended.find(member);
        last = std::max(last, end == a.ended.end() ? INT64_MAX : end->second);
    }
    return {first, last};
}

} // namespace

std::vector<std::string>
find_gang_faults(std::vector<standins::worker_event> const& events,
                 std::map<core::job_id, core::job> const& jobs)
{
    std::vector<std::string> faults;
    for (auto const& [job, by_number] : collect(events))
    {
        auto const known = jobs.find(job);
        if (known == jobs.end())
        {
            faults.push_back("job " + job + " ran but is not known");
            continue;
        }
        int const members = known->second.gang.members;
        int whole = 0;
        milliseconds busy_until = 0;
        for (auto const& [number, a] : by_number)
        {
            auto const name = job + "." + std::to_string(number);
            check_start(name, a, members, faults);
            if (a.started.empty())
                continue;
            auto const [first, last] = run_of(a);
            if (first < busy_until)
                faults.push_back(name + " ran while an earlier attempt ran");
            busy_until = std::max(busy_until, last);
            whole += a.done == members ? 1 : 0;
        }
        if (whole > 1)
            faults.push_back("job " + job + " was done twice");
    }
    return faults;
}

core::ticket simple_ticket(core::ticket_number number, std::string const& team,
                           std::string const& region, int count,
                           core::shape wanted)
{
    core::ticket t;
    t.number = number;
    t.author = "test";
    t.reason = "test";
    core::team who;
    who.name = team;
    if (count > 0)
        who.guarantees.push_back({region, wanted, count});
    t.objects.push_back(who);
    core::job_class spare{team + "-spare",
                          team,
                          region,
                          wanted,
                          core::capacity_source::spare,
                          true};
    t.objects.push_back(spare);
    if (count > 0)
    {
        core::job_class sure = spare;
        sure.name = team + "-sure";
        sure.draws_on = core::capacity_source::guarantee;
        t.objects.push_back(sure);
    }
    return t;
}

} // namespace support
