/// \file
/// Tests that slower workers are found within seconds, and what callers of
/// urgent work gain by it.

#include "dispatch_simulation.hpp"
#include "entry_cluster.hpp"
#include "section.hpp"
#include "speed_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace
{

using namespace support;

constexpr unsigned seeds = 10;

/// How many of the workers an estimator calls slower.
struct recognition
{
    int slow = 0;       ///< workers that are
    int recognized = 0; ///< of these
    int wrong = 0;      ///< of the others
};

std::string to_text(recognition const& r)
{
    return std::to_string(r.recognized) + " of " + std::to_string(r.slow) +
           ", wrongly " + std::to_string(r.wrong);
}

/// The estimator that is in use without the setting, fed as the dispatcher
/// feeds it.
class present_estimator
{
public:
    void observe(speed_report const& r)
    {
        if (r.group.gang_run != 0)
            return;
        auto& progress = progress_[{r.group, r.index}];
        progress.update(r.clock_ms, r.percent);
        auto const took = progress.take_projected_duration();
        if (!took)
            return;
        auto& durations = durations_[r.group];
        if (auto const usual = durations.median())
            paces_[r.worker].add_sample(r.clock_ms, *took, *usual);
        durations.add(*took);
    }
    [[nodiscard]] bool is_slower(std::string const& worker, milliseconds now)
    {
        return paces_[worker].speed(now) != worker_speed::usual;
    }

private:
    std::map<std::pair<speed_group, std::int64_t>, run_progress> progress_;
    std::map<speed_group, step_durations> durations_;
    std::map<std::string, worker_pace> paces_;
};

struct comparison
{
    recognition learned;
    recognition present;
};

void count(recognition& r, bool is_slow, bool is_found)
{
    r.slow += is_slow ? 1 : 0;
    (is_slow ? r.recognized : r.wrong) += is_found ? 1 : 0;
}

/// Plays the load with all seeds and adds up the results.
comparison play(milliseconds end)
{
    comparison c;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        speed_load load(seed);
        worker_speeds speeds;
        present_estimator present;
        for (milliseconds at = 0; at <= end; at += 500)
        {
            load.run_until(at,
                           [&](speed_report const& r)
                           {
                               speeds.observe(load.now(), r);
                               present.observe(r);
                           });
            speeds.update(at);
        }
        for (std::size_t w = 0; w < speed_load::workers; ++w)
        {
            auto const id = speed_load::name(w);
            count(c.learned, load.is_slow(w),
                  speeds.estimate_of(id, 1).speed == worker_speed::slower);
            count(c.present, load.is_slow(w), present.is_slower(id, end));
        }
    }
    return c;
}

/// One task of each step runs on every worker, "w0" to "w9", which report twice
/// a second. Workers are of the kinds "a" and "b" by turns.
class fixed_load
{
public:
    /// \param factors  of the durations, by worker; 1 for the others
    explicit fixed_load(std::map<int, double> factors, std::int64_t steps = 2)
        : factors_(std::move(factors)), steps_(steps)
    {
    }

    void run_for(milliseconds ms)
    {
        for (auto const end = now + ms; now < end; now += 500)
        {
            for (int w = 0; w < 10; ++w)
                report(w);
            speeds.update(now);
        }
    }
    [[nodiscard]] bool is_slower(int worker, std::int64_t incarnation = 1)
    {
        return speeds.estimate_of("w" + std::to_string(worker), incarnation)
                   .speed == worker_speed::slower;
    }

    milliseconds now = 0;
    worker_speeds speeds;
    std::set<std::pair<int, std::int64_t>> long_tasks; ///< worker and step

private:
    void report(int w)
    {
        constexpr double work_ms = 20'000;
        constexpr double long_factor = 7;
        for (std::int64_t step = 0; step < steps_; ++step)
        {
            bool const is_long = long_tasks.count({w, step}) != 0;
            auto const factor = factors_.count(w) ? factors_.at(w) : 1.0;
            auto const done = static_cast<double>(now) / work_ms / factor /
                              (is_long ? long_factor : 1);
            speeds.observe(now, {"w" + std::to_string(w),
                                 1,
                                 "service",
                                 w % 2 == 0 ? "a" : "b",
                                 {{"job", 0, step}, 0},
                                 w,
                                 1,
                                 now,
                                 static_cast<std::int64_t>(100 * done)});
        }
    }

    std::map<int, double> factors_;
    std::int64_t steps_;
};

/// Durations of urgent jobs, in milliseconds.
struct urgent_results
{
    double tasks = 0; ///< mean of jobs of one task
    double gangs = 0; ///< mean of gangs
    std::size_t violations = 0;
};

/// Batch work takes up two thirds of a service, a third of whose workers are
/// slower; an urgent task and a gang come every second. Renewals wait at the
/// workers, so that percents are reported as rarely as on the platform.
class urgent_load
{
public:
    urgent_load(unsigned seed, bool learn_speeds)
        : world_(seed, faults(learn_speeds))
    {
        configuration c;
        c.version = 1;
        c.queues = {{"urgent", "h", "/u/", "service", 0, 3, 1.5, 400},
                    {"batch", "h", "/b/", "service", 2, 3, 6, 3'000}};
        c.teams = {{"team", {"key"}, 96}};
        world_.configure(c);
        for (int i = 0; i < workers; ++i)
        {
            auto const id = "w" + std::to_string(i);
            world_.add_worker(id, "r" + std::to_string(i / 8),
                              {64'000, 128'000, 8});
            if (i % 3 == 0)
                world_.slow_worker(id, 1.3);
        }
        world_.run_for(1'000);
    }

    urgent_results run()
    {
        play(seconds);
        for (int second = 0; second < 6; ++second)
            run_second();
        return {mean("task"), mean("gang"), world_.violations().size()};
    }

    void play(int duration_s)
    {
        for (int second = 0; second < duration_s; ++second)
        {
            submit("batch" + std::to_string(second), "batch", 15, 8'000, false);
            auto const name = std::to_string(second);
            submit("task" + name, "urgent", 1, 3'000, false);
            submit("gang" + name, "urgent", 16, 3'000, true);
            run_second();
        }
    }

    /// Another dispatcher takes the role over.
    void take_over()
    {
        world_.kill_leader();
        world_.take_over();
        run_second();
        run_second();
    }
    /// \returns the number of workers that the dispatcher counts as slower.
    std::int64_t slower_workers()
    {
        auto const& all = world_.leader().utilization();
        auto const speeds = all.at("service").speeds;
        auto const at = speeds.find(worker_speed::slower);
        return at == speeds.end() ? 0 : at->second;
    }

private:
    static constexpr int workers = 48;
    static constexpr int seconds = 40;
    /// Speeds are not known before.
    static constexpr int counted_from = 12;

    static simulation_faults faults(bool learn_speeds)
    {
        simulation_faults f;
        f.long_polls = true;
        f.learn_speeds = learn_speeds;
        return f;
    }

    void submit(std::string const& id, std::string const& queue,
                std::int64_t count, milliseconds work_ms, bool gang)
    {
        job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].count = count;
        spec.steps[0].gang = gang;
        spec.steps[0].need = {4'000, 4'000, 2};
        spec.steps[0].estimate_ms = work_ms;
        world_.submit(id, queue, std::move(spec), {work_ms, false});
        submitted_[id] = world_.now();
    }

    void run_second()
    {
        for (int i = 0; i < 50; ++i)
        {
            world_.run_for(20);
            for (auto const& [id, at] : submitted_)
                if (took_.count(id) == 0 &&
                    world_.phase(id) == job_phase::completed)
                    took_[id] = world_.now() - at;
        }
    }

    double mean(std::string const& prefix)
    {
        double sum = 0;
        for (int i = counted_from; i < seconds; ++i)
        {
            auto const at = took_.find(prefix + std::to_string(i));
            expect(at != took_.end(), prefix + " completed");
            sum += static_cast<double>(at->second);
        }
        return sum / (seconds - counted_from);
    }

    dispatch_simulation world_;
    std::map<std::string, milliseconds> submitted_;
    std::map<std::string, milliseconds> took_;
};

class test_worker_speeds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_worker_speeds);
    CPPUNIT_TEST(slower_workers_are_found_within_seconds);
    CPPUNIT_TEST(one_long_task_does_not_mark_a_worker);
    CPPUNIT_TEST(workers_of_an_agreeing_kind_share_its_speed);
    CPPUNIT_TEST(a_speed_lasts_as_long_as_the_incarnation);
    CPPUNIT_TEST(a_successor_knows_the_slower_workers);
    CPPUNIT_TEST(a_dispatcher_hands_the_slower_workers_on);
    CPPUNIT_TEST(a_node_reads_the_record_before_its_take_over);
    CPPUNIT_TEST(the_record_is_written_on_change_only);
    CPPUNIT_TEST(preferences_depend_on_the_slack);
    CPPUNIT_TEST(speeds_order_candidates_and_exclude_none);
    CPPUNIT_TEST(urgent_jobs_end_sooner);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against estimates that need a minute of a service's life.
    void slower_workers_are_found_within_seconds()
    {
        for (milliseconds const end : {10'000, 20'000})
        {
            auto const c = play(end);
            auto const text = std::to_string(end) + " ms: learned " +
                              to_text(c.learned) + "; present " +
                              to_text(c.present);
            std::cout << "\n" << text << std::flush;
            expect(10 * c.learned.recognized >= 9 * c.learned.slow, text);
            expect(100 * c.learned.wrong <= c.learned.slow, text);
            expect(c.present.recognized < c.learned.recognized / 2, text);
        }
    }

    void one_long_task_does_not_mark_a_worker()
    {
        fixed_load load({{1, 1.3}, {2, 1.3}});
        load.long_tasks = {{4, 0}, {2, 1}};
        load.run_for(10'000);
        expect(load.is_slower(1), "both tasks show it");
        expect(!load.is_slower(4), "the other task is as fast as elsewhere");
        expect(!load.is_slower(2), "one usable task is not enough");
    }

    void workers_of_an_agreeing_kind_share_its_speed()
    {
        fixed_load load({{1, 1.3}, {3, 1.3}, {5, 1.3}, {7, 1.3}, {9, 1.3}}, 3);
        load.long_tasks = {{9, 0}, {9, 1}};
        load.run_for(15'000);
        expect(!load.is_slower(0), "the other kind");
        expect(load.is_slower(9), "its kind and one task show it");
    }

    void a_speed_lasts_as_long_as_the_incarnation()
    {
        fixed_load load({{1, 1.3}});
        load.run_for(10'000);
        expect(load.is_slower(1), "slower");
        expect(!load.is_slower(1, 2), "the next process is not known");
        load.speeds.observe(
            load.now,
            {"w1", 2, "service", "b", {{"job", 0, 0}, 0}, 1, 2, 0, 0});
        expect(!load.is_slower(1), "forgotten");
    }

    /// Guards against a new dispatcher that starts without knowledge.
    void a_successor_knows_the_slower_workers()
    {
        fixed_load load({{1, 1.3}});
        load.run_for(10'000);
        auto const bytes = encode(load.speeds.slower_workers());
        auto const read = decode_slower_workers(bytes);
        expect(read == load.speeds.slower_workers(), "read as written");
        expect(!decode_slower_workers("no record"), "unreadable");
        expect(!decode_summary(bytes), "no progress of a job");
        worker_speeds successor;
        successor.assume(0, *read);
        expect(successor.estimate_of("w1", 1).speed == worker_speed::slower,
               "known at once");
        expect(successor.estimate_of("w1", 2).speed == worker_speed::usual,
               "another incarnation");
        section("evidence replaces it",
                [&]
                {
                    fixed_load usual({}, 4);
                    usual.speeds.assume(0, *read);
                    usual.run_for(15'000);
                    expect(!usual.is_slower(1), "usual by its tasks");
                });
    }

    void a_dispatcher_hands_the_slower_workers_on()
    {
        for (bool const learn : {true, false})
        {
            urgent_load load(1, learn);
            load.play(15);
            auto const before = load.slower_workers();
            load.take_over();
            auto const after = load.slower_workers();
            auto const text =
                std::to_string(before) + ", then " + std::to_string(after);
            expect(learn ? before >= 12 : before == 0, text);
            expect(learn ? after >= before - 2 : after == 0, text);
        }
    }

    void a_node_reads_the_record_before_its_take_over()
    {
        dispatch_limits limits;
        limits.learn_speeds = true;
        entry_cluster cluster(0, cluster_run_ms, single_queue_configuration(),
                              limits);
        std::vector<slower_worker> const slower{{"w1", 0, 1'300},
                                                {"w2", 5, 1'300}};
        cluster.log.put(entry::topic::work, speed_record_key, encode(slower));
        cluster.add_node("node");
        auto const has_one = [&]
        {
            return cluster.nodes[0]->metrics().find(
                       "jasminetrack_worker_speeds{service=\"service\","
                       "speed=\"slower\"} 1") != std::string::npos;
        };
        expect(cluster.wait_until(has_one), "the worker of this incarnation");
    }

    void the_record_is_written_on_change_only()
    {
        speed_record_writer w;
        std::vector<slower_worker> const one{{"w1", 1, 1'300}};
        expect(!w.take_due(0, {}), "nothing to tell");
        expect(w.take_due(100, one).has_value(), "the first set");
        expect(!w.take_due(4'000, {}), "within 5 s");
        expect(!w.take_due(6'000, {{"w1", 1, 1'290}}), "the same set");
        expect(w.take_due(6'100, {{"w1", 2, 1'300}}).has_value(),
               "another incarnation");
        speed_record_writer successor;
        successor.on_read(one);
        expect(!successor.take_due(0, one), "the log has it");
    }

    void preferences_depend_on_the_slack()
    {
        speed_terms t{0, 0, 10'000, 15'400, 1.3};
        expect(preference_of(t) == speed_preference::usual_first, "urgent");
        t.priority = 2;
        t.objective_ms = 33'000;
        expect(preference_of(t) == speed_preference::slower_first, "slack");
        t.objective_ms = 12'000;
        expect(preference_of(t) == speed_preference::usual_first,
               "late on a slower worker");
        t.objective_ms = 9'000;
        expect(preference_of(t) == speed_preference::none, "late anyway");
    }

    void speeds_order_candidates_and_exclude_none()
    {
        std::vector<worker_candidate> workers;
        for (int i = 0; i < 4; ++i)
        {
            worker_candidate c;
            c.id = "w" + std::to_string(i);
            c.free = c.capacity = {0, 0, 8};
            c.slower = c.slow_machine = i % 2 == 0;
            workers.push_back(c);
        }
        unit_need need;
        need.per_task = {0, 0, 8};
        auto const places = [&](std::int64_t count, speed_preference speeds)
        {
            need.count = count;
            need.speeds = speeds;
            auto list =
                find_places(workers, need, rack_spread::multiple).value();
            std::sort(list.begin(), list.end());
            return list;
        };
        using names = std::vector<std::string>;
        auto const usual = speed_preference::usual_first;
        auto const slower = speed_preference::slower_first;
        expect(places(1, usual) == names{"w1"}, "usual first");
        expect(places(2, slower) == names{"w0", "w2"}, "slower first");
        expect(places(4, usual).size() == 4, "mixed rather than none");
        section("a gang takes the other speed rather than both",
                [&]
                {
                    workers[1].free = {};
                    expect(places(2, usual) == names{"w0", "w2"}, "one speed");
                    expect(places(1, usual) == names{"w3"}, "a task does not");
                });
    }

    /// Guards against urgent work on slower workers while others have room.
    void urgent_jobs_end_sooner()
    {
        urgent_results off;
        urgent_results on;
        for (unsigned seed = 1; seed <= 3; ++seed)
            for (auto* const r : {&off, &on})
            {
                auto const one = urgent_load(seed, r == &on).run();
                expect(one.violations == 0, "no invariant is violated");
                r->tasks += one.tasks / 3;
                r->gangs += one.gangs / 3;
            }
        auto const text = "off: " + std::to_string(off.tasks) + ", " +
                          std::to_string(off.gangs) +
                          " ms; on: " + std::to_string(on.tasks) + ", " +
                          std::to_string(on.gangs) + " ms (tasks, gangs)";
        std::cout << "\n" << text << std::flush;
        expect(on.tasks < off.tasks, text);
        expect(on.gangs < 0.95 * off.gangs, text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_worker_speeds);

} // namespace
