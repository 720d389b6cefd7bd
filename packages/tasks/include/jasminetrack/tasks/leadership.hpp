#pragma once
/// \file
/// Who dispatches. The role is claimed by a record in the log with the next
/// epoch; the log refuses what a writer of a lower epoch appends.

#include <jasminetrack/tasks/model.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// The record of the dispatcher's role: a claim, a sign of life, or a
/// resignation.
struct role_record
{
    std::int64_t epoch = 0; ///< also the fencing token at workers
    std::string holder;     ///< node and incarnation
    bool resigned = false;

    friend bool operator==(role_record const&, role_record const&) = default;
};

[[nodiscard]] std::string encode(role_record const& r);
[[nodiscard]] std::optional<role_record> decode_role(std::string const& bytes);

/// The order in which nodes claim the role. Answers deployments with VMs of
/// several sizes: a dispatcher on a small one falls behind on a heavy day, so
/// larger ones claim first.
class claim_order
{
public:
    /// \param share  of a processor, of this node's VM
    claim_order(std::string self, double share);

    /// \returns how many of the known nodes claim before this one.
    [[nodiscard]] std::size_t rank() const;
    /// \returns how long this node holds a claim back.
    [[nodiscard]] milliseconds delay() const;

    void put(std::string const& node, double share);

private:
    std::string self_;
    double share_;
    std::map<std::string, double> others_; ///< shares by name
};

/// Decides when a node claims the role, from what it reads in the log.
class leadership
{
public:
    /// \param self  name of this node's incarnation
    /// \param delay spreads claims of several nodes
    leadership(std::string self, milliseconds delay);

    [[nodiscard]] bool leading() const noexcept
    {
        return leading_;
    }
    [[nodiscard]] role_record const& newest() const noexcept
    {
        return newest_;
    }
    /// \returns whether to claim now, with the epoch after the newest.
    [[nodiscard]] bool should_claim(milliseconds now) const noexcept;

    /// The log was read to its end, `records` of them by its dispatcher.
    void on_read(milliseconds now, bool dispatcher_wrote);
    void on_read_failed(milliseconds now);
    void on_record(milliseconds now, role_record const& r);
    void on_claim_sent(milliseconds now) noexcept;
    void on_claim_stored(milliseconds now, role_record const& r);
    /// The claim lost against another, or its outcome is not known.
    void on_claim_lost(milliseconds now) noexcept;
    void set_delay(milliseconds delay) noexcept;
    void step_down() noexcept;
    void stop_claiming() noexcept;

private:
    std::string self_;
    milliseconds delay_;
    role_record newest_;
    bool leading_ = false;
    bool claiming_ = false;
    bool stopped_ = false;
    milliseconds heartbeat_at_ = -1;   ///< newest sign of life of the holder
    milliseconds readable_since_ = -1; ///< since when reads succeed
    milliseconds claim_not_before_ = 0;
};

} // namespace jasminetrack::tasks
