/// \file
/// Entry processes together on a platform in memory.

#include "memory_platform.hpp"
#include "section.hpp"

#include <jasminetrack/entry/entry_node.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using support::expect;
using support::section;

constexpr milliseconds run_ms = 100;
constexpr milliseconds most_wait_ms = 10'000;

tasks::configuration one_queue()
{
    tasks::configuration c;
    c.version = 1;
    tasks::queue q;
    q.name = "batch";
    q.host = "h";
    q.prefix = "/b/";
    q.service = "service";
    q.max_attempts = 3;
    c.queues = {q};
    c.teams = {{"team", {"key"}, 0}};
    return c;
}

tasks::job_spec two_steps()
{
    tasks::job_spec spec;
    tasks::step_spec step;
    step.count = 3;
    step.need = {1'000, 1'000, 1};
    step.estimate_ms = run_ms;
    spec.steps = {step, step};
    spec.steps[1].after = {0};
    return spec;
}

/// Some nodes on one log.
class small_site
{
public:
    explicit small_site(int nodes) : workers(run_ms), decoder(one_queue())
    {
        log.put(topic::configuration, "config", "1");
        for (int i = 0; i < 3; ++i)
            log.put(topic::workers, "w" + std::to_string(i), "1");
        for (int i = 0; i < nodes; ++i)
        {
            entry_settings s;
            s.node = "node" + std::to_string(i);
            s.mesh = "127.0.0.1:1";
            all.push_back(std::make_unique<entry_node>(
                s, platform_ports{log, workers, decoder}));
            all.back()->start();
        }
    }

    template <typename Condition> bool await(Condition const& holds)
    {
        auto const until = runtime::monotonic_ms() + most_wait_ms;
        while (!holds() && runtime::monotonic_ms() < until)
            std::this_thread::yield();
        return holds();
    }

    bool completed(std::string const& id)
    {
        return await(
            [&] {
                return all[0]->requests().find_phase(id) ==
                       tasks::job_phase::completed;
            });
    }

    support::memory_log log;
    support::memory_workers workers;
    support::memory_decoder decoder;
    std::vector<std::unique_ptr<entry_node>> all;
};

class test_entry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_entry);
    CPPUNIT_TEST(one_of_several_nodes_dispatches);
    CPPUNIT_TEST(a_successor_takes_over_a_drained_node);
    CPPUNIT_TEST(jobs_survive_an_outage_of_the_log);
    CPPUNIT_TEST(a_peer_that_was_not_reached_has_not_stored);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_of_several_nodes_dispatches()
    {
        small_site site(3);
        expect(site.await([&] { return site.all[0]->is_ready(); }), "ready");
        caller const who{"team", 3'000};
        for (int i = 0; i < 6; ++i)
        {
            auto const id = "job" + std::to_string(i);
            auto& node = *site.all[static_cast<std::size_t>(i % 3)];
            expect(node.requests().submit(who, "batch", id, two_steps()) ==
                       submit_result::accepted,
                   "accepted");
        }
        for (int i = 0; i < 6; ++i)
            expect(site.completed("job" + std::to_string(i)), "completed");
        section("each task ran once",
                [&]
                {
                    auto const starts = site.workers.starts();
                    expect(starts.size() == 36, "all of them");
                    for (auto const& [task, count] : starts)
                        expect(count == 1, "once");
                });
        section("and the dispatcher's metrics tell how long they took",
                [&]
                {
                    int told = 0;
                    for (auto const& node : site.all)
                        if (node->metrics().find(
                                "jasminetrack_job_seconds_count{kind="
                                "\"ended\"} 6") != std::string::npos)
                            ++told;
                    expect(told == 1, "by one node");
                });
        section("and a dispatcher's sequences had no gap",
                [&]
                {
                    auto const records = site.log.size(topic::work);
                    expect(site.await(
                               [&] {
                                   return site.log.size(topic::work) >
                                          records + 2;
                               }),
                           "it goes on");
                    // Claims that lost against another may count.
                    expect(site.log.sequence_conflicts() <= 2, "no gap");
                });
    }

    void a_successor_takes_over_a_drained_node()
    {
        small_site site(2);
        caller const who{"team", 3'000};
        expect(site.await([&] { return site.all[0]->is_ready(); }), "ready");
        expect(site.all[0]->requests().submit(who, "batch", "a", two_steps()) ==
                   submit_result::accepted,
               "accepted");
        expect(site.completed("a"), "completed");
        site.all[1]->drain();
        expect(!site.all[1]->is_ready(), "a draining node is not ready");
        expect(site.all[0]->requests().submit(who, "batch", "b", two_steps()) ==
                   submit_result::accepted,
               "accepted");
        expect(site.completed("b"), "the other one completes it");
    }

    void jobs_survive_an_outage_of_the_log()
    {
        small_site site(2);
        caller const who{"team", 3'000};
        expect(site.await([&] { return site.all[0]->is_ready(); }), "ready");
        expect(site.all[0]->requests().submit(who, "batch", "a", two_steps()) ==
                   submit_result::accepted,
               "accepted");
        site.log.set_down(true);
        expect(site.all[0]->requests().submit(who, "batch", "b", two_steps()) ==
                   submit_result::refused,
               "refused as not run");
        site.log.set_down(false);
        expect(site.completed("a"), "what was accepted completes");
        expect(!site.all[0]->requests().find_phase("b"),
               "what was refused is not");
    }

    void a_peer_that_was_not_reached_has_not_stored()
    {
        support::memory_log log;
        log.set_down(true);
        runtime::http_client client;
        peer_directory peers("self");
        peers.put("other", "127.0.0.1:1");
        relayed_log relayed(log, client, peers);
        append_call call;
        call.topic = topic::jobs;
        call.records.push_back({"key", "value"});
        call.timeout_ms = most_wait_ms;
        std::promise<append_answer> answer;
        relayed.append(call,
                       [&](append_answer const& a) { answer.set_value(a); });
        expect(answer.get_future().get().result == append_result::refused,
               "nothing reached the log on either way");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_entry);

} // namespace
