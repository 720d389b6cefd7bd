#pragma once
/// \file
/// A small deployment on loopback addresses: entry VMs, each a process of the
/// product, with stand-ins for the platform's store and its workers.

#include "proxy.hpp"
#include "record.hpp"
#include "store.hpp"
#include "workers.hpp"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminetrack::review
{

/// Bounds of the site korkring, in milliseconds.
inline constexpr milliseconds contact_ms = 4'000;
inline constexpr milliseconds ack_ms = 5'000;
inline constexpr milliseconds visible_ms = 3'000;
inline constexpr milliseconds cancel_ms = 3'000;
inline constexpr milliseconds hold_max_ms = 10'000;
inline constexpr milliseconds finish_ms = 14'000;
/// Time that the clients wait for an answer.
inline constexpr milliseconds deadline_ms = 3'000;

/// One entry VM: a process of the product, and the proxies between it and
/// what it calls.
class entry_vm
{
public:
    /// \param store  address of the store
    /// \param dir    folder for its settings and its log
    entry_vm(std::string name, std::string const& store, std::string const& dir,
             record& log);
    ~entry_vm();

    /// \returns its node name.
    [[nodiscard]] std::string const& name() const noexcept
    {
        return name_;
    }
    /// \returns the address for callers.
    [[nodiscard]] std::string const& address() const noexcept
    {
        return address_;
    }
    /// \returns the address at which other entry VMs call it.
    [[nodiscard]] std::string const& mesh() const noexcept
    {
        return mesh_;
    }
    /// \returns the proxy between this VM and the store.
    [[nodiscard]] proxy& store_link() noexcept
    {
        return *store_link_;
    }
    /// Starts the process.
    void start();
    /// Kills the process.
    void kill();
    /// \returns whether its readiness check succeeds.
    [[nodiscard]] bool is_ready() const;
    /// \returns whether its metrics show that it dispatches.
    [[nodiscard]] bool is_dispatcher() const;

private:
    std::string name_;
    std::string dir_;
    record& log_;
    std::string address_;
    std::string ready_;
    std::string mesh_;
    std::unique_ptr<proxy> store_link_;
    pid_t pid_ = -1;
};

/// Answer to a client; the status is 0 if there was none in time.
struct client_answer
{
    int status = 0;
    std::string body;
};

class cluster
{
public:
    /// \param dir  folder for settings and logs of the processes
    cluster(int vms, int workers, std::string const& dir, record& log);
    ~cluster();

    /// \returns the stand-in for the platform's store.
    [[nodiscard]] review::store& store() noexcept
    {
        return *store_;
    }
    /// \returns the runs of all workers.
    [[nodiscard]] run_book& runs() noexcept
    {
        return runs_;
    }
    /// \returns the entry VMs, in the order of their names.
    [[nodiscard]] std::vector<std::unique_ptr<entry_vm>>& vms() noexcept
    {
        return vms_;
    }
    /// \returns the workers, in the order of their ids.
    [[nodiscard]] std::vector<std::unique_ptr<worker>>& workers() noexcept
    {
        return workers_;
    }
    /// Starts all processes and waits until all are ready and one dispatches.
    /// \returns false if that takes too long.
    [[nodiscard]] bool start();
    /// \returns whether all are ready within the time.
    [[nodiscard]] bool await_ready(milliseconds limit_ms);
    /// \returns the VM that dispatches, or nullptr.
    [[nodiscard]] entry_vm* dispatcher();
    /// \returns the VM that dispatches within the time, or nullptr.
    [[nodiscard]] entry_vm* await_dispatcher(milliseconds limit_ms);

    /// Puts proxies between the VM and the others. It has to know before the
    /// others start, as it learns their addresses through the store.
    [[nodiscard]] std::vector<std::unique_ptr<proxy>>
    make_peer_links(entry_vm& vm);

    /// Submits a job; `steps` is the JSON text of its steps.
    /// \param task_ms  time that each of its tasks takes
    client_answer submit(entry_vm const& at, std::string const& id,
                         milliseconds task_ms, std::string const& steps);
    /// Submits a job whose body the case makes.
    client_answer submit_body(entry_vm const& at, std::string const& id,
                              std::string const& body);
    /// Asks for the state of a job.
    client_answer state(entry_vm const& at, std::string const& id);
    /// Cancels a job.
    client_answer cancel(entry_vm const& at, std::string const& id);

private:
    [[nodiscard]] client_answer call(entry_vm const& at,
                                     std::string const& method,
                                     std::string const& id,
                                     std::string const& body);

    record& log_;
    run_book runs_;
    std::unique_ptr<review::store> store_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
};

/// \returns a job id of 16 hexadecimal digits.
[[nodiscard]] std::string job_id(int number);

/// The tasks of a job that takes one step of `count` tasks.
[[nodiscard]] std::string one_step(int count);

/// What a case runs, and in which deployment.
struct case_frame
{
    /// \returns whether the rule was broken; nothing if the case could not run.
    /// `trouble`: whether to cause the disruption
    std::optional<bool> (*run)(cluster& c, record& log, bool trouble);
    int vms = 3;
    int workers = 4;
    bool start_all = true; ///< false: the case starts the entry VMs itself
};

/// Prepares the record and the deployment, runs the case and reports the
/// result.
/// \param argv  folder of the case, folder for settings and logs
/// \returns the exit code of the script.
int run_case(int argc, char** argv, case_frame const& frame);

} // namespace jasminetrack::review
