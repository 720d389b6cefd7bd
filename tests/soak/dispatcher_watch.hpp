#pragma once
/// \file
/// Finds the dispatcher by the logs of the entry VMs.

#include <standins/cluster.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace jasminetrack::soak
{

using standins::milliseconds;

/// Safe to use from several threads.
class dispatcher_watch
{
public:
    /// \param dir  folder with the logs of the entry VMs
    dispatcher_watch(standins::cluster& c, std::string dir);
    ~dispatcher_watch();

    /// Notes take-overs from now on.
    void start();
    /// \returns when VMs took the role, since start().
    [[nodiscard]] std::vector<milliseconds> takeovers();
    /// \returns the VM that took the role last; nullptr if none has.
    [[nodiscard]] standins::entry_vm* dispatcher();
    /// \returns the highest epoch of a role that a VM has taken.
    [[nodiscard]] std::int64_t epoch();
    /// \returns the VM that logs the next placement; nullptr if none does
    /// within the time.
    [[nodiscard]] standins::entry_vm* await_placing(milliseconds limit_ms);

private:
    struct log_state
    {
        std::int64_t offset = 0;
        std::int64_t epoch = 0; ///< of the role that it took last
        int placements = 0;
    };

    void note_takeovers();
    /// Reads what the log has got since; needs the lock.
    void read(std::string const& vm, log_state& state) const;

    standins::cluster& cluster_;
    std::string dir_;
    std::mutex mutex_;
    std::map<std::string, log_state> logs_;
    std::vector<milliseconds> takeovers_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace jasminetrack::soak
