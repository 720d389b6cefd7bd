#pragma once
/// \file
/// Which part of a service's capacity each kind of work may use: least shares
/// of the lower priorities, headroom for urgent work, what is lent of it, and
/// the workers that may be kept for suspects. Amounts are accelerators unless a
/// comment names something else; times are on the dispatcher's monotonic clock.

#include <jasminetrack/tasks/detail/dispatcher_state.hpp>
#include <jasminetrack/tasks/dispatch_limits.hpp>
#include <jasminetrack/tasks/headroom.hpp>
#include <jasminetrack/tasks/headroom_lending.hpp>

namespace jasminetrack::tasks::detail
{

/// Counts what the workers have and what the jobs hold there.
/// \param cleared  ids of workers that are cleared for suspects
/// \returns the counts by service.
[[nodiscard]] std::map<std::string, accelerator_count>
count_accelerators(std::map<std::string, worker_view> const& workers,
                   std::map<std::string, job_entry> const& jobs,
                   std::set<std::string> const& cleared);

/// The counts of the newest scheduling pass, by service, and the recent use by
/// urgent work. The caller updates the counts as it starts work in the pass. A
/// service without workers has counts of zero.
class service_shares
{
public:
    explicit service_shares(dispatch_limits const& limits);

    /// Replaces the counts and records the use by urgent work.
    void begin_pass(milliseconds now,
                    std::map<std::string, accelerator_count> counts);

    [[nodiscard]] std::map<std::string, accelerator_count> const&
    counts() const noexcept
    {
        return counts_;
    }
    [[nodiscard]] accelerator_count& count_of(std::string const& service)
    {
        return counts_[service];
    }
    /// \returns nullptr if the service is not counted.
    [[nodiscard]] accelerator_count const*
    find(std::string const& service) const;

    /// Work that holds `total` was placed in the service.
    void deduct(std::string const& service, resources const& total);

    /// \returns the headroom to leave free for urgent work; 0 if none of the
    /// service was recorded.
    [[nodiscard]] std::int64_t headroom(milliseconds now,
                                        std::string const& service) const;

    /// \returns whether a lower priority would hold less than its least share
    /// after releasing `less` accelerators.
    [[nodiscard]] bool is_below_share(std::string const& service,
                                      std::int64_t priority,
                                      std::int64_t less = 0) const;
    /// \returns whether work of the priority may use `need` now. Urgent work
    /// always may. Other work may while its priority is below its least share,
    /// even if a gang then exceeds it, or if the headroom stays free.
    [[nodiscard]] bool may_use(milliseconds now, std::string const& service,
                               std::int64_t priority, unit_need const& need);
    /// \returns whether the unit may start within the headroom for urgent work.
    [[nodiscard]] bool may_borrow(milliseconds now, std::string const& service,
                                  std::int64_t priority,
                                  unit_need const& need) const;
    /// \returns "key=value" fields of the decision to lend with its inputs.
    /// \pre may_borrow() is true for the unit
    [[nodiscard]] std::string lending_text(milliseconds now,
                                           std::string const& service,
                                           std::int64_t priority,
                                           unit_need const& need) const;

    /// \returns how many workers of the service may be kept for suspects.
    [[nodiscard]] std::int64_t max_isolating(std::string const& service) const;
    /// \returns whether so many further workers of the service may be kept from
    /// starting other runs than suspects.
    [[nodiscard]] bool may_isolate(std::string const& service,
                                   std::int64_t workers);

private:
    void record_urgent_use(milliseconds now);
    /// \returns whether the headroom for urgent work stays free after `need`;
    /// if the unit has waited long, that for its recent peak.
    [[nodiscard]] bool leaves_headroom(milliseconds now,
                                       std::string const& service,
                                       unit_need const& need);
    [[nodiscard]] headroom_state headroom_of(milliseconds now,
                                             std::string const& service) const;

    bool lends_headroom_;
    milliseconds stop_ms_; ///< time of a stop and the start that follows it
    std::map<std::string, accelerator_count> counts_;
    std::map<std::string, urgent_headroom> headroom_;
    /// Empty unless the headroom is lent.
    std::map<std::string, urgent_history> urgent_history_;
};

} // namespace jasminetrack::tasks::detail
