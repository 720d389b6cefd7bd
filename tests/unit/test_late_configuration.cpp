/// \file
/// A dispatcher that reads its jobs before the configuration.

#include "section.hpp"
#include "small_jobs.hpp"

namespace
{

using namespace support;

class test_late_configuration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_late_configuration);
    CPPUNIT_TEST(a_task_without_attempts_left_is_not_started);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_task_without_attempts_left_is_not_started()
    {
        constexpr milliseconds now = 100'000;
        auto const config = two_queues();
        dispatcher d(1, {}, now, nullptr);
        accepted_job job{"a", "batch", "team", now, simple_job(2, 1)};
        auto progress = initial_progress(job.spec);
        progress.units.at({0, 0, 0}).failures =
            find_queue(config, "batch")->max_attempts;
        d.put_job(now, job, progress);
        worker_info w;
        w.id = w.address = "w1";
        w.service = "service";
        w.capacity = {64'000, 128'000, 8};
        w.incarnation = 1;
        d.put_worker(now, w);
        d.tick(now, now);
        (void)d.take_actions();
        renew_reply answer;
        answer.worker = "w1";
        answer.token = 1;
        answer.result = call_result::done;
        answer.incarnation = 1;
        answer.clock_ms = 1;
        d.on_renew(now, answer);
        d.set_configuration(config);
        d.tick(now + 1'000, now + 1'000);
        expect(d.progress_of("a")->phase == job_phase::failed,
               "its job has failed");
        for (auto const& [id, u] : d.progress_of("a")->units)
            expect(u.run == 0, "no task of it is placed");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_late_configuration);

} // namespace
