/// \file
/// Records of request handlers on their way into a log that fails.

#include "section.hpp"

#include <jasminetrack/entry/record_writer.hpp>
#include <jasminetrack/entry/relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <thread>

namespace
{

using namespace jasminetrack;
using namespace jasminetrack::entry;
using support::expect;
using support::section;

/// A log that answers within the call, as it is told.
class prompt_log : public log_port
{
public:
    void append(append_call call,
                std::function<void(append_answer)> done) override
    {
        append_answer a;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            a.result = answers_.empty() ? otherwise_ : answers_.front();
            if (!answers_.empty())
                answers_.pop_front();
            calls_.push_back(std::move(call));
        }
        done(a);
    }
    read_answer read(read_call const&) override
    {
        return {};
    }
    newest_answer read_newest(topic, std::string const&) override
    {
        return {};
    }

    void will_answer(std::deque<append_result> answers)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        answers_ = std::move(answers);
    }
    /// Once the answers told are used up; stored at first.
    void otherwise(append_result result)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        otherwise_ = result;
    }
    [[nodiscard]] std::vector<append_call> calls() const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return calls_;
    }

private:
    mutable std::mutex mutex_;
    std::deque<append_result> answers_;
    append_result otherwise_ = append_result::stored;
    std::vector<append_call> calls_;
};

constexpr milliseconds refuse_ms = 200;
constexpr milliseconds wait_ms = 2'000;

class test_record_writer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_record_writer);
    CPPUNIT_TEST(an_answer_within_the_call_does_not_block);
    CPPUNIT_TEST(a_refused_record_was_not_stored);
    CPPUNIT_TEST(an_unknown_append_is_repeated_as_it_was);
    CPPUNIT_TEST(a_failing_log_refuses_at_once);
    CPPUNIT_TEST(a_log_that_is_back_is_used_again);
    CPPUNIT_TEST(a_path_that_fails_is_left_and_tried_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_answer_within_the_call_does_not_block()
    {
        prompt_log log;
        runtime::timer_service timers;
        record_writer writer(log, topic::jobs, "node-1", timers);
        std::vector<std::thread> threads;
        std::atomic<int> stored{0};
        for (int i = 0; i < 8; ++i)
            threads.emplace_back(
                [&, i]
                {
                    auto const r = writer.write({std::to_string(i), "v"},
                                                wait_ms, wait_ms);
                    stored += r == write_result::stored ? 1 : 0;
                });
        for (auto& t : threads)
            t.join();
        expect(stored == 8, "all are stored");
        timers.stop();
    }

    void a_refused_record_was_not_stored()
    {
        prompt_log log;
        runtime::timer_service timers;
        record_writer writer(log, topic::jobs, "node-1", timers);
        log.will_answer({append_result::refused});
        expect(writer.write({"a", "v"}, refuse_ms, wait_ms) ==
                   write_result::refused,
               "refused");
        expect(writer.write({"b", "v"}, refuse_ms, wait_ms) ==
                   write_result::stored,
               "the next one is stored");
        auto const calls = log.calls();
        section("its sequence is used by the next",
                [&]
                {
                    expect(calls.size() == 2, "two appends");
                    expect(calls[0].writer == calls[1].writer, "one sequence");
                    expect(calls[1].records.size() == 1, "without the first");
                });
        timers.stop();
    }

    void an_unknown_append_is_repeated_as_it_was()
    {
        prompt_log log;
        runtime::timer_service timers;
        record_writer writer(log, topic::jobs, "node-1", timers);
        log.will_answer({append_result::unknown, append_result::refused,
                         append_result::stored});
        expect(writer.write({"a", "v"}, wait_ms, wait_ms) ==
                   write_result::stored,
               "stored in the end");
        auto const calls = log.calls();
        expect(calls.size() == 3, "three appends");
        for (auto const& c : calls)
        {
            expect(c.writer == calls[0].writer, "the same sequence");
            expect(c.records == calls[0].records, "the same records");
        }
        timers.stop();
    }

    void a_failing_log_refuses_at_once()
    {
        prompt_log log;
        runtime::timer_service timers;
        record_writer writer(log, topic::jobs, "node-1", timers);
        log.will_answer(
            std::deque<append_result>(1'000, append_result::unknown));
        expect(writer.write({"a", "v"}, refuse_ms, 900) ==
                   write_result::unknown,
               "the first is unknown");
        auto const begun = runtime::monotonic_ms();
        expect(writer.write({"b", "v"}, wait_ms, wait_ms) ==
                   write_result::refused,
               "the second is refused");
        expect(runtime::monotonic_ms() - begun < refuse_ms, "at once");
        for (auto const& c : log.calls())
            expect(c.records.size() == 1 && c.records[0].key == "a",
                   "it never reached the log");
        timers.stop();
    }

    void a_log_that_is_back_is_used_again()
    {
        prompt_log log;
        runtime::timer_service timers;
        record_writer writer(log, topic::jobs, "node-1", timers);
        log.otherwise(append_result::refused);
        auto const write = [&] {
            return writer.write({"a", "v"}, refuse_ms, wait_ms);
        };
        constexpr milliseconds outage_ms = 1'500;
        constexpr milliseconds back_within_ms = 1'000;
        auto const until = runtime::monotonic_ms() + outage_ms;
        while (runtime::monotonic_ms() < until)
            expect(write() == write_result::refused, "refused while away");
        log.otherwise(append_result::stored);
        auto const last = runtime::monotonic_ms() + back_within_ms;
        auto result = write();
        while (result != write_result::stored && runtime::monotonic_ms() < last)
            result = write();
        expect(result == write_result::stored, "stored once it is back");
        timers.stop();
    }

    void a_path_that_fails_is_left_and_tried_again()
    {
        log_route_health health;
        expect(health.try_direct(0), "good until it fails");
        expect(health.on_direct_failure(0), "news");
        expect(!health.on_direct_failure(1), "no news");
        expect(!health.try_direct(100), "left alone");
        expect(health.try_direct(5'000), "tried again");
        expect(!health.try_direct(5'001), "by one call only");
        health.on_peer_failure(5'000);
        expect(!health.may_try_peers(5'100), "peers rest");
        expect(health.may_try_peers(9'000), "and are asked again");
        expect(health.on_direct_success(), "news");
        expect(health.try_direct(9'000), "good");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_record_writer);

} // namespace
