#include "child_process.hpp"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

namespace process_tests
{

child_process::child_process(std::vector<std::string> const& command,
                             std::string const& output)
{
    std::vector<char*> arguments;
    for (auto const& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
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
    constexpr int signal_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_base + WTERMSIG(status);
}

} // namespace process_tests
