/// \file
/// Measures the costs of the core at the design size and how they grow: each
/// size is varied alone, a line is fitted to the costs, and its worst residual
/// is printed.

#include <jasminetrack/core/node.hpp>
#include <jasminetrack/protocol/codec.hpp>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::core;

/// Size of the system; the defaults are the design size.
struct workload
{
    int workers = 1200;
    int accelerators = 1900;
    int tasks = 8500;
    int teams = 680;
    int waiting = 100;
    int ended = 670; ///< jobs kept in the state
};

/// Costs at one size.
struct costs
{
    double decide_spare_us = 0;
    double decide_reclaim_us = 0;
    double apply_place_us = 0;
    double ticket_us = 0;
    double worker_lost_us = 0;
    double report_step_us = 0;
    double idle_tick_us = 0;
    double state_kb = 0;
    double encode_ms = 0;
};

/// A printed row: its name and the cost that it shows.
struct cost_column
{
    char const* name;
    double costs::*value;
};

constexpr cost_column columns[] = {
    {"decide spare us", &costs::decide_spare_us},
    {"decide reclaim us", &costs::decide_reclaim_us},
    {"apply place us", &costs::apply_place_us},
    {"apply ticket us", &costs::ticket_us},
    {"apply worker lost us", &costs::worker_lost_us},
    {"step on report us", &costs::report_step_us},
    {"idle tick us", &costs::idle_tick_us},
    {"state KB", &costs::state_kb},
    {"state encode ms", &costs::encode_ms}};

/// \returns the mean time of one call of `work`, in microseconds.
double time_us(std::function<void()> const& work, int repetitions)
{
    using clock = std::chrono::steady_clock;
    auto const begin = clock::now();
    for (int i = 0; i < repetitions; ++i)
        work();
    std::chrono::duration<double, std::micro> const took = clock::now() - begin;
    return took.count() / repetitions;
}

/// A node that owns a region of the given size and runs its tasks.
class loaded_node
{
public:
    explicit loaded_node(workload const& s)
        : workload_(s), node_({"n0", "n0.1", "bern", {}, {}})
    {
        write(claim_record{"bern", "n0", "n0.1", 0});
        add_workers();
        add_teams();
        add_ended();
        run_tasks();
        add_waiting();
        now_ += 5000;
        (void)node_.step(now_, log_caught_up_event{log_.size(), now_});
    }

    node& get()
    {
        return node_;
    }
    cluster_state const& state()
    {
        return node_.state();
    }
    epoch_number epoch()
    {
        return state().owners.at("bern").epoch;
    }
    milliseconds now() const
    {
        return now_;
    }
    void advance(milliseconds ms)
    {
        now_ += ms;
        (void)node_.step(now_, log_caught_up_event{log_.size(), now_});
    }

    apply_result write(record body)
    {
        log_entry const e{log_.size(), 1'000'000 + now_, "outside", ++sequence_,
                          std::move(body)};
        log_.push_back(e);
        auto const done = node_.step(now_, log_entries_event{{e}});
        for (auto const& a : done)
            if (auto const* applied = std::get_if<record_applied_action>(&a))
                return applied->outcome;
        return {};
    }

private:
    void add_workers()
    {
        workers_record r{"bern", epoch(), {}};
        int left = workload_.accelerators;
        for (int i = 0; i < workload_.workers; ++i)
        {
            char name[16];
            std::snprintf(name, sizeof name, "w%05d", i);
            worker w;
            w.name = name;
            w.region = "bern";
            w.rack = "rack" + std::to_string(i / 8);
            w.address = "10.0.0.1:7000";
            w.accelerators = std::min(left, 8);
            left -= w.accelerators;
            w.millicores = 64'000;
            w.memory_mb = 256'000;
            r.changed.push_back(w);
        }
        write(r);
        (void)node_.step(now_, vm_list_event{r.changed, {}});
    }

    void add_teams()
    {
        ticket t;
        t.number = 1;
        t.author = "bench";
        int const per_guarantee = 2;
        int const guaranteed =
            std::min(workload_.teams, workload_.accelerators / 4);
        for (int i = 0; i < workload_.teams; ++i)
        {
            team team_state;
            team_state.name = "t" + std::to_string(i);
            if (i < guaranteed)
                team_state.guarantees.push_back(
                    {"bern", {per_guarantee, 1, 0, 0, adjacency::worker}, 1});
            t.objects.push_back(team_state);
            t.objects.push_back(job_class{team_state.name + "-spare",
                                          team_state.name,
                                          "bern",
                                          {1, 0, 100, 100, adjacency::none},
                                          capacity_source::spare,
                                          true});
            if (i < guaranteed)
                t.objects.push_back(
                    job_class{team_state.name + "-guaranteed",
                              team_state.name,
                              "bern",
                              {per_guarantee, 1, 0, 0, adjacency::worker},
                              capacity_source::guarantee,
                              true});
        }
        t.objects.push_back(job_class{"gang",
                                      "t0",
                                      "bern",
                                      {16, 1, 100, 100, adjacency::none},
                                      capacity_source::spare,
                                      true});
        t.objects.push_back(job_class{"plain",
                                      "t0",
                                      "bern",
                                      {64, 0, 100, 100, adjacency::none},
                                      capacity_source::spare,
                                      true});
        write(ticket_record{t});
    }

    job_id submit(std::string const& job_class)
    {
        auto const team = job_class == "gang" || job_class == "plain"
                              ? std::string("t0")
                              : job_class.substr(0, job_class.find('-'));
        return write(submit_record{team, "k" + std::to_string(key_++),
                                   job_class, "run", 0})
            .id;
    }

    void change(job_id const& id, job_change what)
    {
        job_record r;
        r.job = id;
        r.epoch = epoch();
        r.attempt = state().jobs.at(id).attempt;
        r.change = what;
        write(r);
    }

    bool place_and_start(job_id const& id)
    {
        placement_round round(state(), {}, "bern", {});
        auto place = round.decide(state().jobs.at(id));
        if (!place)
            return false;
        place->epoch = epoch();
        write(*place);
        change(id, job_change::started);
        return true;
    }

    void add_ended()
    {
        for (int i = 0; i < workload_.ended; ++i)
        {
            auto const id = submit("plain");
            if (place_and_start(id))
                change(id, job_change::done);
        }
    }

    void run_tasks()
    {
        int tasks = 0;
        while (tasks < workload_.tasks)
        {
            auto const id = submit(tasks % 2 == 0 ? "gang" : "plain");
            if (place_and_start(id))
            {
                tasks += state().jobs.at(id).gang.members;
                continue;
            }
            write(cancel_record{id});
            auto const plain = submit("plain");
            if (!place_and_start(plain))
                break;
            tasks += 64;
        }
    }

    void add_waiting()
    {
        ticket t;
        t.number = 2;
        t.objects.push_back(job_class{"wide",
                                      "t1",
                                      "bern",
                                      {128, 8, 0, 0, adjacency::none},
                                      capacity_source::spare,
                                      true});
        write(ticket_record{t});
        for (int i = 0; i < workload_.waiting; ++i)
            write(submit_record{"t1", "w" + std::to_string(i), "wide", "", 0});
    }

    workload workload_;
    node node_;
    std::vector<log_entry> log_;
    std::uint64_t sequence_ = 0;
    int key_ = 0;
    milliseconds now_ = 1'000'000;
};

costs measure(workload const& s)
{
    loaded_node n(s);
    costs f;
    job probe;
    probe.id = "probe";
    probe.team = "t1";
    probe.region = "bern";
    probe.gang = {1, 0, 100, 100, adjacency::none};
    probe.submitted = 1'000'000'000;
    constexpr int repetitions = 20;
    f.decide_spare_us = time_us(
        [&]
        {
            placement_round round(n.state(), {}, "bern", {});
            (void)round.decide(probe);
        },
        repetitions);
    probe.draws_on = capacity_source::guarantee;
    probe.gang = {2, 1, 0, 0, adjacency::worker};
    f.decide_reclaim_us = time_us(
        [&]
        {
            placement_round round(n.state(), {}, "bern", {});
            (void)round.decide(probe);
        },
        repetitions);
    auto const encoded = protocol::encode(n.state());
    f.state_kb = static_cast<double>(encoded.size()) / 1024;
    f.encode_ms = time_us([&] { (void)protocol::encode(n.state()); }, 3) / 1000;
    auto const listed = n.state().workers;
    int next_worker = 0;
    f.report_step_us = time_us(
        [&]
        {
            char name[16];
            std::snprintf(name, sizeof name, "w%05d",
                          next_worker++ % static_cast<int>(listed.size()));
            worker_report_event report;
            report.worker = name;
            (void)n.get().step(n.now(), report);
        },
        200);
    f.idle_tick_us = time_us(
        [&]
        {
            n.advance(50);
            (void)n.get().step(n.now(), tick_event{});
        },
        40);
    cluster_state copy = n.state();
    std::uint64_t sequence = 1;
    auto const apply_record = [&](record body)
    {
        return apply(copy, {copy.next, copy.log_time, "bench", sequence++,
                            std::move(body)});
    };
    int number = 10;
    f.ticket_us = time_us(
        [&]
        {
            ticket t;
            t.number = static_cast<ticket_number>(number++);
            team team_state = copy.config.teams.at("t1");
            team_state.weight = number % 100 + 1;
            t.objects.push_back(team_state);
            (void)apply_record(ticket_record{t});
        },
        10);
    f.worker_lost_us = time_us(
        [&]
        {
            auto lost = copy.workers.begin()->second;
            lost.condition = lost.condition == worker_condition::live
                                 ? worker_condition::lost
                                 : worker_condition::live;
            (void)apply_record(workers_record{"bern", n.epoch(), {lost}});
        },
        10);
    int key = 0;
    f.apply_place_us = time_us(
        [&]
        {
            auto const id =
                apply_record(submit_record{"t2", "p" + std::to_string(key++),
                                           "t2-spare", "", 0})
                    .id;
            if (id.empty())
                return;
            placement_round round(copy, {}, "bern", {});
            auto place = round.decide(copy.jobs.at(id));
            if (!place)
                return;
            place->epoch = n.epoch();
            (void)apply_record(*place);
        },
        20);
    return f;
}

/// A size that is varied, and the values that it takes.
struct dimension
{
    char const* name;
    int workload::*value;
    std::vector<int> points;
};

/// Prints the costs `y` at the sizes `x` with the slope of the least-squares
/// line and its worst residual.
void print_fit(char const* name, std::vector<double> const& x,
               std::vector<double> const& y)
{
    double const n = static_cast<double>(x.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    double const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double const base = (sy - slope * sx) / n;
    double worst = 0;
    std::printf("  %-20s", name);
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        std::printf(" %10.1f", y[i]);
        worst = std::max(worst, std::fabs(y[i] - base - slope * x[i]));
    }
    std::printf("   slope %10.5f  worst residual %8.1f\n", slope, worst);
}

} // namespace

int main()
{
    std::vector<dimension> const dimensions = {
        {"workers", &workload::workers, {300, 600, 900, 1200}},
        {"tasks", &workload::tasks, {1000, 3500, 6000, 8500}},
        {"teams", &workload::teams, {68, 272, 476, 680}},
        {"ended jobs", &workload::ended, {67, 268, 469, 670}},
        {"waiting jobs", &workload::waiting, {10, 40, 70, 100}}};
    for (auto const& d : dimensions)
    {
        std::vector<double> x;
        std::vector<costs> all;
        for (int point : d.points)
        {
            workload s;
            s.*d.value = point;
            x.push_back(point);
            all.push_back(measure(s));
        }
        std::printf("%s:", d.name);
        for (int point : d.points)
            std::printf(" %d", point);
        std::printf("\n");
        for (auto const& c : columns)
        {
            std::vector<double> y;
            for (auto const& f : all)
                y.push_back(f.*c.value);
            print_fit(c.name, x, y);
        }
    }
    return 0;
}
