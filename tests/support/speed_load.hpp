#pragma once
/// \file
/// Progress reports of a service in which a third of the workers are slower,
/// for comparing estimators of worker speeds without a dispatcher.

#include <jasminetrack/tasks/worker_speeds.hpp>

#include <functional>
#include <random>

namespace support
{

/// Runs tasks and gangs on simulated workers. Three tasks of a hundred last
/// seven times as long as the others of their step; whole percents are reported
/// twice a second.
class speed_load
{
public:
    using milliseconds = jasminetrack::tasks::milliseconds;
    using listener =
        std::function<void(jasminetrack::tasks::speed_report const&)>;

    static constexpr std::size_t workers = 96;
    static constexpr double slow_factor = 1.3;

    explicit speed_load(unsigned seed) : random_(seed)
    {
        slots_.resize(workers * slots_a_worker);
        for (std::size_t w = 0; w < workers; ++w)
        {
            slow_.push_back(w % 3 == 0);
            phases_.push_back(between(0, report_ms - step_ms) / step_ms *
                              step_ms);
        }
        std::shuffle(slow_.begin(), slow_.end(), random_);
    }

    [[nodiscard]] static std::string name(std::size_t worker)
    {
        return "w" + std::to_string(100 + worker);
    }
    [[nodiscard]] bool is_slow(std::size_t worker) const
    {
        return slow_[worker];
    }
    [[nodiscard]] milliseconds now() const noexcept
    {
        return now_;
    }

    void run_until(milliseconds end, listener const& listen)
    {
        for (; now_ < end; now_ += step_ms)
        {
            start_jobs();
            for (std::size_t i = 0; i < slots_.size(); ++i)
                advance(i, listen);
            end_gangs();
        }
    }

private:
    static constexpr milliseconds step_ms = 50;
    static constexpr milliseconds report_ms = 500;
    static constexpr std::size_t slots_a_worker = 2;
    static constexpr double long_tasks = 0.03;
    static constexpr double long_factor = 7;
    /// Alike tasks differ a little.
    static constexpr double variation = 0.1;

    struct slot
    {
        bool busy = false;
        std::int64_t job = 0;
        std::int64_t index = 0;
        bool gang = false;
        double work_ms = 0;
        double done_ms = 0;
    };

    milliseconds between(milliseconds from, milliseconds to)
    {
        return std::uniform_int_distribution<milliseconds>(from, to)(random_);
    }
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<>(from, to)(random_);
    }

    /// Jobs alternate between gangs of 2 to 8 members on workers of their own
    /// and steps of 4 to 20 tasks.
    void start_jobs()
    {
        for (;;)
        {
            std::vector<std::size_t> free;
            for (std::size_t i = 0; i < slots_.size(); ++i)
                if (!slots_[i].busy)
                    free.push_back(i);
            bool const gang = next_job_ % 2 == 0;
            auto const count =
                static_cast<std::size_t>(gang ? between(2, 8) : between(4, 20));
            if (free.size() < 2 * count)
                return;
            std::shuffle(free.begin(), free.end(), random_);
            auto const work = uniform(3'000, 10'000);
            for (std::size_t i = 0; i < count; ++i)
            {
                bool const is_long = uniform(0, 1) < long_tasks;
                slots_[free[i]] = {true,
                                   next_job_,
                                   static_cast<std::int64_t>(i),
                                   gang,
                                   work * (is_long ? long_factor : 1) *
                                       uniform(1 - variation, 1 + variation),
                                   0};
            }
            ++next_job_;
        }
    }

    void advance(std::size_t at, listener const& listen)
    {
        auto& s = slots_[at];
        auto const worker = at / slots_a_worker;
        if (!s.busy)
            return;
        s.done_ms +=
            static_cast<double>(step_ms) / (slow_[worker] ? slow_factor : 1.0);
        auto const percent = std::min<std::int64_t>(
            100, static_cast<std::int64_t>(100 * s.done_ms / s.work_ms));
        bool const ended = percent == 100 && !s.gang;
        if (ended || (now_ + phases_[worker]) % report_ms == 0)
            listen({name(worker),
                    1,
                    "service",
                    "",
                    {{"j" + std::to_string(s.job), 0, 0}, s.gang ? 1 : 0},
                    s.index,
                    1,
                    now_,
                    percent});
        if (ended)
            s.busy = false;
    }

    /// The members of a gang end together.
    void end_gangs()
    {
        std::map<std::int64_t, bool> complete;
        for (auto const& s : slots_)
            if (s.busy && s.gang)
                complete.try_emplace(s.job, true).first->second &=
                    s.done_ms >= s.work_ms;
        for (auto& s : slots_)
            if (s.busy && s.gang && complete.at(s.job))
                s.busy = false;
    }

    std::mt19937 random_;
    milliseconds now_ = 0;
    std::int64_t next_job_ = 0;
    std::vector<bool> slow_;
    std::vector<milliseconds> phases_;
    std::vector<slot> slots_;
};

} // namespace support
