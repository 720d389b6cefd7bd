/// \file
/// The store goes down while it carries out an append: the answer is lost as
/// the connection is reset, and the calls of the next seconds get 503.

#include "../standins/cluster.hpp"

#include <atomic>

namespace jasminetrack::review
{
namespace
{

constexpr int warm_up_jobs = 8;
constexpr milliseconds outage_ms = 2'500;
constexpr milliseconds task_ms = 1'000;

/// The store's state in this case.
struct outage
{
    std::string begins_with; ///< key of the record whose append begins it
    std::atomic<bool> begun{false};
    std::atomic<bool> over{false};

    store_action choose(store_call const& call)
    {
        if (begun)
            return over ? store_action::serve : store_action::refuse;
        for (auto const& key : call.keys)
            if (key == begins_with)
            {
                begun = true;
                return store_action::lose_answer;
            }
        return store_action::serve;
    }
};

/// \returns the number of VMs that answer that there is no such job.
int count_gone(cluster& c, std::string const& id)
{
    int gone = 0;
    for (auto const& vm : c.vms())
        gone += c.state(*vm, id).status == 410 ? 1 : 0;
    return gone;
}

std::optional<bool> run(cluster& c, record& log, bool trouble)
{
    auto& vm = *c.vms().front();
    int number = 1;
    for (; number <= warm_up_jobs; ++number)
        if (c.submit(vm, job_id(number), task_ms, one_step(1)).status != 200)
            return std::nullopt;
    auto const refused = job_id(number++);
    outage state{refused};
    if (trouble)
        c.store().set_chooser([&state](store_call const& call)
                              { return state.choose(call); });
    auto const first = c.submit(vm, refused, task_ms, one_step(1));
    log.write("the first answer was " + std::to_string(first.status));
    sleep_ms(outage_ms);
    state.over = true;
    log.write("the store serves again");

    client_answer accepted;
    std::string id;
    for (int i = 0; i < 20 && accepted.status != 200; ++i)
    {
        id = job_id(number++);
        accepted = c.submit(vm, id, task_ms, one_step(1));
        sleep_ms(100);
    }
    c.store().set_chooser([](store_call const&)
                          { return store_action::serve; });
    if (accepted.status != 200)
        return std::nullopt;

    sleep_ms(contact_ms + visible_ms + finish_ms);
    bool started = false;
    bool refused_ran = false;
    for (auto const& r : c.runs().all())
    {
        started = started || r.task.starts_with(id);
        refused_ran = refused_ran || r.task.starts_with(refused);
    }
    int const gone = count_gone(c, id);
    log.write("accepted job " + id + ": " + std::to_string(gone) +
              " VMs answer that there is no such job; " +
              (started ? "it has run" : "it has not run") +
              (c.store().contains("keyed.jobs", id) ? "; it is stored"
                                                    : "; it is not stored"));
    log.write("job " + refused + ", first answer " +
              std::to_string(first.status) +
              (refused_ran ? ": it has run" : ": it has not run"));
    return gone > 0;
}

} // namespace
} // namespace jasminetrack::review

int main(int argc, char** argv)
{
    using namespace jasminetrack::review;
    return run_case(argc, argv, {run, 3, 4, true});
}
