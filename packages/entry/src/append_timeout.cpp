#include <jasminetrack/entry/append_timeout.hpp>

#include <algorithm>
#include <array>

namespace jasminetrack::entry
{
namespace
{

/// Limits in ascending order. The shortest one allows for a round trip between
/// regions and for appends of other nodes that the log stores first.
constexpr std::array<milliseconds, 3> limits_ms{150, 300, 600};
/// An answer that takes this many times as long as usual is overdue.
constexpr double overdue_factor = 3;
constexpr double newest_weight = 0.25;

} // namespace

milliseconds append_timeout::limit() const noexcept
{
    auto const wanted = usual_ms_ * overdue_factor;
    auto const at =
        std::find_if(limits_ms.begin(), limits_ms.end(),
                     [&](milliseconds limit)
                     { return static_cast<double>(limit) >= wanted; });
    auto const index = at - limits_ms.begin() + missing_;
    return limits_ms[std::min<std::size_t>(static_cast<std::size_t>(index),
                                           limits_ms.size() - 1)];
}

void append_timeout::on_answer(milliseconds took) noexcept
{
    missing_ = 0;
    auto const sample = static_cast<double>(took);
    usual_ms_ = usual_ms_ == 0
                    ? sample
                    : usual_ms_ + newest_weight * (sample - usual_ms_);
}

void append_timeout::on_missing_answer() noexcept
{
    constexpr int max_missing = static_cast<int>(limits_ms.size());
    missing_ = std::min(missing_ + 1, max_missing);
}

} // namespace jasminetrack::entry
