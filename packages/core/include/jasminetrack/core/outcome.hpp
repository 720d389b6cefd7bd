#pragma once
/// \file
/// A value or an error, and the position in a file that an error refers to.

#include <compare>
#include <optional>
#include <string>
#include <utility>

namespace jasminetrack::core
{

/// A position in a file written by an operator. Lines and columns start at 1.
struct source_position
{
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(source_position const&,
                           source_position const&) = default;
};

/// Description of a failed step.
struct error
{
    std::string step;   ///< the step that failed, such as "ticket.parse"
    std::string peer;   ///< node, worker or file where it failed
    std::string reason; ///< what happened, in one sentence
    std::string remedy; ///< what an operator can do; may be empty

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
    /// \throws std::bad_optional_access if there is no value
    [[nodiscard]] T const& value() const
    {
        return value_.value();
    }
    [[nodiscard]] std::optional<T> const& optional() const noexcept
    {
        return value_;
    }
    /// \returns the error; empty if there is a value.
    [[nodiscard]] error const& failure() const noexcept
    {
        return reason_;
    }

private:
    std::optional<T> value_;
    error reason_;
};

} // namespace jasminetrack::core
