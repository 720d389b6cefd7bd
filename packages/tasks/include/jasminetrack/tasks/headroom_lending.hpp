#pragma once
/// \file
/// Decides which work of lower priorities may start within the headroom for
/// urgent work. Load: urgent work that comes in bursts and in waves with a
/// period of about 12 s, beside long work with and without checkpoints. Urgent
/// work that does not fit into the part that stays free has to wait for a stop.

#include <jasminetrack/tasks/model.hpp>

#include <deque>
#include <optional>
#include <string>

namespace jasminetrack::tasks
{

/// Recent changes of the accelerators that urgent work uses in one service.
/// Times are on one monotonic clock and do not decrease.
class urgent_history
{
public:
    /// \param stop_ms  the time of a stop, over which growth is measured
    explicit urgent_history(milliseconds stop_ms) : stop_ms_(stop_ms) {}

    /// Records the accelerators that urgent work holds or has reserved.
    void record(milliseconds now, std::int64_t in_use);

    /// \returns the largest recent growth of the use within the time of a stop.
    [[nodiscard]] std::int64_t growth(milliseconds now) const noexcept;
    /// \returns the time until the next peak is expected, 0 if one is under way
    /// or due; nothing if there were too few peaks to tell.
    [[nodiscard]] std::optional<milliseconds>
    next_peak(milliseconds now) const noexcept;

private:
    /// Use during a short interval.
    struct interval
    {
        milliseconds begin = 0;
        std::int64_t min = 0;
        std::int64_t max = 0;
        std::int64_t last = 0;
        std::int64_t growth = 0; ///< largest that ended in the interval
    };

    void add(milliseconds now, std::int64_t in_use);
    [[nodiscard]] std::int64_t growth_to(milliseconds now,
                                         std::int64_t in_use) const noexcept;
    void track_peaks(milliseconds now, std::int64_t in_use);

    milliseconds stop_ms_;
    std::deque<interval> intervals_; ///< oldest first
    std::deque<milliseconds> peaks_; ///< when they began, oldest first
    milliseconds high_at_ = -1;      ///< latest time in a peak; -1: never
    bool is_high_ = false;           ///< a peak is under way
};

/// Headroom of one service at one moment, in accelerators.
struct headroom_state
{
    std::int64_t headroom = 0; ///< to leave free beyond urgent use
    std::int64_t growth = 0;   ///< of urgent use within the time of a stop
    std::int64_t free = 0;     ///< neither used nor reserved
    std::int64_t lent = 0;     ///< held by earlier work within the headroom
    /// Time until the next peak of urgent use; nothing: not known.
    std::optional<milliseconds> next_peak_ms;

    friend bool operator==(headroom_state const&,
                           headroom_state const&) = default;
};

/// A unit that may only start within the headroom.
struct lending_unit
{
    std::int64_t priority = 0;
    std::int64_t accelerators = 0; ///< of all its tasks
    bool lasting = false;
    bool checkpoints = false;
    milliseconds estimate_ms = 0; ///< duration of one task

    friend bool operator==(lending_unit const&, lending_unit const&) = default;
};

enum class lending_reason : std::uint8_t
{
    // allowed
    checkpoints,      ///< a stop costs only a restart
    ends_before_peak, ///< even if it takes twice its estimate
                      // refused
    urgent,           ///< urgent work needs no lending
    not_stoppable,    ///< lasting work is never stopped
    reserve,          ///< too little would stay free
    lent_already,     ///< earlier work holds what can be lent
    no_history,       ///< no checkpoints, and the next peak is not known
    too_long,         ///< no checkpoints, and it may last into the next peak
};

[[nodiscard]] char const* to_text(lending_reason reason) noexcept;

struct lending_verdict
{
    bool allowed = false;
    lending_reason reason = lending_reason::reserve;
    std::int64_t reserve = 0; ///< accelerators that stay free

    friend bool operator==(lending_verdict const&,
                           lending_verdict const&) = default;
};

[[nodiscard]] lending_verdict decide_lending(headroom_state const& state,
                                             lending_unit const& unit) noexcept;

/// \returns "key=value" fields of a decision with its inputs.
[[nodiscard]] std::string to_text(headroom_state const& state,
                                  lending_unit const& unit,
                                  lending_verdict const& verdict);

} // namespace jasminetrack::tasks
