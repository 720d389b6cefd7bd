/// \file
/// The policy against two baselines, with the same arrivals, on the fold
/// itself. Baselines: FIFO with first fit, and best fit without the plan;
/// neither stops work.

#include "arrivals.hpp"

#include <jasminetrack/core/policy.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>

namespace
{

using namespace jasminetrack::core;
using namespace bench;

enum class policy_kind
{
    fifo_first_fit,
    best_fit_no_plan,
    plan,
    plan_without_moves,
};

constexpr char const* policy_names[] = {"fifo-first-fit", "best-fit", "plan",
                                        "plan-fixed-seats"};
constexpr milliseconds grace_ms = 1000;
constexpr milliseconds graceful_stop_ms = 30'000;
constexpr milliseconds start_ms = 100; ///< to prepare and start a gang

/// Figures of one run.
struct figures
{
    std::map<std::string, std::vector<double>> slowdowns;
    std::vector<double> guaranteed_wait_ms;
    double fragmentation_sum = 0;
    double large_blocked_sum = 0;
    int samples = 0;
    double lost_ms = 0; ///< accelerator-ms run again
    double used_ms = 0; ///< accelerator-ms of finished runs
    int stops = 0;
    int unfinished = 0;
};

double mean(std::vector<double> const& v)
{
    double sum = 0;
    for (double x : v)
        sum += x;
    return v.empty() ? 0 : sum / static_cast<double>(v.size());
}

double percentile(std::vector<double> v, double p)
{
    if (v.empty())
        return 0;
    std::sort(v.begin(), v.end());
    auto const at =
        static_cast<std::size_t>(std::ceil(p * static_cast<double>(v.size()))) -
        1;
    return v[std::min(at, v.size() - 1)];
}

class run
{
public:
    run(deployment const& d, policy_kind kind,
        std::vector<arrival> const& arrivals)
        : deployment_(d), kind_(kind), arrivals_(arrivals)
    {
        settings_.completion_weight = d.completion_weight;
        settings_.fragmentation_weight = d.fragmentation_weight;
        if (char const* minutes = std::getenv("PATIENCE_MIN"))
            settings_.max_wait_ms = std::atoi(minutes) * 60'000LL;
        settings_.move_seats = kind != policy_kind::plan_without_moves;
        open();
    }

    figures go()
    {
        for (std::size_t i = 0; i < arrivals_.size(); ++i)
            agenda_.push({arrivals_[i].at_ms, event_kind::arrive, i, {}, 0});
        while (!agenda_.empty())
        {
            auto const e = agenda_.top();
            agenda_.pop();
            now_ = e.at;
            handle(e);
            if (e.kind != event_kind::stopped || !more_now())
                decide();
            sample();
        }
        for (auto const& [id, j] : state_.jobs)
            figures_.unfinished += j.state != job_state::ended ? 1 : 0;
        return figures_;
    }

private:
    enum class event_kind
    {
        arrive,
        start,
        finish,
        stopped,
    };
    struct scheduled
    {
        milliseconds at = 0;
        event_kind kind = event_kind::arrive;
        std::size_t index = 0;
        job_id job;
        int attempt = 0;

        bool operator<(scheduled const& o) const
        {
            return at > o.at;
        }
    };
    struct progress
    {
        std::size_t arrival = 0;
        milliseconds left_ms = 0;
        milliseconds begun_ms = 0;
        bool within_guarantee = false;
    };

    bool more_now() const
    {
        return !agenda_.empty() && agenda_.top().at == now_;
    }

    apply_result write(record body)
    {
        return apply(state_, {state_.next, now_ + 1'000'000, "b", ++sequence_,
                              std::move(body)});
    }

    void open()
    {
        (void)write(claim_record{"bern", "n", "n", 0});
        workers_record workers{"bern", state_.owners["bern"].epoch, {}};
        for (int i = 0; i < deployment_.workers; ++i)
        {
            char name[16];
            std::snprintf(name, sizeof name, "w%03d", i);
            worker w;
            w.name = name;
            w.region = "bern";
            w.rack = "r" + std::to_string(i / deployment_.per_rack);
            w.accelerators = 8;
            workers.changed.push_back(w);
        }
        (void)write(workers);
        ticket t;
        t.number = 1;
        for (auto const& team : deployment_.teams)
            t.objects.push_back(team);
        for (auto const& m : deployment_.mix)
            t.objects.push_back(
                job_class{m.name, m.team, "bern", m.gang, m.draws_on, true});
        auto const v = write(ticket_record{t});
        if (!v.accepted)
        {
            std::fprintf(stderr, "%s\n", v.reason.c_str());
            std::exit(1);
        }
    }

    void handle(scheduled const& e)
    {
        switch (e.kind)
        {
        case event_kind::arrive:
        {
            auto const& m = deployment_.mix[arrivals_[e.index].mix];
            auto const id = write(submit_record{m.team, std::to_string(e.index),
                                                m.name, "", 0})
                                .id;
            progress_[id] = {e.index, arrivals_[e.index].run_ms, 0,
                             is_within_guarantee(m)};
            break;
        }
        case event_kind::start:
            if (current(e))
                start(e.job);
            break;
        case event_kind::finish:
            if (current(e))
                finish(e.job);
            break;
        case event_kind::stopped:
            if (current(e))
                change(e.job, job_change::stopped);
            break;
        }
    }

    /// Whether the team has no more such jobs open than guarantees.
    bool is_within_guarantee(job_mix const& m) const
    {
        if (m.draws_on != capacity_source::guarantee)
            return false;
        int open = 0;
        for (auto const& [id, j] : state_.jobs)
            open += j.team == m.team &&
                            j.draws_on == capacity_source::guarantee &&
                            j.state != job_state::ended
                        ? 1
                        : 0;
        int seats = 0;
        for (auto const& [name, s] : state_.seats)
            seats += s.team == m.team ? 1 : 0;
        return open <= seats;
    }

    bool current(scheduled const& e) const
    {
        auto const& j = state_.jobs.at(e.job);
        auto const wanted = e.kind == event_kind::start ? job_state::placed
                            : e.kind == event_kind::finish
                                ? job_state::running
                                : job_state::stopping;
        return j.attempt == e.attempt && j.state == wanted;
    }

    void change(job_id const& id, job_change what)
    {
        job_record r;
        r.job = id;
        r.epoch = state_.owners["bern"].epoch;
        r.attempt = state_.jobs.at(id).attempt;
        r.change = what;
        (void)write(r);
    }

    void start(job_id const& id)
    {
        change(id, job_change::started);
        auto& p = progress_[id];
        auto const& j = state_.jobs.at(id);
        p.begun_ms = now_;
        if (p.within_guarantee && j.stops == 0)
            figures_.guaranteed_wait_ms.push_back(
                static_cast<double>(now_ - arrivals_[p.arrival].at_ms));
        agenda_.push({now_ + p.left_ms, event_kind::finish, 0, id, j.attempt});
    }

    void finish(job_id const& id)
    {
        auto const& p = progress_[id];
        auto const& a = arrivals_[p.arrival];
        auto const& m = deployment_.mix[a.mix];
        figures_.slowdowns[m.name].push_back(
            static_cast<double>(now_ - a.at_ms) /
            static_cast<double>(a.run_ms));
        figures_.used_ms +=
            static_cast<double>(a.run_ms) * total_accelerators(m.gang);
        change(id, job_change::done);
    }

    /// A victim keeps what it did if its checkpoint fits the grace time.
    milliseconds stop(job_id const& id, milliseconds grace)
    {
        auto& p = progress_[id];
        auto const& j = state_.jobs.at(id);
        auto const& m = deployment_.mix[arrivals_[p.arrival].mix];
        auto const wanted = static_cast<milliseconds>(m.checkpoint_s * 1000);
        auto const took = std::min(wanted, grace);
        auto const ran = now_ - p.begun_ms;
        ++figures_.stops;
        if (wanted <= grace)
            p.left_ms = std::max<milliseconds>(1, p.left_ms - ran);
        else
            figures_.lost_ms +=
                static_cast<double>(ran) * total_accelerators(j.gang);
        agenda_.push({now_ + took, event_kind::stopped, 0, id, j.attempt});
        return took;
    }

    void place(place_record r)
    {
        std::vector<job_id> running;
        for (auto const& id : r.victims)
            if (state_.jobs.at(id).state == job_state::running)
                running.push_back(id);
        r.epoch = state_.owners["bern"].epoch;
        auto const id = r.job;
        auto const grace = r.seat.empty() ? graceful_stop_ms : grace_ms;
        auto const v = write(std::move(r));
        if (!v.accepted)
        {
            std::fprintf(stderr, "dropped: %s\n", v.reason.c_str());
            return;
        }
        milliseconds wait = start_ms;
        for (auto const& victim : running)
            wait = std::max(wait, stop(victim, grace) + start_ms);
        agenda_.push({now_ + wait, event_kind::start, 0, id,
                      state_.jobs.at(id).attempt});
    }

    void decide()
    {
        if (kind_ == policy_kind::plan ||
            kind_ == policy_kind::plan_without_moves)
            decide_by_plan();
        else
            decide_plainly();
    }

    void decide_by_plan()
    {
        placement_round round(state_, settings_, "bern", {});
        std::vector<place_record> decided;
        for (auto const* j : queue_order(state_, "bern", settings_))
            if (auto r = round.decide(*j))
                decided.push_back(std::move(*r));
        for (auto& r : decided)
            place(std::move(r));
    }

    void decide_plainly()
    {
        std::vector<job const*> waiting;
        for (auto const& [id, j] : state_.jobs)
            if (j.state == job_state::waiting)
                waiting.push_back(&j);
        std::sort(waiting.begin(), waiting.end(),
                  [](job const* a, job const* b)
                  { return a->submitted < b->submitted; });
        std::vector<place_record> decided;
        occupancy free = state_.ledger.free();
        for (auto const* j : waiting)
        {
            auto const places = kind_ == policy_kind::fifo_first_fit
                                    ? fit(free, "bern", j->gang, first_fit{})
                                    : fit(free, "bern", j->gang, best_fit{});
            if (!places && kind_ == policy_kind::fifo_first_fit)
                break;
            if (!places)
                continue;
            free.allocate(*places, j->gang);
            place_record r;
            r.job = j->id;
            r.places = *places;
            decided.push_back(std::move(r));
        }
        for (auto& r : decided)
            place(std::move(r));
    }

    /// Share of free accelerators outside of whole free workers, and
    /// whether the largest waiting shape cannot be placed.
    void sample()
    {
        double free = 0;
        double stray = 0;
        for (auto const& slot : state_.ledger.free().slots())
        {
            int const count = std::popcount(slot.free);
            free += count;
            if (count != 8)
                stray += count;
        }
        if (free > 0)
            figures_.fragmentation_sum += stray / free;
        ++figures_.samples;
    }

    deployment const& deployment_;
    policy_kind kind_;
    std::vector<arrival> const& arrivals_;
    policy_settings settings_;
    cluster_state state_;
    std::map<job_id, progress> progress_;
    std::priority_queue<scheduled> agenda_;
    std::uint64_t sequence_ = 0;
    milliseconds now_ = 0;
    figures figures_;
};

void print(deployment const& d, std::uint32_t seed, policy_kind kind,
           figures const& f)
{
    std::printf("%-9s %4u %-17s frag %.3f  guaranteed start p95 %9.0f ms "
                "max %9.0f ms  stops %4d  lost %.4f  unfinished %d\n",
                d.name.c_str(), seed, policy_names[static_cast<int>(kind)],
                f.fragmentation_sum / f.samples,
                percentile(f.guaranteed_wait_ms, 0.95),
                percentile(f.guaranteed_wait_ms, 1), f.stops,
                f.used_ms > 0 ? f.lost_ms / f.used_ms : 0, f.unfinished);
    std::printf("               slowdown mean/p95:");
    for (auto const& [name, v] : f.slowdowns)
        std::printf("  %s %.2f/%.2f", name.c_str(), mean(v),
                    percentile(v, 0.95));
    std::printf("\n");
}

} // namespace

int main(int argc, char** argv)
{
    int const seeds = argc > 1 ? std::atoi(argv[1]) : 5;
    constexpr double hours = 12;
    for (auto const& d : {verband(), zeildoek()})
        for (std::uint32_t seed = 1; seed <= static_cast<std::uint32_t>(seeds);
             ++seed)
        {
            auto const arrivals = draw_arrivals(d, seed, hours);
            for (auto kind :
                 {policy_kind::fifo_first_fit, policy_kind::best_fit_no_plan,
                  policy_kind::plan_without_moves, policy_kind::plan})
                print(d, seed, kind, run(d, kind, arrivals).go());
        }
    return 0;
}
