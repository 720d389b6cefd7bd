/// \file
/// Drives three nodes without network, threads or clock. One of them claims a
/// region; when it stops, another one takes the region over.

#include <jasminetrack/core/node.hpp>

#include <cstdio>
#include <vector>

using namespace jasminetrack::core;

namespace
{

/// The nodes with a log in memory and a simulated clock.
struct simulation
{
    std::vector<node> nodes;
    std::vector<log_entry> log;
    std::uint64_t sequence = 0;
    milliseconds now = 0;

    /// Passes an event to a node and appends what the node stores.
    void deliver(node& to, event const& e)
    {
        for (auto const& a : to.step(now, e))
            if (auto const* append = std::get_if<append_action>(&a))
                log.push_back({log.size(), now, to.settings().incarnation,
                               ++sequence, append->body});
    }

    /// Advances the clock by 50 ms and runs the nodes from index `first` on.
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
            deliver(n, vm_list_event{{w}, {}});
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
    simulation sim;
    for (char const* name : {"a", "b", "c"})
        sim.nodes.emplace_back(
            node_settings{name, std::string(name) + "-1", "bern", {}, {}});
    while (sim.owner().holder.empty())
        sim.run_round(0);
    auto const first = sim.owner();
    std::printf("after %lld ms %s owns bern, epoch %llu\n",
                static_cast<long long>(sim.now), first.holder.c_str(),
                static_cast<unsigned long long>(first.epoch));

    // Stop the owner: move it to index 0 and run only the other nodes.
    bool const owner_is_first = first.holder == "a";
    if (!owner_is_first)
        std::swap(sim.nodes[0], sim.nodes[first.holder == "b" ? 1 : 2]);
    while (sim.owner().holder == first.holder)
        sim.run_round(1);
    std::printf("after %lld ms %s owns it, epoch %llu\n",
                static_cast<long long>(sim.now), sim.owner().holder.c_str(),
                static_cast<unsigned long long>(sim.owner().epoch));
    return 0;
}
