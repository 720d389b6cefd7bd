/// \file
/// Overload: waiting work kept its order by age, so that a few large jobs made
/// many small ones late, and jobs were accepted that could not end before they
/// expired.

#include "overload.hpp"
#include "section.hpp"

#include <jasminetrack/entry/load_admission.hpp>
#include <jasminetrack/entry/retry_advice.hpp>
#include <jasminetrack/entry/settings.hpp>
#include <jasminetrack/tasks/cost_of_delay.hpp>
#include <jasminetrack/tasks/leadership.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace support;
using jasminetrack::entry::load_admission;
using jasminetrack::entry::overload_retry_after_s;

using results = std::map<std::int64_t, caller_results>;

/// What callers got over several seeds, with and without load shedding.
struct comparison
{
    results off;
    results order; ///< with every job accepted
    results on;
    int rejected = 0;
    int rejected_that_expired = 0; ///< without load shedding
};

void add(results& sum, results const& more)
{
    for (auto const& [priority, r] : more)
    {
        auto& s = sum[priority];
        s.in_time += r.in_time;
        s.late += r.late;
        s.expired += r.expired;
        s.rejected += r.rejected;
    }
}

comparison compare(load_burst burst)
{
    constexpr unsigned seeds = 6;
    comparison c;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        overload_simulation off(seed, shedding::off, burst);
        overload_simulation order(seed, shedding::order, burst);
        overload_simulation on(seed, shedding::order_and_admission, burst);
        off.run();
        order.run();
        on.run();
        expect(off.violations().empty() && on.violations().empty(),
               "no invariant is violated");
        add(c.off, off.results());
        add(c.on, on.results());
        add(c.order, order.results());
        for (auto const& id : on.rejected())
        {
            ++c.rejected;
            c.rejected_that_expired += order.expired(id) ? 1 : 0;
        }
    }
    return c;
}

std::string to_text(results const& all)
{
    std::string text;
    for (auto const& [priority, r] : all)
        text += " [" + std::to_string(priority) + "] in time " +
                std::to_string(r.in_time) + " late " + std::to_string(r.late) +
                " expired " + std::to_string(r.expired) + " rejected " +
                std::to_string(r.rejected);
    return text;
}

ordering_key waiting(milliseconds age, double work_core_s)
{
    ordering_key key;
    key.priority = 1;
    key.age_ms = age;
    key.remaining_ms = 1'000;
    key.objective_ms = 10'000;
    key.work_core_s = work_core_s;
    return key;
}

/// A service of 100 cores, all in use for a mean of 5 s, with this work of
/// priority 1 in its queue.
service_reading full_service(double queued_core_s)
{
    service_reading load;
    load.cores.capacity_cores = load.cores.used_cores = 100;
    load.cores.freed_cores_per_s = 10;
    load.cores.priorities[1] = {queued_core_s, 500, 100};
    return load;
}

/// A job of 1 s on 40 cores, with an objective of 2 s.
admission_need small_need()
{
    return {1, 1'000, 2'000, 40, 0, true};
}

job_spec small_spec()
{
    job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].need = {40'000, 1, 0};
    spec.steps[0].estimate_ms = 1'000;
    return spec;
}

class test_load_shedding : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_load_shedding);
    CPPUNIT_TEST(the_order_is_by_the_cost_of_delay);
    CPPUNIT_TEST(urgent_work_keeps_its_order);
    CPPUNIT_TEST(a_job_is_refused_if_it_would_clearly_expire);
    CPPUNIT_TEST(some_jobs_are_never_refused);
    CPPUNIT_TEST(an_entry_vm_counts_what_it_has_accepted);
    CPPUNIT_TEST(a_reading_stays_small);
    CPPUNIT_TEST(callers_are_asked_back_when_there_is_capacity);
    CPPUNIT_TEST(the_setting_is_off_by_default);
    CPPUNIT_TEST(callers_get_more_in_an_overload);
    CPPUNIT_TEST(refused_jobs_would_have_expired);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_order_is_by_the_cost_of_delay()
    {
        auto const large = waiting(3'000, 100);
        auto const small = waiting(1'000, 10);
        expect(precedes(large, small), "by age without load shedding");
        expect(precedes_by_cost(small, large), "the smaller loses more");
        auto const late = waiting(9'500, 1);
        expect(precedes_by_cost(large, late), "work on time comes first");
        auto const later = waiting(15'000, 100);
        expect(precedes_by_cost(later, waiting(14'900, 1)),
               "after half of the time to the expiry, by age");
        auto lower = small;
        lower.priority = 2;
        expect(precedes_by_cost(large, lower), "the higher priority first");
        lower.below_share = true;
        expect(precedes_by_cost(lower, large), "below its share before others");
        auto const expired = waiting(40'000, 1);
        expect(precedes_by_cost(later, expired), "expired work comes last");
    }

    void urgent_work_keeps_its_order()
    {
        for (milliseconds age : {0, 3'000, 9'500, 15'000, 40'000})
            for (double work : {1.0, 100.0})
            {
                auto a = waiting(age, work);
                auto b = waiting(2'000, 10);
                a.priority = b.priority = 0;
                expect(precedes_by_cost(a, b) == precedes(a, b) &&
                           precedes_by_cost(b, a) == precedes(b, a),
                       "age " + std::to_string(age));
            }
    }

    /// The service completes 100 core-seconds per second; the job expires in
    /// 6 s, and is refused if it would end after 9 s.
    void a_job_is_refused_if_it_would_clearly_expire()
    {
        auto const judge = [](double queued, milliseconds age = 0)
        {
            auto const load = full_service(queued);
            return judge_admission(small_need(), &load, age, {});
        };
        auto const soon = judge(200);
        expect(soon.reason == admission_reason::ends_in_time, "2 s of work");
        expect(soon.expiry_ms == 6'000, "three objectives");
        auto const refused = judge(900);
        expect(!refused.accepted(), "9 s of work before it");
        expect(refused.wait_ms > 8'000 && refused.end_ms > 9'000, "its inputs");
        expect(!judge(500).accepted(), "5 s, and 5 s of running work");
        expect(judge(500, 3'000).accepted(), "less waits 3 s later");
        expect(judge(5'000).wait_ms < judge(4'000).wait_ms + 10,
               "larger jobs than it do not count beyond its own size");
        auto load = full_service(900);
        load.cores.least_share_cores = 100;
        load.cores.priorities[0] = {5'000, 0, 5};
        load.cores.priorities[1] = {100, 0, 10};
        expect(judge_admission(small_need(), &load, 0, {}).accepted(),
               "its priority gets its least share");
    }

    void some_jobs_are_never_refused()
    {
        auto const load = full_service(900);
        auto const reason =
            [&](admission_need const& need, milliseconds age = 0)
        { return judge_admission(need, &load, age, {}).reason; };
        auto urgent = small_need();
        urgent.priority = 0;
        expect(reason(urgent) == admission_reason::urgent, "urgent");
        auto lasting = small_need();
        lasting.has_end = false;
        expect(reason(lasting) == admission_reason::no_end, "lasting");
        expect(reason(small_need(), 3'001) == admission_reason::no_reading,
               "an old reading");
        expect(judge_admission(small_need(), nullptr, 0, {}).accepted(),
               "no reading");
        auto idle = full_service(5'000);
        idle.cores.used_cores = 40;
        expect(judge_admission(small_need(), &idle, 0, {}).reason ==
                   admission_reason::room,
               "most of the service is free");
    }

    void an_entry_vm_counts_what_it_has_accepted()
    {
        queue const low{"low", "h", "/l/", "service", 1, 2, 1, 1'000};
        load_reading reading;
        reading.services["service"] = full_service(0);
        auto const bytes = encode(reading);
        load_admission node(true);
        auto const accepts = [&](milliseconds now)
        { return node.judge(now, low, small_spec()).accepted(); };
        node.put_reading(1'000, bytes, 500);
        expect(accepts(1'000), "nothing waits");
        for (int i = 0; i < 30; ++i)
            node.on_accepted(low, small_spec());
        expect(!accepts(1'000), "12 s of work since the reading");
        expect(accepts(4'001), "the reading is too old");
        node.put_reading(1'500, bytes, 500);
        expect(accepts(1'500), "a new reading has that work");
        for (int i = 0; i < 30; ++i)
            node.on_accepted(low, small_spec());
        node.put_reading(1'600, bytes, 3'001);
        node.put_reading(1'600, "unreadable", 0);
        expect(!accepts(1'600), "old and unreadable readings change nothing");
        load_admission off(false);
        off.put_reading(1'000, encode(reading), 0);
        expect(off.metrics(1'000).reading_age_ms > 1'000'000, "off: unused");
    }

    void a_reading_stays_small()
    {
        load_reading reading;
        reading.taken_ms = 1'780'000'000'000;
        reading.services["service"] = full_service(900);
        expect(decode_load(encode(reading)) == reading, "read as written");
        for (int i = 0; i < 40; ++i)
            reading.services["idle" + std::to_string(i)] = full_service(10);
        auto const bytes = encode(reading);
        expect(bytes.size() <= max_reading_bytes, "bounded");
        expect(decode_load(bytes)->services.count("service") == 1,
               "the service with the most work stays");
    }

    void callers_are_asked_back_when_there_is_capacity()
    {
        std::set<int> seconds;
        for (int i = 0; i < 50; ++i)
        {
            auto const id = "job" + std::to_string(i);
            expect(overload_retry_after_s(0, id) == 1, "one second at least");
            auto const long_wait = overload_retry_after_s(60'000, id);
            expect(long_wait >= 8 && long_wait <= 10, "ten at most");
            seconds.insert(overload_retry_after_s(6'000, id));
        }
        expect(*seconds.begin() == 6 && seconds.size() >= 2,
               "not before there is capacity, and spread");
    }

    void the_setting_is_off_by_default()
    {
        using jasminetrack::entry::parse_entry_settings;
        auto const limits = [](std::string const& jobs) {
            return parse_entry_settings("jobs: {" + jobs + "}", "f")
                .value.limits;
        };
        expect(!limits("").shed_load, "off");
        expect(limits("shed_load: true").shed_load, "on");
        role_record const role{7, "node", false, {}};
        expect(decode_role(encode(role)) == role, "a role without a load");
        role_record const with_load{7, "node", false, std::string("a\0b", 3)};
        expect(decode_role(encode(with_load)) == with_load, "with a load");
    }

    void callers_get_more_in_an_overload()
    {
        auto const c = compare({8'000, 2});
        auto const text = "off" + to_text(c.off) + "; on" + to_text(c.on);
        auto const& [off, on] = std::tie(c.off, c.on);
        expect(on.at(0).rejected == 0, "urgent work is not refused: " + text);
        expect(on.at(0).in_time * 100 >= off.at(0).in_time * 99,
               "as much urgent work in time: " + text);
        for (std::int64_t const priority : {1, 2})
        {
            expect(on.at(priority).in_time > off.at(priority).in_time,
                   "more in time: " + text);
            expect(on.at(priority).expired < off.at(priority).expired,
                   "less expires: " + text);
        }
    }

    /// A refusal is right if the job would not have ended in time to be of use.
    void refused_jobs_would_have_expired()
    {
        auto const c = compare({20'000, 3});
        auto const text = "off" + to_text(c.off) + "; on" + to_text(c.on) +
                          "; order" + to_text(c.order) + "; of " +
                          std::to_string(c.rejected) +
                          " rejected, expired if accepted " +
                          std::to_string(c.rejected_that_expired);
        expect(c.on.at(0).rejected == 0, "urgent work is accepted: " + text);
        expect(c.rejected > 0, "some jobs are refused: " + text);
        expect(c.rejected_that_expired * 10 >= c.rejected * 9,
               "refused without reason: " + text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_load_shedding);

} // namespace
