#pragma once
/// \file
/// Where the clock of a worker's process starts. The protocol does not say, so
/// each process draws it: 0, a few seconds, hours, or near the last reading of
/// the process before it.

#include <algorithm>
#include <cstdint>
#include <random>

namespace support
{

/// Draws the first readings of clocks, in milliseconds. Deterministic for a
/// seed.
class clock_start
{
public:
    explicit clock_start(std::uint32_t seed) : random_(seed) {}

    /// \param last  last reading of the process before; 0: none
    [[nodiscard]] std::int64_t draw(std::int64_t last)
    {
        switch (between(0, 4))
        {
        case 0:
            return 0;
        case 1:
            return between(1, seconds_ms);
        case 2:
            return between(min_hours_ms, max_hours_ms);
        case 3:
            return last + between(0, near_ms);
        default:
            return std::max<std::int64_t>(0, last - between(0, near_ms));
        }
    }

private:
    static constexpr std::int64_t seconds_ms = 20'000;
    static constexpr std::int64_t min_hours_ms = 4'000'000;
    static constexpr std::int64_t max_hours_ms = 8'000'000;
    static constexpr std::int64_t near_ms = 15'000;

    [[nodiscard]] std::int64_t between(std::int64_t least, std::int64_t most)
    {
        auto const span = static_cast<std::uint64_t>(most - least) + 1;
        return least + static_cast<std::int64_t>(random_() % span);
    }

    std::mt19937 random_;
};

} // namespace support
