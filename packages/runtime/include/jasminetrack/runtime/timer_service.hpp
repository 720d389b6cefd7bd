#pragma once
/// \file
/// Time: parts subscribe to be called at intervals.

#include <cstdint>
#include <functional>
#include <memory>

namespace jasminetrack::runtime
{

/// \returns milliseconds of a clock that never goes back.
[[nodiscard]] std::int64_t monotonic_ms() noexcept;
/// \returns milliseconds since 1970.
[[nodiscard]] std::int64_t wall_ms() noexcept;

/// Calls its subscribers from one thread of its own.
class timer_service
{
public:
    timer_service();
    ~timer_service();

    /// Calls `callback` every `period_ms` until the service stops.
    void subscribe(std::int64_t period_ms, std::function<void()> callback);
    /// No subscriber is called any more once this has returned.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
