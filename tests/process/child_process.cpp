#include "child_process.hpp"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

namespace process_tests
{

child_process::child_process(std::vector<std::string> const& command,
                             std::string const& output,
                             bool with_standard_output)
{
    std::vector<char*> arguments;
    for (auto const& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (with_standard_output)
        posix_spawn_file_actions_adddup2(&files, 2, 1);
    int const code = posix_spawn(&pid_, arguments[0], &files, nullptr,
                                 arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (code != 0)
        throw std::runtime_error("cannot start " + command[0] + ": " +
                                 std::strerror(code));
}

child_process::~child_process()
{
    kill();
}

std::int64_t child_process::peak_memory_kb() const
{
    std::string const mark = "VmHWM:";
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(mark))
            return std::stoll(line.substr(mark.size()));
    return 0;
}

void child_process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void child_process::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    (void)wait();
}

int child_process::wait()
{
    if (pid_ <= 0)
        return 0;
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return exit_code_of(status);
}

bool child_process::poll_exit(int& code)
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return false;
    pid_ = -1;
    code = exit_code_of(status);
    return true;
}

int child_process::exit_code_of(int status)
{
    constexpr int signal_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_base + WTERMSIG(status);
}

} // namespace process_tests
