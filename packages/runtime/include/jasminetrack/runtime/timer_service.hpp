#pragma once
/// \file
/// Clocks, and periodic timers that share one thread.

#include <cstdint>
#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// \returns milliseconds of a monotonic clock that goes on while the machine is
/// suspended. Timers do not, so they fire late after that.
[[nodiscard]] std::int64_t monotonic_ms() noexcept;
/// \returns milliseconds since 1970 by the system clock, which may be set
/// back.
[[nodiscard]] std::int64_t wall_ms() noexcept;

/// Calls its subscribers periodically on a single thread. A callback that
/// takes long delays the others.
class timer_service
{
public:
    timer_service();
    ~timer_service();

    /// Calls `callback` `period_ms` after now and after the end of each call,
    /// until the service is stopped.
    void subscribe(std::int64_t period_ms, std::function<void()> callback);
    /// Stops the timers. Once it returns, no callback is running and none will
    /// be called.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
