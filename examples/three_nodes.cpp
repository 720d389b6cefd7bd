/// \file
/// Three nodes driven by hand: no network, no threads, no clock. One of them
/// claims a region; when it falls silent another one takes it over.

#include <jasminetrack/core/node.hpp>

#include <cstdio>
#include <vector>

using namespace jasminetrack::core;

namespace
{

/// What the three nodes share: a log in memory and a clock.
struct simulation
{
    std::vector<node> nodes;
    std::vector<log_entry> log;
    std::uint64_t sequence = 0;
    milliseconds now = 0;

    void deliver(node& to, event const& e)
    {
        for (auto const& a : to.step(now, e))
            if (auto const* append = std::get_if<append_action>(&a))
                log.push_back({log.size(), now, to.settings().incarnation,
                               ++sequence, append->body});
    }

    /// One round of 50 ms for the nodes from `first` on.
    void run_round(std::size_t first)
    {
        now += 50;
        worker const w{"w0", "bern", "rack0", "10.0.0.9:7000",
                       8,    64000,  256000,  worker_condition::live};
        for (std::size_t i = first; i < nodes.size(); ++i)
        {
            auto& n = nodes[i];
            deliver(n, log_entries_event{log});
            deliver(n, log_caught_up_event{log.size(), now});
            deliver(n, vm_list_event{{w}});
            for (std::size_t k = first; k < nodes.size(); ++k)
                if (k != i)
                    deliver(n, peer_event{nodes[k].settings().name,
                                          nodes[k].settings().incarnation,
                                          "bern", 0, false});
            deliver(n, tick_event{});
        }
    }

    [[nodiscard]] ownership owner() const
    {
        auto const& owners = nodes.back().state().owners;
        return owners.count("bern") == 0 ? ownership{} : owners.at("bern");
    }
};

} // namespace

int main()
{
    simulation t;
    for (char const* name : {"a", "b", "c"})
        t.nodes.emplace_back(
            node_settings{name, std::string(name) + "-1", "bern", {}, {}});
    while (t.owner().holder.empty())
        t.run_round(0);
    auto const first = t.owner();
    std::printf("after %lld ms %s owns bern, epoch %llu\n",
                static_cast<long long>(t.now), first.holder.c_str(),
                static_cast<unsigned long long>(first.epoch));

    // The owner falls silent: only the nodes behind it go on.
    std::size_t const rest = first.holder == "a" ? 1 : 0;
    if (rest == 0)
        std::swap(t.nodes[0], t.nodes[first.holder == "b" ? 1 : 2]);
    while (t.owner().holder == first.holder)
        t.run_round(1);
    std::printf("after %lld ms %s owns it, epoch %llu\n",
                static_cast<long long>(t.now), t.owner().holder.c_str(),
                static_cast<unsigned long long>(t.owner().epoch));
    return 0;
}
