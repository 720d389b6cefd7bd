/// \file
/// A region loses the others: the entry VM that dispatches and two workers are
/// on one side, the store, the other workers and two more entry VMs on the
/// other.

#include "../standins/cluster.hpp"

#include <algorithm>
#include <atomic>

namespace jasminetrack::review
{
namespace
{

constexpr milliseconds task_ms = 60'000;
constexpr int tasks = 4;
/// Time after which the platform's list drops a silent worker: three
/// heartbeats.
constexpr milliseconds unlisted_after_ms = 4'500;
constexpr milliseconds cut_ms = 30'000;
constexpr milliseconds start_limit_ms = 15'000;
constexpr milliseconds after_cut_ms = 5'000;
constexpr std::size_t workers_on_first_side = 2;

/// \returns whether two runs of one task overlapped, both on workers that
/// were up.
bool find_overlap(std::vector<run_history> const& runs, record& log)
{
    bool found = false;
    auto const end_of = [](run_history const& r)
    { return r.ended_ms < 0 ? now_ms() : r.ended_ms; };
    for (auto const& a : runs)
        for (auto const& b : runs)
            if (a.task == b.task && a.run < b.run && b.begun_ms < end_of(a))
            {
                found = true;
                log.write("task " + a.task + ": run " + std::to_string(b.run) +
                          " on " + b.worker + " began " +
                          std::to_string(end_of(a) - b.begun_ms) +
                          " ms before the end of run " + std::to_string(a.run) +
                          " on " + a.worker);
            }
    return found;
}

std::optional<bool> run(cluster& c, record& log, bool trouble)
{
    auto& first = *c.vms().front();
    auto const peer_links = c.make_peer_links(first);
    first.start();
    if (!c.await_dispatcher(start_limit_ms))
        return std::nullopt;
    for (std::size_t i = 1; i < c.vms().size(); ++i)
        c.vms()[i]->start();
    if (!c.await_ready(start_limit_ms) || !first.is_dispatcher())
        return std::nullopt;
    sleep_ms(contact_ms);
    if (c.submit(first, job_id(1), task_ms, one_step(tasks)).status != 200)
        return std::nullopt;
    sleep_ms(2'000);
    auto const begun = c.runs().all();
    if (begun.size() != tasks)
        return std::nullopt;
    for (auto const& r : begun)
        if (r.worker != begun.front().worker)
            return std::nullopt; // the sides are chosen by one worker

    // The workers of the first side: the one with the tasks and one more.
    std::atomic<bool> is_cut{false};
    std::vector<std::string> near{begun.front().worker};
    for (auto const& w : c.workers())
        if (w->id() != near.front() && near.size() < workers_on_first_side)
            near.push_back(w->id());
    std::int64_t const first_token = begun.front().token;
    for (auto& w : c.workers())
    {
        bool const is_near = std::count(near.begin(), near.end(), w->id()) > 0;
        w->set_chooser(
            [&is_cut, is_near, first_token](std::string const&,
                                            std::int64_t token)
            {
                bool const reaches = (token == first_token) == is_near;
                return is_cut && !reaches ? worker_action::mute
                                          : worker_action::serve;
            });
    }
    if (trouble)
    {
        is_cut = true;
        first.store_link().cut(true);
        for (auto const& link : peer_links)
            link->cut(true);
        log.write("the region of " + first.name() + ", " + near[0] + " and " +
                  near[1] + " is cut off from the others");
        sleep_ms(unlisted_after_ms);
        for (auto const& id : near)
            c.store().put("keyed.servers", id, "");
        log.write("their entries in the platform's list expire");
    }
    sleep_ms(cut_ms - unlisted_after_ms);
    log.write("the cut ends");
    is_cut = false;
    first.store_link().cut(false);
    for (auto const& link : peer_links)
        link->cut(false);
    if (trouble)
        for (auto const& w : c.workers())
            if (std::count(near.begin(), near.end(), w->id()) > 0)
                c.store().put("keyed.servers", w->id(), w->list_entry());
    sleep_ms(after_cut_ms);
    (void)c.state(*c.vms().back(), job_id(1));
    return find_overlap(c.runs().all(), log);
}

} // namespace
} // namespace jasminetrack::review

int main(int argc, char** argv)
{
    using namespace jasminetrack::review;
    return run_case(argc, argv, {run, 3, 4, false});
}
