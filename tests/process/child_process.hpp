#pragma once
/// \file
/// A child process that a test starts, signals and kills.

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace process_tests
{

/// Killed with SIGKILL on destruction.
class child_process
{
public:
    /// \param command  path of the program and its arguments
    /// \param output   file that standard error is appended to
    /// \param with_standard_output  whether standard output is appended, too
    /// \throws std::runtime_error if the program cannot be started
    child_process(std::vector<std::string> const& command,
                  std::string const& output, bool with_standard_output = false);
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
    /// \returns the largest resident size so far; 0 if the process has ended.
    [[nodiscard]] std::int64_t peak_memory_kb() const;
    void signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Waits for the end.
    /// \returns the exit code, or 128 + n after signal n.
    int wait();
    /// \returns whether the process has ended; `code` is then set as by wait().
    bool poll_exit(int& code);

private:
    [[nodiscard]] static int exit_code_of(int status);

    pid_t pid_ = -1;
};

} // namespace process_tests
