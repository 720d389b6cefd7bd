/// \file
/// Gangs and guarantees on three nodes with small fakes.

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

constexpr milliseconds urgent_ms = 2700;
constexpr milliseconds settle_ms = 8000;

class test_gangs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_gangs);
    CPPUNIT_TEST(a_gang_runs_to_its_end);
    CPPUNIT_TEST(urgent_work_starts_in_time);
    CPPUNIT_TEST(a_silent_worker_does_not_hold_up_a_guarantee);
    CPPUNIT_TEST(a_lost_owner_is_replaced);
    CPPUNIT_TEST(a_new_owner_places_waiting_work_at_once);
    CPPUNIT_TEST(a_paused_owner_does_no_harm);
    CPPUNIT_TEST(a_cut_off_owner_does_no_harm);
    CPPUNIT_TEST(an_owner_without_contact_stops_renewing);
    CPPUNIT_TEST(members_start_when_the_last_is_prepared);
    CPPUNIT_TEST(a_lost_worker_restarts_the_gang_as_a_whole);
    CPPUNIT_TEST(an_outage_of_the_log_lets_running_work_run);
    CPPUNIT_TEST(a_failing_worker_is_quarantined);
    CPPUNIT_TEST(a_cancellation_that_crosses_the_end_has_one_answer);
    CPPUNIT_TEST(a_large_gang_does_not_starve);
    CPPUNIT_TEST_SUITE_END();

    static void ready(cluster_simulation& w, int guarantees = 2)
    {
        expect(
            w.run_until(
                [&]
                { return w.state().workers.size() == w.worker_names().size(); },
                settle_ms),
            "all workers become known");
        auto const v = w.write(
            ticket_record{simple_ticket(1, "cork", "bern", guarantees)});
        expect(v.accepted, "the ticket is accepted: " + v.reason);
    }

    static bool is(cluster_simulation& w, job_id const& id, job_state s)
    {
        return w.state().jobs.at(id).state == s;
    }

    static void no_faults(cluster_simulation& w)
    {
        auto const faults = find_gang_faults(w.worker_events(), w.state().jobs);
        expect(faults.empty(), faults.empty() ? "" : faults.front());
    }

    static job_id run_spare(cluster_simulation& w, std::string const& key,
                            std::string const& payload)
    {
        auto const id = w.submit("cork-spare", key, payload);
        expect(w.run_until([&] { return is(w, id, job_state::running); },
                           settle_ms),
               "spare job " + key + " starts");
        return id;
    }

    /// Fills all accelerators with work beyond guarantees.
    static std::vector<job_id> fill(cluster_simulation& w,
                                    std::string const& payload)
    {
        std::vector<job_id> ids;
        for (std::size_t i = 0; i < w.worker_names().size(); ++i)
            ids.push_back(run_spare(w, "fill" + std::to_string(i), payload));
        return ids;
    }

    /// Submits guaranteed work. \returns ms until all members had started.
    static milliseconds time_to_start(cluster_simulation& w,
                                      std::string const& key)
    {
        auto const begun = w.now();
        auto const id = w.submit("cork-sure", key, "run_ms=5000");
        auto const started = [&]
        {
            int members = 0;
            for (auto const& e : w.worker_events())
                members += e.what == "started" && e.task.rfind(id + ".", 0) == 0
                               ? 1
                               : 0;
            return members >= 8;
        };
        expect(w.run_until(started, 4 * urgent_ms), key + " starts at all");
        return w.now() - begun;
    }

public:
    void a_gang_runs_to_its_end()
    {
        cluster_simulation w({});
        ready(w);
        auto const id =
            w.submit("cork-sure", "lot-1", "run_ms=500;result=sorted");
        expect(
            w.run_until([&] { return is(w, id, job_state::ended); }, settle_ms),
            "the gang ends");
        auto const& j = w.state().jobs.at(id);
        expect(j.end == job_end::done, "it is done");
        section("the same key is the same job",
                [&] {
                    expect(w.submit("cork-sure", "lot-1", "") == id, "same id");
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
        no_faults(w);
    }

    void urgent_work_starts_in_time()
    {
        section("on idle accelerators",
                []
                {
                    cluster_simulation w({});
                    ready(w);
                    expect(time_to_start(w, "u") <= urgent_ms, "in time");
                });
        section("on borrowed ones with a quick checkpoint",
                []
                {
                    cluster_simulation w({});
                    ready(w);
                    fill(w, "run_ms=600000;checkpoint_ms=100");
                    auto const ms = time_to_start(w, "u");
                    expect(ms <= urgent_ms,
                           "in time: " + std::to_string(ms) + " ms");
                    no_faults(w);
                });
        section("on borrowed ones with a slow checkpoint",
                []
                {
                    cluster_simulation w({});
                    ready(w);
                    fill(w, "run_ms=600000;checkpoint_ms=60000");
                    auto const ms = time_to_start(w, "u");
                    expect(ms <= urgent_ms,
                           "in time: " + std::to_string(ms) + " ms");
                    no_faults(w);
                });
    }

    void a_silent_worker_does_not_hold_up_a_guarantee()
    {
        for (int victim = 0; victim < 8; ++victim)
        {
            cluster_simulation w({});
            ready(w);
            fill(w, "run_ms=600000;checkpoint_ms=100");
            w.silence_worker("w" + std::to_string(victim), true);
            auto const ms = time_to_start(w, "u");
            expect(ms <= urgent_ms, "with w" + std::to_string(victim) +
                                        " silent: " + std::to_string(ms) +
                                        " ms");
            no_faults(w);
        }
    }

    void a_lost_owner_is_replaced()
    {
        cluster_simulation w({});
        ready(w);
        auto const id = run_spare(w, "long", "run_ms=20000");
        auto const first = w.owner();
        w.kill(first);
        auto const begun = w.now();
        auto const urgent = w.submit("cork-sure", "u", "run_ms=500");
        expect(w.run_until([&] { return is(w, urgent, job_state::running); },
                           settle_ms),
               "another node starts urgent work");
        expect(w.now() - begun <= urgent_ms,
               "failover within the urgent bound: " +
                   std::to_string(w.now() - begun) + " ms");
        expect(w.owner() != first, "another node owns the region");
        expect(w.run_until([&] { return is(w, id, job_state::ended); }, 30'000),
               "the running job ends");
        expect(w.state().jobs.at(id).attempt == 1,
               "it was adopted, not restarted");
        no_faults(w);
    }

    void a_paused_owner_does_no_harm()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            ready(w);
            auto const id = run_spare(w, "long", "run_ms=9000");
            auto const first = w.owner();
            w.pause(first);
            auto const next = w.submit("cork-spare", "b", "run_ms=3000");
            w.run(4000 + 500 * seed);
            w.resume(first);
            auto const both = [&] {
                return is(w, id, job_state::ended) &&
                       is(w, next, job_state::ended);
            };
            expect(w.run_until(both, 60'000),
                   "both jobs end, seed " + std::to_string(seed));
            no_faults(w);
        }
    }

    void a_cut_off_owner_does_no_harm()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            ready(w);
            auto const id = run_spare(w, "long", "run_ms=30000");
            auto const first = w.owner();
            section("it is cut from log and peers, not from workers",
                    [&]
                    {
                        w.cut_log(first, true);
                        w.cut_peers(first, true);
                        w.run(1000 * seed);
                    });
            auto const next = w.submit("cork-sure", "b", "run_ms=3000");
            w.run(5000);
            w.cut_log(first, false);
            w.cut_peers(first, false);
            auto const both = [&] {
                return is(w, id, job_state::ended) &&
                       is(w, next, job_state::ended);
            };
            expect(w.run_until(both, 120'000),
                   "both jobs end, seed " + std::to_string(seed));
            no_faults(w);
        }
    }

    /// Work that waits when a region is claimed: its first order meets one
    /// that is under way.
    void a_new_owner_places_waiting_work_at_once()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            ready(w);
            w.kill(w.owner());
            std::vector<job_id> ids;
            for (int i = 0; i < 4; ++i)
                ids.push_back(
                    w.submit("cork-spare", std::to_string(i), "run_ms=500"));
            for (auto const& id : ids)
            {
                expect(w.run_until([&] { return is(w, id, job_state::ended); },
                                   20'000),
                       "it ends, seed " + std::to_string(seed));
                expect(w.state().jobs.at(id).attempt == 1,
                       "in one attempt, seed " + std::to_string(seed));
            }
        }
    }

    /// The new owner cannot reach the worker that the old one still can.
    void an_owner_without_contact_stops_renewing()
    {
        cluster_simulation w({});
        ready(w);
        auto const id = run_spare(w, "long", "run_ms=60000");
        auto const first = w.owner();
        auto const where = w.state().jobs.at(id).places[0].worker;
        for (std::string const name : {"n0", "n1", "n2"})
            if (name != first)
                w.disconnect_worker(name, where);
        w.cut_log(first, true);
        w.cut_peers(first, true);
        auto const again = [&] {
            return w.state().jobs.at(id).attempt == 2 &&
                   is(w, id, job_state::running);
        };
        expect(w.run_until(again, 60'000), "the job runs again elsewhere");
        w.run(2000);
        no_faults(w);
    }

    void members_start_when_the_last_is_prepared()
    {
        cluster_simulation w({});
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_ms),
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
            expect(w.run_until([&] { return is(w, id, job_state::running); },
                               settle_ms),
                   "filler runs");
        }
        auto const id = w.submit("cork-sure", "u", "run_ms=500");
        expect(
            w.run_until([&] { return is(w, id, job_state::ended); }, settle_ms),
            "the gang ends though its accelerators came one by one");
        no_faults(w);
    }

    void a_lost_worker_restarts_the_gang_as_a_whole()
    {
        cluster_simulation w({});
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_ms),
               "workers are known");
        shape const wide{4, 8, 0, 0, adjacency::rack};
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1, wide)});
        auto const id = w.submit("cork-spare", "wide", "run_ms=4000");
        expect(w.run_until([&] { return is(w, id, job_state::running); },
                           settle_ms),
               "it runs on a rack");
        auto const lost = w.state().jobs.at(id).places[1].worker;
        w.run(500);
        w.lose_worker(lost);
        expect(w.run_until([&] { return is(w, id, job_state::ended); }, 60'000),
               "it ends");
        auto const& j = w.state().jobs.at(id);
        expect(j.end == job_end::done, "done");
        expect(j.attempt >= 2, "it was placed anew");
        no_faults(w);
    }

    void an_outage_of_the_log_lets_running_work_run()
    {
        cluster_simulation w({});
        ready(w);
        auto const id = run_spare(w, "long", "run_ms=25000");
        w.run(500);
        w.set_log_down(true);
        w.run(40'000);
        w.set_log_down(false);
        expect(w.run_until([&] { return is(w, id, job_state::ended); }, 20'000),
               "it ends after the outage");
        expect(w.state().jobs.at(id).attempt == 1, "in one attempt");
        no_faults(w);
    }

    void a_failing_worker_is_quarantined()
    {
        cluster_simulation w({});
        ready(w);
        w.worker("w2").set_failing(true);
        std::vector<job_id> ids;
        for (int i = 0; i < 16; ++i)
        {
            ids.push_back(
                w.submit("cork-spare", "k" + std::to_string(i), "run_ms=300"));
            w.run(1500);
        }
        for (auto const& id : ids)
            expect(w.run_until([&] { return is(w, id, job_state::ended); },
                               60'000) &&
                       w.state().jobs.at(id).end == job_end::done,
                   id + " is done elsewhere");
        expect(w.state().workers.at("w2").condition ==
                   worker_condition::quarantined,
               "w2 gets no more work");
        section("and comes back when it works again",
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
                        "after its time in quarantine");
                });
        no_faults(w);
    }

    void a_cancellation_that_crosses_the_end_has_one_answer()
    {
        int done = 0;
        int cancelled = 0;
        for (std::uint32_t seed = 1; seed <= 30; ++seed)
        {
            world_settings s;
            s.seed = seed;
            cluster_simulation w(s);
            ready(w);
            auto const id = run_spare(w, "k", "run_ms=1000");
            w.run(700 + 20 * seed);
            auto const v = w.write(cancel_record{id});
            expect(v.accepted, "the cancellation is answered");
            expect(w.run_until([&] { return is(w, id, job_state::ended); },
                               settle_ms),
                   "the job ends");
            auto const end = w.state().jobs.at(id).end;
            done += end == job_end::done ? 1 : 0;
            cancelled += end == job_end::cancelled ? 1 : 0;
            no_faults(w);
        }
        expect(done + cancelled == 30, "one of the two each time");
        expect(done > 0 && cancelled > 0, "both were seen");
    }

    void a_large_gang_does_not_starve()
    {
        world_settings s;
        s.policy.max_wait_ms = 20'000;
        cluster_simulation w(s);
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           settle_ms),
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
        auto const feed_small = [&] {
            (void)w.submit("cork-spare", "s" + std::to_string(next++),
                           "run_ms=4000");
        };
        for (int i = 0; i < 32; ++i)
            feed_small();
        w.run(1000);
        auto const big = w.submit("big", "big", "run_ms=1000");
        auto const begun = w.now();
        while (!is(w, big, job_state::ended) && w.now() < begun + 60'000)
        {
            feed_small();
            w.run(100);
        }
        expect(is(w, big, job_state::ended), "the large gang ends");
        expect(w.now() - begun <= s.policy.max_wait_ms + 10'000,
               "within patience and one grace: " +
                   std::to_string(w.now() - begun));
        no_faults(w);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_gangs);

} // namespace
