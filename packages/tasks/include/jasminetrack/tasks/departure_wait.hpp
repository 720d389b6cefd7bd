#pragma once
/// \file
/// Whether a gang waits until a wave of departures is over, as it would
/// probably lose a worker and run again. Handles load where many workers leave
/// within seconds while wide gangs of 10 to 30 s wait beside small work.

#include <jasminetrack/tasks/worker_view.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// What the decision about one gang depends on.
struct departure_wait_terms
{
    double chance = 1;           ///< to complete before a worker of it leaves
    bool going_on = false;       ///< departures of its service continue
    bool urgent = false;         ///< has the highest priority
    bool checkpoints = false;    ///< it loses little if a worker leaves
    bool service_in_use = false; ///< so that waits by choice are permitted
    bool room_is_wanted = false; ///< other waiting work can use the room
    milliseconds spare_ms = 0;   ///< time after which its job would expire

    friend bool operator==(departure_wait_terms const&,
                           departure_wait_terms const&) = default;
};

enum class departure_wait_reason : std::uint8_t
{
    no_departures,
    likely_to_complete,
    exempt, ///< urgent, or keeps its progress
    service_idle,
    room_not_wanted,
    waited_long, ///< or its job would expire
    waits,
};

[[nodiscard]] char const* to_text(departure_wait_reason r) noexcept;

/// \param waited_ms  for departures, since the unit could first have run
[[nodiscard]] departure_wait_reason judge_wait(departure_wait_terms const& t,
                                               milliseconds waited_ms) noexcept;

/// The gangs that wait for departures, and since when.
class departure_waits
{
public:
    /// Called in each pass in which the unit could run.
    [[nodiscard]] departure_wait_reason
    judge(milliseconds now, unit_ref const& ref, departure_wait_terms const& t);
    /// The unit runs, or its job has ended.
    void erase(unit_ref const& ref);
    void erase_job(std::string const& job);
    /// \returns whether the unit waits by the newest verdict.
    [[nodiscard]] bool is_waiting(unit_ref const& ref) const;

private:
    struct wait
    {
        milliseconds since = 0;
        bool waits = false; ///< by the newest verdict
    };

    std::map<unit_ref, wait> waits_;
};

} // namespace jasminetrack::tasks
