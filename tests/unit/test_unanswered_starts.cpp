/// \file
/// Tests the dispatcher with starts whose first send gets no answer and whose
/// repeat is refused.

#include "manual_dispatcher.hpp"
#include "section.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace
{

using namespace support;

/// Every refusal of a start that shows only that this send was not carried out.
constexpr std::array refusals{call_result::old_run,     call_result::expired,
                              call_result::no_capacity, call_result::no_ticket,
                              call_result::unhealthy,   call_result::invalid};

/// Longer than the window in which a worker accepts a start, and shorter than
/// the time after which a run without progress is ended.
constexpr milliseconds observed_ms = 3'000;
/// A send that got no answer is carried out at most this much later.
constexpr milliseconds max_late_order_ms = 12'000;
/// A worker that refuses a start is sent it for less than this time.
constexpr milliseconds resend_ms = 6'000;
constexpr std::size_t refused_resends = 20;

class test_unanswered_starts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_unanswered_starts);
    CPPUNIT_TEST(a_run_whose_repeat_is_refused_is_not_placed_again);
    CPPUNIT_TEST(a_run_that_its_worker_never_got_is_sent_there_again);
    CPPUNIT_TEST(a_run_that_its_worker_keeps_refusing_is_placed_again);
    CPPUNIT_TEST(a_start_that_was_sent_once_and_refused_is_placed_again);
    CPPUNIT_TEST_SUITE_END();

    static void add_workers(manual_dispatcher& h)
    {
        h.add_worker("w1", 1);
        h.add_worker("w2", 1);
        h.run_for(500);
    }

    /// The first send is not answered; the repeat, in the same millisecond, is
    /// refused.
    static void start_unanswered(manual_dispatcher& h, call_result refusal,
                                 bool carried_out)
    {
        add_workers(h);
        h.start_results = {call_result::no_answer, refusal};
        h.submit("a", "batch");
        h.run_now();
        expect(h.starts.size() == 2 && h.start_results.empty(),
               "the start is repeated at once");
        auto const first = h.starts.front();
        expect(h.starts[1].run == first.run &&
                   h.starts[1].worker == first.worker &&
                   h.starts[1].until_ms == first.until_ms,
               "the repeat is the same order");
        if (carried_out)
            h.running[first.worker].insert(first.run);
    }

public:
    /// Guards against two runs of one task (TWICE): a start was carried out,
    /// and the refusal of its repeat released the run.
    void a_run_whose_repeat_is_refused_is_not_placed_again()
    {
        for (auto const refusal : refusals)
            section(std::string("refused as ") + to_text(refusal),
                    [&]
                    {
                        manual_dispatcher h;
                        start_unanswered(h, refusal, true);
                        h.run_for(observed_ms);
                        expect(h.starts.size() == 2, "no other run is started");
                        expect(h.stops.empty(), "the run is not stopped");
                    });
    }

    /// Guards against two runs of one task (TWICE): the first send may still
    /// arrive, so no other run may start before.
    void a_run_that_its_worker_never_got_is_sent_there_again()
    {
        for (auto const refusal : refusals)
            section(std::string("refused as ") + to_text(refusal),
                    [&]
                    {
                        manual_dispatcher h;
                        start_unanswered(h, refusal, false);
                        auto const first = h.starts.front();
                        h.run_for(observed_ms);
                        expect(h.starts.size() == 3, "it is started again");
                        expect(h.starts[2].run == first.run &&
                                   h.starts[2].worker == first.worker,
                               "as the same run on the same worker");
                        expect(h.starts[2].until_ms > first.until_ms,
                               "with time to arrive");
                        expect(h.running[first.worker].count(first.run) == 1 &&
                                   h.stops.empty(),
                               "it runs there");
                    });
    }

    void a_run_that_its_worker_keeps_refusing_is_placed_again()
    {
        for (auto const refusal : refusals)
            section(std::string("refused as ") + to_text(refusal),
                    [&] { expect_placed_again_late(refusal); });
    }

    void a_start_that_was_sent_once_and_refused_is_placed_again()
    {
        manual_dispatcher h;
        add_workers(h);
        h.start_results = {call_result::unhealthy};
        h.submit("a", "batch");
        h.run_for(4 * manual_dispatcher::step_ms);
        expect(h.starts.size() == 2, "it is started again at once");
        expect(h.starts[1].run.run > h.starts[0].run.run &&
                   h.starts[1].worker != h.starts[0].worker,
               "as another run on another worker");
    }

private:
    static void expect_placed_again_late(call_result refusal)
    {
        manual_dispatcher h;
        start_unanswered(h, refusal, false);
        auto const first = h.starts.front();
        h.start_results.assign(refused_resends, refusal);
        h.run_for(max_late_order_ms);
        section("it is sent nowhere else while the first send may arrive",
                [&]
                {
                    for (auto const& s : h.starts)
                        expect(s.run == first.run && s.worker == first.worker,
                               "the same run on the same worker");
                });
        h.start_results.clear();
        section("it is placed again when no send can arrive",
                [&]
                {
                    h.run_for(resend_ms + observed_ms);
                    expect(h.starts.back().run.run > first.run.run,
                           "another run is started");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_unanswered_starts);

} // namespace
