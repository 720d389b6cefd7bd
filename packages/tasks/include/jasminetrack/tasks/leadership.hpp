#pragma once
/// \file
/// Election of the dispatcher. A node claims the role by appending a record
/// with the next epoch to the log; the log then refuses appends from writers of
/// lower epochs.

#include <jasminetrack/tasks/model.hpp>

#include <map>

namespace jasminetrack::tasks
{

/// A record of the dispatcher role: a claim, a heartbeat or a resignation.
struct role_record
{
    std::int64_t epoch = 0; ///< also used as the fencing token
    std::string holder;     ///< name of the node's incarnation
    bool resigned = false;
    /// Encoded load_reading of a dispatcher that sheds load; else empty.
    std::string load = {};

    friend bool operator==(role_record const&, role_record const&) = default;
};

[[nodiscard]] std::string encode(role_record const& r);
/// \returns nothing if `bytes` are not a role record.
[[nodiscard]] std::optional<role_record> decode_role(std::string const& bytes);

/// The order in which nodes claim the role. VMs may differ in size, and a
/// dispatcher on a small VM falls behind under heavy load, so larger VMs claim
/// first.
class claim_order
{
public:
    /// \param share  processor share of this node's VM; 1 is a whole processor
    claim_order(std::string self, double share);

    /// \returns the number of known nodes that claim before this one.
    [[nodiscard]] std::size_t rank() const;
    /// \returns the time by which this node delays a claim.
    [[nodiscard]] milliseconds delay() const;

    /// Adds a node, or updates its processor share.
    void put(std::string const& node, double share);

private:
    std::string self_;
    double share_;
    std::map<std::string, double> others_; ///< processor shares by node
};

/// Decides when a node claims the role, based on what it reads from the log.
class leadership
{
public:
    /// \param self   name of this node's incarnation
    /// \param delay  of claims; differs between nodes so that they do not claim
    ///               at the same time
    leadership(std::string self, milliseconds delay);

    [[nodiscard]] bool leading() const noexcept
    {
        return leading_;
    }
    [[nodiscard]] role_record const& newest() const noexcept
    {
        return newest_;
    }
    /// \returns the start of the current series of successful reads of the log;
    /// nothing if the latest read failed.
    [[nodiscard]] std::optional<milliseconds> readable_since() const noexcept;
    /// \returns when the newest record of a dispatcher was read, or later; -1
    /// before the first read.
    [[nodiscard]] milliseconds heartbeat_at() const noexcept
    {
        return heartbeat_at_;
    }
    /// \returns the latest time at which an earlier dispatcher can have had a
    /// proof of the role: when its newest record was read, or when the log,
    /// which may have been away for all VMs, was read again.
    [[nodiscard]] milliseconds earlier_proof() const noexcept;
    /// \returns whether to claim now, with the epoch after the newest. A node
    /// whose view is behind the log takes a holder for silent that is not.
    [[nodiscard]] bool should_claim(milliseconds now) const noexcept;

    /// The log was read.
    /// \param dispatcher_wrote  whether it had new records of the dispatcher
    void on_read(milliseconds now, bool dispatcher_wrote);
    /// The log was read to the end that it had at `as_of`.
    void on_end_read(milliseconds as_of) noexcept;
    void on_read_failed(milliseconds now);
    void on_record(milliseconds now, role_record const& r);
    void on_claim_sent(milliseconds now) noexcept;
    void on_claim_stored(milliseconds now, role_record const& r);
    /// \returns whether the log's confirmation of an append that was sent at
    /// `sent_at` shows that this node holds the role now. It does not if it is
    /// handled so late, as after a pause of the process, that another node may
    /// have taken the role since.
    [[nodiscard]] static bool confirms_role(milliseconds now,
                                            milliseconds sent_at) noexcept;
    /// Another claim won, or the outcome of this one is unknown.
    void on_claim_lost(milliseconds now) noexcept;
    void set_delay(milliseconds delay) noexcept;
    /// Gives up the role.
    void step_down() noexcept;
    /// Prevents all further claims.
    void stop_claiming() noexcept;

private:
    std::string self_;
    milliseconds delay_;
    role_record newest_;
    bool leading_ = false;
    bool claiming_ = false;
    bool stopped_ = false;
    milliseconds heartbeat_at_ = -1; ///< latest heartbeat of the holder
    milliseconds readable_since_ =
        -1; ///< start of the current series of successful reads
    milliseconds end_read_at_ = -1; ///< newest end that was read; -1: none
    milliseconds claim_not_before_ = 0;
};

} // namespace jasminetrack::tasks
