#pragma once
/// \file
/// Shares of a processor core for the entry VMs, by signals.

#include <standins/cluster.hpp>

#include <atomic>
#include <thread>

namespace jasminetrack::soak
{

/// Lets each entry VM run for a part of each period only, in turn.
class processor_shares
{
public:
    explicit processor_shares(standins::cluster& c);
    ~processor_shares();
    processor_shares(processor_shares const&) = delete;
    processor_shares& operator=(processor_shares const&) = delete;

private:
    void run();

    standins::cluster& cluster_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace jasminetrack::soak
