#pragma once
/// \file
/// The record with which a dispatcher tells its successor which workers are
/// slower. Without it, urgent work runs on slower workers after each take-over
/// until their speeds are learned again.

#include <jasminetrack/tasks/orders.hpp>

namespace jasminetrack::tasks
{

/// Key of the record in the topic of work. No job id has this form.
inline constexpr char const* speed_record_key = "worker-speeds";

/// A worker that takes longer than the usual one of its service.
struct slower_worker
{
    std::string worker;
    std::int64_t incarnation = 0; ///< to which this applies
    std::int64_t permille = 0;    ///< duration compared to the usual one

    friend bool operator==(slower_worker const&,
                           slower_worker const&) = default;
};

/// Leaves out the workers for which the log's largest record has no room.
[[nodiscard]] std::string encode(std::vector<slower_worker> const& slower);
/// \returns nothing if `bytes` are not such a record.
[[nodiscard]] std::optional<std::vector<slower_worker>>
decode_slower_workers(std::string const& bytes);

/// Decides when the record is written: if the set of workers has changed, and
/// not more often than the log is to bear beside the progress of jobs.
class speed_record_writer
{
public:
    /// The log holds this set.
    void on_read(std::vector<slower_worker> const& slower);
    /// \returns the record to write now, which counts as written.
    [[nodiscard]] std::optional<log_record>
    take_due(milliseconds now, std::vector<slower_worker> const& slower);

private:
    std::vector<slower_worker> written_;
    milliseconds written_at_ = -1; ///< -1: never
};

} // namespace jasminetrack::tasks
