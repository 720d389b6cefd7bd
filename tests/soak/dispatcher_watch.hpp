#pragma once
/// \file
/// Finds the dispatcher by the logs of the entry VMs.

#include <standins/cluster.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace jasminetrack::soak
{

using standins::milliseconds;

/// Safe to use from several threads.
class dispatcher_watch
{
public:
    /// \param dir  folder with the logs of the entry VMs
    dispatcher_watch(standins::cluster& c, std::string dir);

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

    /// Reads what the log has got since; needs the lock.
    void read(std::string const& vm, log_state& state) const;

    standins::cluster& cluster_;
    std::string dir_;
    std::mutex mutex_;
    std::map<std::string, log_state> logs_;
};

} // namespace jasminetrack::soak
