/// \file
/// Evacuation of data centers in the state machine of the product's own
/// interface: refused records, placement, seats, calls, snapshots, and a
/// simulated cluster whose owner is lost meanwhile.

#include "cluster_simulation.hpp"
#include "section.hpp"

#include <jasminetrack/core/call_router.hpp>
#include <jasminetrack/core/evacuation.hpp>
#include <jasminetrack/core/policy.hpp>
#include <jasminetrack/protocol/codec.hpp>

#include <nlohmann/json.hpp>

namespace
{

using namespace jasminetrack::core;
using support::expect;
using support::section;
using support::simple_ticket;

/// A region with two workers of 8 accelerators in each of two data centers:
/// w0 and w1 in "a", w2 and w3 in "b".
struct region
{
    cluster_state state;
    std::vector<log_entry> log;

    /// \param guarantees gangs of 8 members that team cork is guaranteed
    explicit region(int guarantees = 0)
    {
        (void)write(claim_record{"bern", "n0", "n0.1", 0});
        workers_record r{"bern", epoch(), {}};
        for (int i = 0; i < 4; ++i)
            r.changed.push_back({"w" + std::to_string(i), "bern",
                                 i < 2 ? "ra" : "rb", "", 8, 64000, 256000,
                                 worker_condition::live, i < 2 ? "a" : "b"});
        (void)write(r);
        auto const v =
            write(ticket_record{simple_ticket(1, "cork", "bern", guarantees)});
        expect(v.accepted, v.reason);
    }

    apply_result write(record body)
    {
        auto const next = log.size();
        log.push_back({next, 1000 + static_cast<milliseconds>(next), "n0.1",
                       next + 1, std::move(body)});
        return apply(state, log.back());
    }
    apply_result evacuate(std::string const& data_center,
                          bool move_seats = true)
    {
        return write(evacuate_record{data_center, true, move_seats});
    }
    apply_result restore(std::string const& data_center)
    {
        return write(evacuate_record{data_center, false, true});
    }
    [[nodiscard]] epoch_number epoch() const
    {
        return state.owners.at("bern").epoch;
    }
    job_id submit(std::string const& key, std::string const& kind = "spare")
    {
        return write(submit_record{"cork", key, "cork-" + kind, "", 0}).id;
    }
    [[nodiscard]] std::vector<place_record> decide() const
    {
        placement_round round(state, {}, "bern", {});
        std::vector<place_record> decided;
        for (auto const* j : queue_order(state, "bern", {}))
            if (auto place = round.decide(*j))
            {
                place->epoch = epoch();
                decided.push_back(*place);
            }
        return decided;
    }
    void place_all()
    {
        for (auto const& place : decide())
        {
            auto const v = write(place);
            expect(v.accepted, "a decided placement is accepted: " + v.reason);
            expect(!touches_evacuated(state, place.places),
                   "nothing new is placed in an evacuated data center");
        }
    }
    apply_result change(job_id const& id, job_change c)
    {
        job_record r;
        r.job = id;
        r.epoch = epoch();
        r.attempt = at(id).attempt;
        r.change = c;
        return write(r);
    }
    /// Submits a job, places and starts it.
    job_id run(std::string const& key, std::string const& kind = "spare")
    {
        auto const id = submit(key, kind);
        place_all();
        (void)change(id, job_change::started);
        return id;
    }
    [[nodiscard]] job const& at(job_id const& id) const
    {
        return state.jobs.at(id);
    }
    [[nodiscard]] std::string data_center(assignment const& places) const
    {
        return places.empty()
                   ? ""
                   : state.workers.at(places.front().worker).data_center;
    }
    /// \returns the data centers of the seats, in the order of their names.
    [[nodiscard]] std::string seat_data_centers() const
    {
        std::string all;
        for (auto const& [name, s] : state.seats)
            all += s.places.empty() ? "-" : data_center(s.places);
        return all;
    }
    [[nodiscard]] std::string unmet() const
    {
        std::string all;
        for (auto const& g : find_unmet_guarantees(state))
            all += g.seat + ": " + g.reason + "\n";
        return all;
    }
};

class test_evacuated_regions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_evacuated_regions);
    CPPUNIT_TEST(unknown_and_last_data_centers_are_refused);
    CPPUNIT_TEST(repeated_records_change_nothing);
    CPPUNIT_TEST(nothing_new_is_placed_and_running_work_goes_on);
    CPPUNIT_TEST(seats_move_where_they_may);
    CPPUNIT_TEST(a_seat_in_use_moves_after_its_job);
    CPPUNIT_TEST(seats_that_may_not_move_stay);
    CPPUNIT_TEST(no_seat_moves_into_an_evacuated_data_center);
    CPPUNIT_TEST(unmet_guarantees_are_named);
    CPPUNIT_TEST(calls_avoid_evacuated_targets);
    CPPUNIT_TEST(snapshots_and_records_carry_evacuations);
    CPPUNIT_TEST(random_evacuations_keep_the_invariants);
    CPPUNIT_TEST(a_successor_of_the_owner_obeys_the_evacuation);
    CPPUNIT_TEST_SUITE_END();

    static void expect_refused(region& r, evacuate_record const& record,
                               std::string const& reason)
    {
        auto before = r.state;
        auto const v = r.write(record);
        expect(!v.accepted && v.reason.find(reason) != std::string::npos,
               v.reason);
        before.next = r.state.next;
        before.log_time = r.state.log_time;
        before.writers = r.state.writers;
        expect(before == r.state, "nothing is changed");
    }

public:
    void unknown_and_last_data_centers_are_refused()
    {
        region r(2);
        expect_refused(r, {"c", true, true},
                       "there is no data center 'c'; known data centers: a, b");
        expect_refused(r, {"c", false, true}, "there is no data center 'c'");
        expect_refused(r, {"", true, true}, "there is no data center ''");
        section("the last one in service",
                [&]
                {
                    expect(r.evacuate("a").accepted, "the first");
                    expect_refused(r, {"b", true, true}, "is the last one");
                });
        section("the last one with live workers",
                [&]
                {
                    expect(r.restore("a").accepted, "restored");
                    workers_record lost{"bern", r.epoch(), {}};
                    for (auto const* name : {"w2", "w3"})
                    {
                        lost.changed.push_back(r.state.workers.at(name));
                        lost.changed.back().condition = worker_condition::lost;
                    }
                    (void)r.write(lost);
                    expect_refused(r, {"a", true, true}, "is the last one");
                    expect(r.evacuate("b").accepted, "one without workers");
                });
    }

    void repeated_records_change_nothing()
    {
        region r(2);
        for (bool const evacuated : {true, true, false, false})
        {
            auto const v = r.write(evacuate_record{"a", evacuated, true});
            expect(v.accepted, v.reason);
            expect(r.state.evacuations.count("a") == (evacuated ? 1U : 0U),
                   "the state that was asked for");
        }
        (void)r.evacuate("a");
        auto before = r.state;
        auto const v = r.evacuate("a", false);
        expect(v.effects.front().text.find("already") != std::string::npos,
               v.effects.front().text);
        expect(before.evacuations == r.state.evacuations &&
                   before.seats == r.state.seats,
               "a repeat does not change the first");
    }

    void nothing_new_is_placed_and_running_work_goes_on()
    {
        region r;
        std::vector<job_id> running;
        for (auto const* key : {"1", "2", "3"})
            running.push_back(r.run(key));
        auto const prepared = r.submit("prepared");
        r.place_all();
        auto const victim_dc = r.data_center(r.at(prepared).places);
        auto const other = victim_dc == "a" ? "b" : "a";
        auto const before = r.state.jobs;
        (void)r.evacuate(victim_dc);
        section("what runs there runs on",
                [&]
                {
                    for (auto const& id : running)
                        expect(r.at(id) == before.at(id), id);
                    auto const status = evacuation_statuses(r.state);
                    expect(status.size() == 1 && status[0].workers == 2 &&
                               status[0].gang_members == 8,
                           "one gang remains");
                });
        section("a gang that has not started is placed again",
                [&]
                {
                    expect(
                        r.at(prepared).state == job_state::waiting &&
                            !r.change(prepared, job_change::started).accepted,
                        "it does not start there");
                });
        section("a free worker there is not used",
                [&]
                {
                    expect(r.decide().empty(), "no room elsewhere");
                    expect(explain(r.state, r.at(prepared), {})
                                   .find("evacuated: data center " +
                                         victim_dc) != std::string::npos,
                           explain(r.state, r.at(prepared), {}));
                });
        section("the place of an ended gang elsewhere is used",
                [&]
                {
                    auto const ended = std::find_if(
                        running.begin(), running.end(),
                        [&](job_id const& id)
                        { return r.data_center(r.at(id).places) == other; });
                    expect(r.change(*ended, job_change::done).accepted, "done");
                    r.place_all();
                    expect(r.data_center(r.at(prepared).places) == other,
                           "placed in service");
                });
        section("a placement decided before the evacuation is refused",
                [&]
                {
                    (void)r.restore(victim_dc);
                    auto const late = r.submit("late");
                    auto const decided = r.decide();
                    expect(decided.size() == 1, "decided");
                    (void)r.evacuate(victim_dc);
                    auto const v = r.write(decided.front());
                    expect(!v.accepted &&
                               v.reason.find("evacuated") != std::string::npos,
                           v.reason);
                    (void)r.restore(victim_dc);
                    r.place_all();
                    expect(r.at(late).state == job_state::placed,
                           "placed once it is restored");
                });
    }

    void seats_move_where_they_may()
    {
        region r(2);
        auto const from = r.seat_data_centers().substr(0, 1);
        std::string const to = from == "a" ? "b" : "a";
        (void)r.evacuate(from);
        expect(r.seat_data_centers() == to + to, r.seat_data_centers());
        expect(r.unmet().empty(), r.unmet());
        r.run("1", "guaranteed");
        (void)r.restore(from);
        expect(r.seat_data_centers() == to + to,
               "seats that could stay are not moved back");
    }

    void a_seat_in_use_moves_after_its_job()
    {
        region r(1);
        auto const id = r.run("1", "guaranteed");
        auto const from = r.data_center(r.at(id).places);
        auto const seat = r.at(id).seat;
        (void)r.evacuate(from);
        expect(r.at(id).seat == seat && r.seat_data_centers() == from,
               "the job keeps its guarantee while it runs");
        expect(r.unmet().empty(), r.unmet());
        expect(evacuation_statuses(r.state)[0].seats ==
                   std::vector<std::string>{seat},
               "its seat remains");
        expect(r.change(id, job_change::done).accepted, "done");
        expect(r.seat_data_centers() != from, "the seat moves then");
        r.run("2", "guaranteed");
    }

    void seats_that_may_not_move_stay()
    {
        region r(2);
        auto const places = r.seat_data_centers();
        auto const from = places.substr(0, 1);
        (void)r.evacuate(from, false);
        expect(r.seat_data_centers() == places, "no seat moves");
        expect(r.unmet().find("cork#0.0: its seat stays") != std::string::npos,
               r.unmet());
        section("nor when workers change or its job ends",
                [&]
                {
                    (void)r.write(workers_record{
                        "bern", r.epoch(), {r.state.workers.at("w3")}});
                    (void)r.submit("spare");
                    r.place_all();
                    expect(r.seat_data_centers() == places, "no seat moves");
                });
        section("and they are met again after the restoration",
                [&]
                {
                    (void)r.restore(from);
                    expect(r.seat_data_centers() == places, "as before");
                    expect(r.unmet().empty(), r.unmet());
                });
    }

    /// Guards against a seat that moves there in part, for a gang that is
    /// smaller than the seat.
    void no_seat_moves_into_an_evacuated_data_center()
    {
        region r;
        auto t = simple_ticket(1, "canvas", "bern", 1,
                               {2, 8, 0, 0, adjacency::none});
        t.objects.push_back(job_class{"canvas-small",
                                      "canvas",
                                      "bern",
                                      {1, 8, 0, 0, adjacency::none},
                                      capacity_source::guarantee,
                                      true});
        expect(r.write(ticket_record{t}).accepted, "the ticket");
        (void)r.evacuate("a");
        (void)r.write(submit_record{"canvas", "1", "canvas-small", "", 0});
        auto decided = r.decide();
        expect(decided.size() == 1, "decided");
        auto moved = decided.front();
        moved.seat_places = {moved.places.front(), {"w0", 0, 8}};
        auto const v = r.write(moved);
        expect(!v.accepted &&
                   v.reason.find("evacuated data center") != std::string::npos,
               v.reason);
        expect(r.write(decided.front()).accepted, "its own places");
    }

    void unmet_guarantees_are_named()
    {
        region r(4);
        auto const id = r.run("1", "guaranteed");
        auto const from = r.data_center(r.at(id).places);
        (void)r.evacuate(from);
        auto const unmet = find_unmet_guarantees(r.state);
        expect(unmet.size() == 2, r.unmet());
        section("one that is met until its job ends",
                [&]
                {
                    auto const own =
                        std::find_if(unmet.begin(), unmet.end(),
                                     [&](unmet_guarantee const& g)
                                     { return g.seat == r.at(id).seat; });
                    expect(own != unmet.end() &&
                               own->reason.find("once the job") !=
                                   std::string::npos,
                           r.unmet());
                });
        section("a guarantee in service is not broken for it",
                [&]
                {
                    expect(broken_guarantees(r.state).size() == 1,
                           "only the one without room");
                    (void)r.change(id, job_change::done);
                    expect(broken_guarantees(r.state).size() == 2,
                           "the other after its job");
                });
        section("all are met after the restoration",
                [&]
                {
                    (void)r.restore(from);
                    expect(r.unmet().empty() &&
                               broken_guarantees(r.state).empty(),
                           r.unmet());
                });
    }

    void calls_avoid_evacuated_targets()
    {
        region r;
        std::vector<worker> listed;
        for (auto const& [name, w] : r.state.workers)
            listed.push_back(w);
        call_router router("bern");
        auto const selects = [&](std::string const& data_center)
        {
            router.set_targets(call_targets(r.state, listed));
            for (milliseconds now = 0; now < 20; ++now)
                if (auto const t = router.select_target(now, {});
                    t && r.state.workers.at(t->name).data_center == data_center)
                    return true;
            return false;
        };
        expect(selects("a"), "in service");
        (void)r.evacuate("a");
        expect(!selects("a") && selects("b"), "evacuated");
        (void)r.restore("a");
        expect(selects("a"), "in service again");
    }

    void snapshots_and_records_carry_evacuations()
    {
        namespace protocol = jasminetrack::protocol;
        region r(2);
        (void)r.evacuate("a", false);
        auto const data = protocol::encode(r.state);
        section("a snapshot restores the state",
                [&]
                {
                    auto const decoded = protocol::decode_state(data);
                    expect(decoded && decoded.value() == r.state, "equal");
                    region resumed = r;
                    resumed.state = decoded.value();
                    expect(resumed.submit("1") == r.submit("1"), "same job");
                    resumed.place_all();
                    r.place_all();
                    expect(resumed.state == r.state, "same decisions");
                });
        section("a snapshot of an older version has no evacuations",
                [&]
                {
                    auto j = nlohmann::json::from_cbor(data);
                    j.erase("evacuations");
                    for (auto& w : j["workers"])
                        w.erase("data_center");
                    auto const decoded =
                        protocol::decode_state(nlohmann::json::to_cbor(j));
                    expect(decoded && decoded.value().evacuations.empty() &&
                               decoded.value().workers.size() == 4,
                           "it loads");
                });
        section("a record is decoded as it was encoded",
                [&]
                {
                    auto const decoded = protocol::decode_record(
                        protocol::encode(protocol::written_record{
                            "n0.1", 7, evacuate_record{"a", false, false}}));
                    expect(static_cast<bool>(decoded), "it decodes");
                    auto const* record =
                        std::get_if<evacuate_record>(&decoded.value().body);
                    expect(record != nullptr && record->data_center == "a" &&
                               !record->evacuated && !record->move_seats,
                           "the same record");
                });
    }

    void random_evacuations_keep_the_invariants()
    {
        constexpr std::uint32_t seeds = 60;
        constexpr int steps = 120;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            std::mt19937 random(seed);
            region r(3);
            for (int step = 0; step < steps; ++step)
                section("seed " + std::to_string(seed) + " step " +
                            std::to_string(step),
                        [&]
                        {
                            random_step(r, random, step);
                            expect_consistent(r);
                        });
            cluster_state replayed;
            for (auto const& e : r.log)
                (void)apply(replayed, e);
            expect(replayed == r.state, "a replay gives the same state");
        }
    }

    static void random_step(region& r, std::mt19937& random, int step)
    {
        auto const key = std::to_string(step);
        switch (random() % 5)
        {
        case 0:
            (void)r.submit(key, random() % 2 == 0 ? "spare" : "guaranteed");
            break;
        case 1:
            r.place_all();
            break;
        case 2:
            (void)r.write(evacuate_record{random() % 2 == 0 ? "a" : "b",
                                          random() % 2 == 0,
                                          random() % 2 == 0});
            break;
        case 3:
        {
            auto w = r.state.workers.at("w" + std::to_string(random() % 4));
            w.condition = random() % 3 == 0 ? worker_condition::lost
                                            : worker_condition::live;
            (void)r.write(workers_record{"bern", r.epoch(), {w}});
            break;
        }
        default:
            advance_one(r, random);
        }
    }

    static void advance_one(region& r, std::mt19937& random)
    {
        auto const active = r.state.ledger.active();
        if (active.empty())
            return;
        auto const id =
            *std::next(active.begin(),
                       static_cast<std::ptrdiff_t>(random() % active.size()));
        auto const s = r.at(id).state;
        (void)r.change(id, s == job_state::placed    ? job_change::started
                           : s == job_state::running ? job_change::done
                                                     : job_change::stopped);
    }

    static void expect_consistent(region const& r)
    {
        std::map<std::string, accelerator_mask> seated;
        for (auto const& [name, s] : r.state.seats)
        {
            for (auto const& [worker_name, mask] : masks_of(s.places))
            {
                expect((seated[worker_name] & mask) == 0, "seats are disjoint");
                seated[worker_name] |= mask;
            }
            bool const may_remain = r.state.ledger.is_in_use(name) ||
                                    is_kept_in_place(s.places, r.state.workers,
                                                     r.state.evacuations);
            expect(may_remain || !touches_evacuated(r.state, s.places),
                   "seat " + name + " has left the evacuated data center");
            bool const is_open = !s.places.empty() &&
                                 !r.state.ledger.is_in_use(name) &&
                                 !touches_evacuated(r.state, s.places);
            job probe;
            probe.team = s.team;
            probe.region = s.region;
            probe.gang = s.wanted;
            probe.draws_on = capacity_source::guarantee;
            probe.submitted = UINT64_MAX;
            expect(!is_open ||
                       placement_round(r.state, {}, "bern", {}).decide(probe),
                   "seat " + name + " can be reclaimed");
        }
        for (auto const& [id, j] : r.state.jobs)
            expect(j.state != job_state::placed ||
                       !touches_evacuated(r.state, j.places),
                   id + " is not about to start there");
    }

    /// Guards against a successor that knows the evacuation only once it has
    /// placed the waiting jobs.
    void a_successor_of_the_owner_obeys_the_evacuation()
    {
        support::world_settings settings;
        settings.racks_per_data_center = 1;
        support::cluster_simulation w(settings);
        constexpr milliseconds timeout_ms = 20'000;
        expect(w.run_until([&] { return w.state().workers.size() == 8; },
                           timeout_ms),
               "all workers become known");
        (void)w.write(ticket_record{simple_ticket(1, "cork", "bern", 1)});
        std::vector<job_id> ids;
        for (int i = 0; i < 8; ++i)
            ids.push_back(
                w.submit("cork-spare", std::to_string(i), "run_ms=9000"));
        auto const all_in = [&](job_state s)
        {
            return std::all_of(ids.begin(), ids.end(),
                               [&](job_id const& id)
                               { return w.state().jobs.at(id).state == s; });
        };
        expect(
            w.run_until([&] { return all_in(job_state::running); }, timeout_ms),
            "all run");
        expect(w.write(evacuate_record{"dc0", true, true}).accepted, "stored");
        auto const late = w.submit("cork-spare", "late", "run_ms=100");
        w.kill(w.owner());
        expect(
            w.run_until([&] { return all_in(job_state::ended); }, timeout_ms),
            "all end");
        for (auto const& id : ids)
            expect(w.state().jobs.at(id).attempt == 1 &&
                       w.state().jobs.at(id).end == job_end::done,
                   "what ran there ran on");
        expect(w.run_until(
                   [&] { return w.state().jobs.at(late).end == job_end::done; },
                   timeout_ms),
               "the new job runs");
        for (auto const& e : w.worker_events())
            if (e.task.starts_with(late + "."))
                expect(w.state().workers.at(e.worker).data_center == "dc1",
                       "in service: " + e.worker);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_evacuated_regions);

} // namespace
