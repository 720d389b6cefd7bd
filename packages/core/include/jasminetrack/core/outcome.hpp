#pragma once
/// \file
/// A value, or the last reason why there is none.

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace jasminetrack::core
{

/// A place in a file that an operator wrote; lines and columns start at 1.
struct source_position
{
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(source_position const&,
                           source_position const&) = default;
};

/// Why a step failed: which step, at which peer, and what to do about it.
struct error
{
    std::string step;   ///< what was being done, such as "ticket.parse"
    std::string peer;   ///< node, worker or file at which it arose
    std::string reason; ///< what happened, in one sentence
    std::string remedy; ///< what the reader can do; may be empty

    friend bool operator==(error const&, error const&) = default;
};

/// \returns the error as one line: `step at peer: reason (remedy)`.
[[nodiscard]] std::string to_line(error const& e);

/// A value or an error.
///
/// \code
/// outcome<int> const n = parse_count("12");
/// if (!n)
///     std::cerr << to_line(n.failure());
/// \endcode
template <typename T> class outcome
{
public:
    outcome(T value) : value_(std::move(value)) {}
    outcome(error reason) : reason_(std::move(reason)) {}

    [[nodiscard]] explicit operator bool() const noexcept
    {
        return value_.has_value();
    }
    [[nodiscard]] T const& value() const
    {
        return value_.value();
    }
    [[nodiscard]] std::optional<T> const& optional() const noexcept
    {
        return value_;
    }
    [[nodiscard]] error const& failure() const noexcept
    {
        return reason_;
    }

private:
    std::optional<T> value_;
    error reason_;
};

} // namespace jasminetrack::core
