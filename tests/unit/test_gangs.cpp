/// \file
/// Gangs and guarantees in a simulated cluster of three nodes, with failures of
/// nodes, workers, links and the log.

#include "cluster_simulation.hpp"
#include "section.hpp"

#include <iostream>

namespace
{

using namespace jasminetrack::core;
using support::cluster_simulation;
using support::expect;
using support::find_gang_faults;
using support::section;
using support::simple_ticket;
using support::world_settings;

/// Limit for the start of a guaranteed job after its submission.
constexpr milliseconds max_start_ms = 2700;
constexpr milliseconds settle_timeout_ms = 8000;

class test_gangs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_gangs);
    CPPUNIT_TEST(a_gang_runs_to_completion);
    CPPUNIT_TEST(guaranteed_work_starts_in_time);
    CPPUNIT_TEST(an_unresponsive_worker_does_not_delay_guaranteed_work);
    CPPUNIT_TEST(a_lost_owner_is_replaced);
    CPPUNIT_TEST(a_new_owner_places_waiting_work_at_once);
    CPPUNIT_TEST(a_paused_owner_causes_no_gang_faults);
    CPPUNIT_TEST(a_partitioned_owner_causes_no_gang_faults);
    CPPUNIT_TEST(an_owner_without_the_log_stops_renewing_leases);
    CPPUNIT_TEST(a_gang_does_not_run_twice_while_a_region_is_cut_off);
    CPPUNIT_TEST(a_gang_does_not_run_twice_if_its_worker_is_not_heard);
    CPPUNIT_TEST(members_start_when_the_last_is_prepared);
    CPPUNIT_TEST(a_lost_worker_restarts_the_gang_as_a_whole);
    CPPUNIT_TEST(a_gang_that_crashes_its_workers_is_given_up);
    CPPUNIT_TEST(running_work_survives_a_log_outage);
    CPPUNIT_TEST(a_failing_worker_is_quarantined);
    CPPUNIT_TEST(a_cancellation_racing_with_the_end_has_one_result);
    CPPUNIT_TEST(a_large_gang_does_not_starve);
    CPPUNIT_TEST_SUITE_END();

    static void set_up(cluster_simulation& w, int guarantees = 2)
    {
        expect(
            w.run_until(
                [&]
                { return w.state().workers.size() == w.worker_names().size(); },
                settle_timeout_ms),
            "all workers become known");
        auto const v = w.write(
            ticket_record{simple_ticket(1, "cork", "bern", guarantees)});
        expect(v.accepted, "the ticket is accepted: " + v.reason);
    }

    static bool has_state(cluster_simulation& w, job_id const& id, job_state s)
    {
        return w.state().jobs.at(id).state == s;
    }

    static void expect_no_gang_faults(cluster_simulation& w)
    {
        auto const faults = find_gang_faults(w.worker_events(), w.state().jobs);
        expect(faults.empty(), faults.empty() ? "" : faults.front());
    }

    /// Waits until the job runs again, and some time longer.
    static void expect_second_attempt(cluster_simulation& w, job_id const& id,
                                      std::uint32_t seed)
    {
        auto const runs_again = [&]
        {
            return w.state().jobs.at(id).attempt == 2 &&
                   has_state(w, id, job_state::running);
        };
        expect(w.run_until(runs_again, 60'000),
               "the job runs on another worker, seed " + std::to_string(seed));
        w.run(5000);
        expect_no_gang_faults(w);
    }

    static job_id start_spare_job(cluster_simulation& w, std::string const& key,
                                  std::string const& payload)
    {
        auto const id = w.submit("cork-spare", key, payload);
        expect(w.run_until([&] { return has_state(w, id, job_state::running); },
                           settle_timeout_ms),
               "spare job " + key + " starts");
        return id;
    }

    /// Fills all accelerators with spare jobs.
    static std::vector<job_id> fill_with_spare_jobs(cluster_simulation& w,
                                                    std::string const& payload)
    {
        std::vector<job_id> ids;
        for (std::size_t i = 0; i < w.worker_names().size(); ++i)
            ids.push_back(
                start_spare_job(w, "fill" + std::to_string(i), payload));
        return ids;
    }

    /// Submits a guaranteed job. \returns the time until all members started.
    static milliseconds time_to_start(cluster_simulation& w,
                                      std::string const& key)
    {
        auto const begun = w.now();
        auto const id = w.submit("cork-guaranteed", key, "run_ms=5000");
        auto const started = [&]
        {
            int members = 0;
            for (auto const& e : w.worker_events())
                members += e.what == "started" && e.task.rfind(id + ".", 0) == 0
                               ? 1
                               : 0;
            return members >= 8;
        };
        expect(w.run_until(started, 4 * max_start_ms), key + " starts");
        return w.now() - begun;
    }

public:
    void a_gang_runs_to_completion()
    {
        cluster_simulation w({});
        set_up(w);
        auto const id =
            w.submit("cork-guaranteed", "lot-1", "run_ms=500;result=sorted");
        expect(w.run_until([&] { return has_state(w, id, job_state::ended); },
                           settle_timeout_ms),
               "the gang ends");
        auto const& j = w.state().jobs.at(id);
        expect(j.end == job_end::done, "it is done");
        section("a second submission with the same key gives the same job",
                [&] {
                    expect(w.submit("cork-guaranteed", "lot-1", "") == id,
                           "same id");
                });
        section("every node has the same state",
                [&]
                {
                    w.run(100);
                    expect(w.node("n0").state() == w.node("n1").state(),
                           "n0 and n1 agree");
                    expect(w.node("n0").state() == w.node("n2").state(),
                           "n0 and n2 agree");
                });
        expect_no_gang_faults(w);
    }

    void guaranteed_work_starts_in_time()
    {
        section("on free accelerators",
                []
                {
                    cluster_simulation w({});
                    set_up(w);
                    expect(time_to_start(w, "u") <= max_start_ms, "in time");
                });
        section("on accelerators of spare jobs with a short checkpoint",
                []
                {
                    cluster_simulation w({});
                    set_up(w);
                    fill_with_spare_jobs(w, "run_ms=600000;checkpoint_ms=100");
                    auto const ms = time_to_start(w, "u");
                    expect(ms <= max_start_ms,
                           "in time: " + std::to_string(ms) + " ms");
                    expect_no_gang_faults(w);
                });
        section("on accelerators of spare jobs with a long checkpoint",
                []
                {
                    cluster_simulation w({});
                    set_up(w);
                    fill_with_spare_jobs(w,
                                         "run_ms=600000;checkpoint_ms=60000");
                    auto const ms = time_to_start(w, "u");
                    expect(ms <= max_start_ms,
                           "in time: " + std::to_string(ms) + " ms");
                    expect_no_gang_faults(w);
                });
    }

    void an_unresponsive_worker_does_not_delay_guaranteed_work()
    {
        for (int victim = 0; victim < 8; ++victim)
        {
            cluster_simulation w({});
            set_up(w);
            fill_with_spare_jobs(w, "run_ms=600000;checkpoint_ms=100");
            w.set_unresponsive("w" + std::to_string(victim), true);
            auto const ms = time_to_start(w, "u");
            expect(ms <= max_start_ms,
                   "with w" + std::to_string(victim) +
                       " unresponsive: " + std::to_string(ms) + " ms");
            expect_no_gang_faults(w);
        }
    }

    void a_lost_owner_is_replaced()
    {
        cluster_simulation w({});
        set_up(w);
        auto const id = start_spare_job(w, "long", "run_ms=20000");
        auto const first = w.owner();
        w.kill(first);
        auto const begun = w.now();
        auto const urgent = w.submit("cork-guaranteed", "u", "run_ms=500");
        expect(w.run_until([&]
                           { return has_state(w, urgent, job_state::running); },
                           settle_timeout_ms),
               "another node starts the guaranteed job");
        expect(w.now() - begun <= max_start_ms,
               "the job starts within the limit: " +
                   std::to_string(w.now() - begun) + " ms");
        expect(w.owner() != first, "another node owns the region");
        expect(w.run_until([&] { return has_state(w, id, job_state::ended); },
                           30'000),
               "the running job ends");
        expect(w.state().jobs.at(id).attempt == 1,
               "the new owner keeps it running");
        expect_no_gang_faults(w);
    }

    void a_paused_owner_causes_no_gang_faults()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            set_up(w);
            auto const id = start_spare_job(w, "long", "run_ms=9000");
            auto const first = w.owner();
            w.pause(first);
            auto const next = w.submit("cork-spare", "b", "run_ms=3000");
            w.run(4000 + 500 * seed);
            w.resume(first);
            auto const both = [&]
            {
                return has_state(w, id, job_state::ended) &&
                       has_state(w, next, job_state::ended);
            };
            expect(w.run_until(both, 60'000),
                   "both jobs end, seed " + std::to_string(seed));
            expect_no_gang_faults(w);
        }
    }

    void a_partitioned_owner_causes_no_gang_faults()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            set_up(w);
            auto const id = start_spare_job(w, "long", "run_ms=30000");
            auto const first = w.owner();
            section(
                "it still reaches the workers, but not the log and the peers",
                [&]
                {
                    w.cut_log(first, true);
                    w.cut_peers(first, true);
                    w.run(1000 * seed);
                });
            auto const next = w.submit("cork-guaranteed", "b", "run_ms=3000");
            w.run(5000);
            w.cut_log(first, false);
            w.cut_peers(first, false);
            auto const both = [&]
            {
                return has_state(w, id, job_state::ended) &&
                       has_state(w, next, job_state::ended);
            };
            expect(w.run_until(both, 120'000),
                   "both jobs end, seed " + std::to_string(seed));
            expect_no_gang_faults(w);
        }
    }

    /// Guards against a placement that is withdrawn because a new owner's first
    /// order to the worker is still in flight.
    void a_new_owner_places_waiting_work_at_once()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            set_up(w);
            w.kill(w.owner());
            std::vector<job_id> ids;
            for (int i = 0; i < 4; ++i)
                ids.push_back(
                    w.submit("cork-spare", std::to_string(i), "run_ms=500"));
            for (auto const& id : ids)
            {
                expect(w.run_until(
                           [&] { return has_state(w, id, job_state::ended); },
                           20'000),
                       "it ends, seed " + std::to_string(seed));
                expect(w.state().jobs.at(id).attempt == 1,
                       "in one attempt, seed " + std::to_string(seed));
            }
        }
    }

    /// The old owner reaches a worker that the new owner cannot reach. If it
    /// kept renewing the lease, the job would run twice.
    void an_owner_without_the_log_stops_renewing_leases()
    {
        cluster_simulation w({});
        set_up(w);
        auto const id = start_spare_job(w, "long", "run_ms=60000");
        auto const first = w.owner();
        auto const where = w.state().jobs.at(id).places[0].worker;
        for (std::string const name : {"n0", "n1", "n2"})
            if (name != first)
                w.disconnect_worker(name, where);
        w.cut_log(first, true);
        w.cut_peers(first, true);
        auto const again = [&]
        {
            return w.state().jobs.at(id).attempt == 2 &&
                   has_state(w, id, job_state::running);
        };
        expect(w.run_until(again, 60'000), "the job runs on another worker");
        w.run(2000);
        expect_no_gang_faults(w);
    }

    /// Guards against two runs of a gang: an owner that is cut off together
    /// with another entry VM took the silence of the log for an outage, and
    /// renewed its leases for as long as the cut lasted.
    void a_gang_does_not_run_twice_while_a_region_is_cut_off()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            s.nodes = 4;
            cluster_simulation w(s);
            set_up(w);
            auto const id = start_spare_job(w, "long", "run_ms=60000");
            auto const owner = w.owner();
            auto const neighbour = owner == "n0" ? "n1" : "n0";
            w.cut_off({owner, neighbour},
                      {w.state().jobs.at(id).places[0].worker});
            expect_second_attempt(w, id, seed);
            w.end_cut();
            w.run(20'000);
            expect_no_gang_faults(w);
        }
    }

    /// Guards against two runs of a gang: orders to a worker whose answers are
    /// lost renewed its leases, while the worker counted as lost.
    void a_gang_does_not_run_twice_if_its_worker_is_not_heard()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            set_up(w);
            auto const id = start_spare_job(w, "long", "run_ms=60000");
            w.run(100 * seed);
            w.lose_answers(w.state().jobs.at(id).places[0].worker);
            expect_second_attempt(w, id, seed);
        }
    }

    void members_start_when_the_last_is_prepared()
    {
        cluster_simulation w({});
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_timeout_ms),
               "workers are known");
        auto t =
            simple_ticket(1, "cork", "bern", 1, {4, 8, 0, 0, adjacency::rack});
        t.objects.push_back(job_class{"fill",
                                      "cork",
                                      "bern",
                                      {8, 1, 0, 0, adjacency::worker},
                                      capacity_source::spare,
                                      true});
        expect(w.write(ticket_record{t}).accepted, "ticket");
        for (int i = 0; i < 8; ++i)
        {
            auto const id = w.submit("fill", std::to_string(i),
                                     "run_ms=600000;checkpoint_ms=" +
                                         std::to_string(100 * i));
            expect(w.run_until([&]
                               { return has_state(w, id, job_state::running); },
                               settle_timeout_ms),
                   "a spare job runs");
        }
        auto const id = w.submit("cork-guaranteed", "u", "run_ms=500");
        expect(w.run_until([&] { return has_state(w, id, job_state::ended); },
                           settle_timeout_ms),
               "the gang ends, with accelerators that are freed one by one");
        expect_no_gang_faults(w);
    }

    void a_lost_worker_restarts_the_gang_as_a_whole()
    {
        cluster_simulation w({});
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_timeout_ms),
               "workers are known");
        shape const wide{4, 8, 0, 0, adjacency::rack};
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1, wide)});
        auto const id = w.submit("cork-spare", "wide", "run_ms=4000");
        expect(w.run_until([&] { return has_state(w, id, job_state::running); },
                           settle_timeout_ms),
               "it runs on a rack");
        auto const lost = w.state().jobs.at(id).places[1].worker;
        w.run(500);
        w.kill_worker(lost);
        expect(w.run_until([&] { return has_state(w, id, job_state::ended); },
                           60'000),
               "it ends");
        auto const& j = w.state().jobs.at(id);
        expect(j.end == job_end::done, "done");
        expect(j.attempt >= 2, "it was placed again");
        expect_no_gang_faults(w);
    }

    void a_gang_that_crashes_its_workers_is_given_up()
    {
        constexpr int max_crashes = 5;
        cluster_simulation w({});
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_timeout_ms),
               "workers are known");
        shape const whole_worker{1, 8, 0, 0, adjacency::none};
        (void)w.write(
            ticket_record{simple_ticket(1, "cork", "bern", 1, whole_worker)});
        auto const id = w.submit("cork-spare", "crashing", "run_ms=60000");
        for (int crashes = 0; crashes < max_crashes; ++crashes)
        {
            expect(w.run_until(
                       [&]
                       {
                           return has_state(w, id, job_state::running) ||
                                  has_state(w, id, job_state::ended);
                       },
                       60'000),
                   "it runs, or it has ended");
            if (has_state(w, id, job_state::ended))
                break;
            w.kill_worker(w.state().jobs.at(id).places[0].worker);
            w.run(20'000);
        }
        expect(has_state(w, id, job_state::ended),
               "it ends after " + std::to_string(max_crashes) + " crashes");
    }

    void running_work_survives_a_log_outage()
    {
        cluster_simulation w({});
        set_up(w);
        auto const id = start_spare_job(w, "long", "run_ms=25000");
        w.run(500);
        w.set_log_down(true);
        w.run(40'000);
        w.set_log_down(false);
        expect(w.run_until([&] { return has_state(w, id, job_state::ended); },
                           20'000),
               "it ends after the outage");
        expect(w.state().jobs.at(id).attempt == 1, "in one attempt");
        expect_no_gang_faults(w);
    }

    void a_failing_worker_is_quarantined()
    {
        cluster_simulation w({});
        set_up(w);
        w.worker("w2").set_failing(true);
        std::vector<job_id> ids;
        for (int i = 0; i < 16; ++i)
        {
            ids.push_back(
                w.submit("cork-spare", "k" + std::to_string(i), "run_ms=300"));
            w.run(1500);
        }
        for (auto const& id : ids)
            expect(w.run_until([&]
                               { return has_state(w, id, job_state::ended); },
                               60'000) &&
                       w.state().jobs.at(id).end == job_end::done,
                   id + " is done on another worker");
        expect(w.state().workers.at("w2").condition ==
                   worker_condition::quarantined,
               "w2 gets no more work");
        section("it is live again after the quarantine",
                [&]
                {
                    w.worker("w2").set_failing(false);
                    expect(
                        w.run_until(
                            [&]
                            {
                                (void)w.write(cancel_record{"nobody"});
                                return w.state().workers.at("w2").condition ==
                                       worker_condition::live;
                            },
                            120'000),
                        "w2 is live");
                });
        expect_no_gang_faults(w);
    }

    void a_cancellation_racing_with_the_end_has_one_result()
    {
        int done = 0;
        int cancelled = 0;
        for (std::uint32_t seed = 1; seed <= 30; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            set_up(w);
            auto const id = start_spare_job(w, "k", "run_ms=1000");
            w.run(700 + 20 * seed);
            auto const v = w.write(cancel_record{id});
            expect(v.accepted, "the cancellation is accepted");
            expect(w.run_until([&]
                               { return has_state(w, id, job_state::ended); },
                               settle_timeout_ms),
                   "the job ends");
            auto const end = w.state().jobs.at(id).end;
            done += end == job_end::done ? 1 : 0;
            cancelled += end == job_end::cancelled ? 1 : 0;
            expect_no_gang_faults(w);
        }
        expect(done + cancelled == 30, "each job is either done or cancelled");
        expect(done > 0 && cancelled > 0, "both results occur");
    }

    void a_large_gang_does_not_starve()
    {
        world_settings s;
        s.policy.max_wait_ms = 20'000;
        cluster_simulation w(s);
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_timeout_ms),
               "workers are known");
        auto t =
            simple_ticket(1, "cork", "bern", 0, {1, 4, 0, 0, adjacency::none});
        t.objects.push_back(job_class{"big",
                                      "cork",
                                      "bern",
                                      {8, 8, 0, 0, adjacency::none},
                                      capacity_source::spare,
                                      true});
        expect(w.write(ticket_record{t}).accepted, "ticket");
        int next = 0;
        auto const submit_small = [&] {
            (void)w.submit("cork-spare", "s" + std::to_string(next++),
                           "run_ms=4000");
        };
        for (int i = 0; i < 32; ++i)
            submit_small();
        w.run(1000);
        auto const big = w.submit("big", "big", "run_ms=1000");
        auto const begun = w.now();
        while (!has_state(w, big, job_state::ended) && w.now() < begun + 60'000)
        {
            submit_small();
            w.run(100);
        }
        expect(has_state(w, big, job_state::ended), "the large gang ends");
        expect(w.now() - begun <= s.policy.max_wait_ms + 10'000,
               "within max_wait_ms and 10 s: " +
                   std::to_string(w.now() - begun));
        expect_no_gang_faults(w);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_gangs);

} // namespace
