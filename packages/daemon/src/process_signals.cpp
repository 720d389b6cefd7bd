#include "process_signals.hpp"

#include <csignal>
#include <ctime>

namespace jasminetrack::daemon
{
namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t handled_signals()
{
    auto set = stop_signals();
    sigaddset(&set, SIGHUP);
    return set;
}

bool take_pending_stop()
{
    auto const set = stop_signals();
    timespec const no_wait{};
    return sigtimedwait(&set, nullptr, &no_wait) > 0;
}

} // namespace

void block_signals()
{
    auto const set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop(std::function<void()> const& on_hangup)
{
    auto const set = handled_signals();
    // Of several pending signals sigwait() returns SIGHUP first, so a stop
    // might wait for as long as SIGHUP is repeated.
    while (!take_pending_stop())
    {
        int caught = 0;
        sigwait(&set, &caught);
        if (caught != SIGHUP)
            return;
        on_hangup();
    }
}

} // namespace jasminetrack::daemon
