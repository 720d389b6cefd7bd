#include <jasminetrack/entry/topic_follower.hpp>

#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <utility>

namespace jasminetrack::entry
{
namespace
{

using runtime::monotonic_ms;

/// Pause after a failed read; refresh() does not shorten it.
constexpr milliseconds failure_backoff_ms = 200;
/// Sizes of a page, in KB.
constexpr std::int64_t max_page_kb = 256;
constexpr std::int64_t min_page_kb = 16;

} // namespace

topic_follower::topic_follower(log_port& log, topic t, poll_settings poll,
                               topic_listener listener)
    : log_(log), topic_(t), poll_(poll), listener_(std::move(listener)),
      page_kb_(max_page_kb)
{
}

topic_follower::~topic_follower()
{
    stop();
}

void topic_follower::start()
{
    thread_ = std::thread([this] { run(); });
}

void topic_follower::stop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
    if (end_reader_.joinable())
        end_reader_.join();
}

void topic_follower::pause(bool paused)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (paused && !paused_)
            loaded_ = false;
        paused_ = paused;
    }
    wake_.notify_all();
}

void topic_follower::set_interval(milliseconds interval_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    poll_.interval_ms = interval_ms;
}

void topic_follower::set_long_poll(milliseconds long_poll_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    poll_.long_poll_ms = long_poll_ms;
}

bool topic_follower::refresh(milliseconds limit_ms)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (long_poll_active_)
        return true;
    auto const wanted = ++refreshes_requested_;
    wake_.notify_all();
    return wake_.wait_for(lock, std::chrono::milliseconds(limit_ms),
                          [&]
                          { return stopping_ || refreshes_done_ >= wanted; }) &&
           !stopping_;
}

void topic_follower::back_off()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds(failure_backoff_ms),
                   [&] { return stopping_; });
}

void topic_follower::wait_for_interval()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(
        lock, std::chrono::milliseconds(poll_.interval_ms),
        [&] { return stopping_ || refreshes_requested_ > refreshes_done_; });
}

milliseconds topic_follower::begin_read()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    refreshes_in_read_ = refreshes_requested_;
    long_poll_active_ = refreshes_requested_ == refreshes_done_;
    return long_poll_active_ ? poll_.long_poll_ms : 0;
}

void topic_follower::end_read(bool at_end)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        long_poll_active_ = false;
        if (at_end)
        {
            refreshes_done_ = refreshes_in_read_;
            at_end_ms_ = monotonic_ms();
        }
    }
    wake_.notify_all();
}

void topic_follower::run()
{
    for (;;)
    {
        bool loaded = false;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            wake_.wait(lock, [&] { return stopping_ || !paused_; });
            if (stopping_)
                return;
            loaded = loaded_;
        }
        try
        {
            if (loaded)
                read_once();
            else if (!load())
            {
                fail_end_callbacks();
                back_off();
            }
        }
        catch (std::exception const& e)
        {
            // The listener may have missed entries.
            end_read(false);
            request_load();
            listener_.on_failure(std::string("unexpected error: ") + e.what());
            back_off();
        }
    }
}

void topic_follower::request_load()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    loaded_ = false;
}

bool topic_follower::load()
{
    topic_page all;
    all.reloaded = all.at_end = true;
    all.as_of_ms = monotonic_ms();
    std::string after;
    std::optional<std::int64_t> from;
    for (bool more = true; more;)
    {
        auto page = log_.read_newest(topic_, after);
        if (!page.answered)
        {
            listener_.on_failure(page.reason);
            return false;
        }
        if (!from)
            from = page.end;
        more = page.more && !page.entries.empty();
        if (more)
            after = page.entries.back().key;
        std::move(page.entries.begin(), page.entries.end(),
                  std::back_inserter(all.entries));
    }
    {
        std::lock_guard<std::mutex> const delivery(delivery_mutex_);
        next_ = all.next = *from;
        listener_.on_page(all);
    }
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        loaded_ = !paused_;
    }
    wake_.notify_all();
    return true;
}

bool topic_follower::deliver(std::int64_t from, read_answer const& page,
                             milliseconds as_of_ms)
{
    std::lock_guard<std::mutex> const delivery(delivery_mutex_);
    if (from > next_)
        return false; // the topic was loaded again, from an earlier offset
    auto const is_known = [&](log_entry const& e) { return e.offset < next_; };
    auto const first = std::partition_point(page.entries.begin(),
                                            page.entries.end(), is_known);
    next_ = std::max(next_, page.next);
    listener_.on_page(
        {{first, page.entries.end()}, next_, false, page.at_end, as_of_ms});
    return true;
}

void topic_follower::read_once()
{
    auto const from = next_offset();
    auto const wait_ms = begin_read();
    auto const begun_ms = monotonic_ms();
    auto const answer = log_.read({topic_, from, wait_ms, page_kb()});
    adapt_page_size(answer.result != read_result::failed);
    if (answer.result == read_result::failed)
    {
        end_read(false);
        listener_.on_failure(answer.reason);
        back_off();
        return;
    }
    if (answer.result == read_result::trimmed)
    {
        end_read(false);
        request_load();
        return;
    }
    // An answer without entries was given after the wait.
    auto const as_of_ms = answer.entries.empty()
                              ? std::min(monotonic_ms(), begun_ms + wait_ms)
                              : begun_ms;
    end_read(deliver(from, answer, as_of_ms) && answer.at_end);
    if (!answer.entries.empty() && answer.at_end)
        wait_for_interval();
}

void topic_follower::adapt_page_size(bool succeeded)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    page_kb_ = succeeded ? std::min(2 * page_kb_, max_page_kb)
                         : std::max(page_kb_ / 2, min_page_kb);
}

std::int64_t topic_follower::page_kb() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return page_kb_;
}

void topic_follower::read_to_end(std::function<void(bool reached)> done)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!stopping_)
        {
            end_callbacks_.push_back(std::exchange(done, nullptr));
            if (!end_reader_.joinable())
                end_reader_ = std::thread([this] { run_end_reads(); });
        }
    }
    wake_.notify_all();
    if (done)
        done(false);
}

bool topic_follower::read_to_end(milliseconds limit_ms)
{
    auto const result = std::make_shared<std::promise<bool>>();
    auto reached = result->get_future();
    read_to_end([result](bool r) { result->set_value(r); });
    return reached.wait_for(std::chrono::milliseconds(limit_ms)) ==
               std::future_status::ready &&
           reached.get();
}

bool topic_follower::was_at_end_within(milliseconds age_ms) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return at_end_ms_ >= 0 && monotonic_ms() - at_end_ms_ <= age_ms;
}

std::optional<milliseconds> topic_follower::last_end() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return at_end_ms_ < 0 ? std::nullopt : std::optional(at_end_ms_);
}

std::int64_t topic_follower::next_offset() const
{
    std::lock_guard<std::mutex> const delivery(delivery_mutex_);
    return next_;
}

std::vector<topic_follower::end_callback> topic_follower::await_end_callbacks()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait(lock, [&]
               { return stopping_ || (loaded_ && !end_callbacks_.empty()); });
    return std::exchange(end_callbacks_, {});
}

void topic_follower::fail_end_callbacks()
{
    std::vector<end_callback> waiting;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        waiting.swap(end_callbacks_);
    }
    for (auto const& done : waiting)
        done(false);
}

void topic_follower::run_end_reads()
{
    for (;;)
    {
        auto const waiting = await_end_callbacks();
        bool reached = false;
        try
        {
            reached = read_until_end();
        }
        catch (std::exception const& e)
        {
            request_load();
            listener_.on_failure(std::string("unexpected error: ") + e.what());
        }
        for (auto const& done : waiting)
            done(reached);
        std::lock_guard<std::mutex> const lock(mutex_);
        if (stopping_ && end_callbacks_.empty())
            return;
    }
}

/// A callback that is added while this runs waits for the next run, so the
/// reads begin after the calls that they answer.
bool topic_follower::read_until_end()
{
    for (;;)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (stopping_)
                return false;
        }
        auto const from = next_offset();
        auto const begun_ms = monotonic_ms();
        auto const page = log_.read({topic_, from, 0, page_kb()});
        adapt_page_size(page.result != read_result::failed);
        if (page.result == read_result::trimmed)
            request_load();
        if (page.result != read_result::page || !deliver(from, page, begun_ms))
            return false;
        if (!page.at_end)
            continue;
        std::lock_guard<std::mutex> const lock(mutex_);
        at_end_ms_ = monotonic_ms();
        return true;
    }
}

} // namespace jasminetrack::entry
