#pragma once
/// \file
/// A small deployment on loopback: the project's own program as entry VMs,
/// with stand-ins for the store, the workers and the clients.

#include "store.hpp"
#include "worker.hpp"

#include <fstream>
#include <sys/types.h>

namespace jasminetrack::review3
{

/// What a play saw: one line for each event, with the time since its begin.
class record_file
{
public:
    explicit record_file(std::string const& path);
    void write(std::string const& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    milliseconds begun_ms_;
};

/// \returns whether the play has its disruption: TROUBLE is not 0.
[[nodiscard]] bool has_trouble();

/// A route of the operator's configuration.
struct route
{
    std::string name;
    std::string prefix;
    std::int64_t max_attempts = 3;
    std::int64_t priority = 1;
};

/// A tenant of the operator's configuration.
struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed = 0; ///< accelerators
};

/// One entry VM: a process of the project's program.
class entry_vm
{
public:
    /// \param gate  address at which it reaches the store
    entry_vm(std::string name, std::string gate, std::string dir,
             record_file& out);
    ~entry_vm();

    [[nodiscard]] std::string const& name() const noexcept
    {
        return name_;
    }
    /// \returns the address for callers.
    [[nodiscard]] std::string const& address() const noexcept
    {
        return address_;
    }
    [[nodiscard]] std::string const& gate() const noexcept
    {
        return gate_;
    }
    /// \returns the address for other entry VMs.
    [[nodiscard]] std::string const& mesh() const noexcept
    {
        return mesh_;
    }
    void start();
    void kill();
    /// \returns whether the process runs.
    [[nodiscard]] bool is_alive();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_dispatcher() const;
    /// \returns the memory that the process alone holds, in MB; 0 if none
    /// runs.
    [[nodiscard]] std::int64_t memory_mb() const;

private:
    std::string name_;
    std::string gate_;
    std::string dir_;
    record_file& out_;
    std::string address_;
    std::string ready_;
    std::string mesh_;
    pid_t pid_ = -1;
};

class deployment
{
public:
    /// \param dir  folder for settings and logs of the processes
    deployment(int vms, int workers, std::string const& dir, record_file& out);
    ~deployment();

    /// Writes the configuration of the operator, as the next version.
    /// \param keys  those of the only tenant
    /// \returns its version.
    std::int64_t configure(std::vector<route> const& routes,
                           std::vector<std::string> const& keys);
    /// The same with several tenants.
    std::int64_t configure(std::vector<route> const& routes,
                           std::vector<tenant> const& tenants);
    /// Starts all VMs.
    /// \returns whether all are ready and one dispatches in time.
    [[nodiscard]] bool start();
    /// \returns whether all are ready and one dispatches within the time.
    [[nodiscard]] bool await_ready(milliseconds limit_ms);
    /// Adds a VM and starts it.
    entry_vm& add_vm();
    /// The VM is gone for good; calls to it hang, as to a machine without
    /// power.
    void remove_vm(std::size_t index);
    /// A client's call at the VM, written to the record.
    call_answer call_vm(entry_vm const& vm, std::string const& method,
                        std::string const& path, std::string const& body,
                        std::string const& key = default_key);

    [[nodiscard]] std::vector<std::unique_ptr<entry_vm>>& vms() noexcept
    {
        return vms_;
    }
    [[nodiscard]] std::vector<std::unique_ptr<worker>>& workers() noexcept
    {
        return workers_;
    }
    [[nodiscard]] std::vector<std::unique_ptr<link>>& links() noexcept
    {
        return links_;
    }
    [[nodiscard]] store& log() noexcept
    {
        return store_;
    }
    [[nodiscard]] run_list& runs() noexcept
    {
        return runs_;
    }

    static constexpr char const* default_key = "key-of-zeildoek";
    static constexpr milliseconds deadline_ms = 3'000;

private:
    std::string dir_;
    record_file& out_;
    run_list runs_;
    store store_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<link>> links_; ///< to the workers
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::vector<std::unique_ptr<server>> gone_; ///< that return nothing
    int named_ = 0;
    std::int64_t version_ = 0;
};

/// \returns a job id of 16 hexadecimal digits.
[[nodiscard]] std::string job_id(int number);

/// Bounds of the site zhg-tentwerk, in milliseconds.
inline constexpr milliseconds contact_ms = 4'000;
inline constexpr milliseconds ack_ms = 5'000;
inline constexpr milliseconds config_apply_ms = 2'500;
inline constexpr milliseconds max_skew_ms = 6'000;
inline constexpr milliseconds finish_ms = 14'000;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

} // namespace jasminetrack::review3
