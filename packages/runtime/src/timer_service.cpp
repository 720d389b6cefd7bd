#include <jasminetrack/runtime/timer_service.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <thread>

#include <time.h>

namespace jasminetrack::runtime
{
namespace
{

namespace asio = boost::asio;

/// A subscription. The handler of its timer owns it, so it lives while the
/// timer is set.
struct subscription : std::enable_shared_from_this<subscription>
{
    subscription(asio::io_context& context, std::int64_t ms,
                 std::function<void()> f)
        : timer(context), period(ms), callback(std::move(f))
    {
    }

    void schedule()
    {
        timer.expires_after(period);
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code code)
            {
                if (code)
                    return;
                self->callback();
                self->schedule();
            });
    }

    asio::steady_timer timer;
    std::chrono::milliseconds period;
    std::function<void()> callback;
};

} // namespace

struct timer_service::impl
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{
        context.get_executor()};
    std::thread thread{[this] { context.run(); }};
};

timer_service::timer_service() : impl_(std::make_unique<impl>()) {}

timer_service::~timer_service()
{
    stop();
}

void timer_service::subscribe(std::int64_t period_ms,
                              std::function<void()> callback)
{
    std::make_shared<subscription>(impl_->context, period_ms,
                                   std::move(callback))
        ->schedule();
}

void timer_service::stop()
{
    impl_->context.stop();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

/// A lease or a role goes on to age while the machine is suspended, which
/// `std::chrono::steady_clock` does not count.
std::int64_t monotonic_ms() noexcept
{
    using namespace std::chrono;
    timespec now{};
    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return duration_cast<milliseconds>(seconds(now.tv_sec) +
                                       nanoseconds(now.tv_nsec))
        .count();
}

std::int64_t wall_ms() noexcept
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

} // namespace jasminetrack::runtime
