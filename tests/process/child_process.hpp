#pragma once
/// \file
/// A process that a test starts, pauses and kills.

#include <string>
#include <vector>

#include <sys/types.h>

namespace process_tests
{

class child_process
{
public:
    /// \param output file that standard error goes to
    child_process(std::vector<std::string> const& command,
                  std::string const& output);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    [[nodiscard]] bool running() const noexcept
    {
        return pid_ > 0;
    }
    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }
    void signal(int number) const;
    /// SIGKILL, then waits.
    void kill();
    /// Waits for the end. \returns its exit code, 128 + n for signal n.
    int wait();

private:
    pid_t pid_ = -1;
};

} // namespace process_tests
