#pragma once
/// \file
/// Fencing tokens of the orders to workers. A process of a worker refuses every
/// order whose token is lower than the highest one that it has seen. A new
/// process has seen none, so a dispatcher raises the token with each process
/// of a worker: once the new process has accepted it, no order that was sent to
/// an earlier one can be carried out.

#include <cstdint>

namespace jasminetrack::tasks
{

/// Tokens that one dispatcher may use. Epochs are this far apart; the product
/// of the two stays exact as a JSON number.
inline constexpr std::int64_t tokens_per_epoch = std::int64_t{1} << 24;

/// \param newest  newest epoch in the log; 0: none. Nodes of earlier versions
///                count epochs one by one.
/// \returns the epoch of the next claim. It is the first token of that
/// dispatcher, and above all tokens of earlier ones.
[[nodiscard]] constexpr std::int64_t next_epoch(std::int64_t newest) noexcept
{
    return (newest / tokens_per_epoch + 1) * tokens_per_epoch;
}

} // namespace jasminetrack::tasks
