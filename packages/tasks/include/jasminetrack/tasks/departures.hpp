#pragma once
/// \file
/// How often the workers of a service leave, as seen in the platform's list.
/// Handles load where workers are taken away at short notice, many at a time,
/// or are replaced one after the other. If no departures were seen lately,
/// nothing is expected and no worker is preferred.

#include <jasminetrack/tasks/orders.hpp>

#include <map>
#include <string>

namespace jasminetrack::tasks
{

/// The departures of each service. Their weight decays, so that an estimate
/// follows the last half minute. A successor starts without any.
class departures
{
public:
    /// A worker began to drain, or was lost without that.
    void record(milliseconds now, worker_info const& w);

    /// \param workers  of the service, now
    /// \returns departures per worker and second.
    [[nodiscard]] double rate(milliseconds now, std::string const& service,
                              std::int64_t workers) const;
    /// \param exposed  workers of which none must leave
    /// \returns the probability that a unit on them completes, from 0 to 1.
    [[nodiscard]] double chance_to_complete(milliseconds now,
                                            std::string const& service,
                                            std::int64_t workers,
                                            std::int64_t exposed,
                                            milliseconds duration) const;
    [[nodiscard]] double per_minute(milliseconds now,
                                    std::string const& service) const;
    /// \returns whether further workers are likely to follow those that left.
    [[nodiscard]] bool are_going_on(milliseconds now,
                                    std::string const& service) const;
    /// \returns whether the worker has replaced another one in a rolling
    /// replacement that goes on: it runs another version than the workers that
    /// leave and started after all of them.
    [[nodiscard]] bool is_replacement(milliseconds now,
                                      worker_info const& w) const;
    /// \param wall  wall-clock time, milliseconds since 1970
    /// \returns how likely the worker is to leave, compared to others of its
    /// service; lower is less likely. 0 while no departures are known.
    [[nodiscard]] std::int64_t rank(milliseconds now, milliseconds wall,
                                    worker_info const& w) const;

private:
    struct service_departures
    {
        double weight = 0; ///< of the departures, decayed until `latest_at`
        milliseconds latest_at = 0;
        std::string version;      ///< of the workers that leave
        std::int64_t started = 0; ///< latest start of a worker that left
        /// When workers of several versions left; -1: never.
        milliseconds mixed_at = -1;
    };

    [[nodiscard]] service_departures const*
    find(std::string const& service) const;
    /// \returns the weight of the service's departures; 0 if it is negligible.
    [[nodiscard]] double weight(milliseconds now,
                                std::string const& service) const;
    /// \returns whether the workers of one version leave.
    [[nodiscard]] bool is_rolling(milliseconds now,
                                  std::string const& service) const;

    std::map<std::string, service_departures> services_;
};

} // namespace jasminetrack::tasks
