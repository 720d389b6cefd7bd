#pragma once
/// \file
/// The time limit of appends to the log, for a log that loses answers and for
/// one that is slow.

#include <jasminetrack/tasks/model.hpp>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// Estimates after which time an answer is overdue. Appends are idempotent, so
/// a lost answer costs its callers no more than this time; a limit below the
/// log's actual latency would repeat every append and slow the log further.
/// The limit is a multiple of the usual latency and doubles with each answer
/// that is missing in a row. It takes few different values, as connections are
/// pooled by time limit.
class append_timeout
{
public:
    [[nodiscard]] milliseconds limit() const noexcept;

    /// \param took  from the latest send of the append to its answer
    void on_answer(milliseconds took) noexcept;
    void on_missing_answer() noexcept;

private:
    double usual_ms_ = 0; ///< moving average; 0: none yet
    int missing_ = 0;     ///< answers in a row
};

} // namespace jasminetrack::entry
