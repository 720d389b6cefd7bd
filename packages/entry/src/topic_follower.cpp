#include <jasminetrack/entry/topic_follower.hpp>

#include <chrono>

namespace jasminetrack::entry
{
namespace
{

/// After a read that failed; no caller can end this rest.
constexpr milliseconds failed_rest_ms = 200;

} // namespace

topic_follower::topic_follower(log_port& log, topic t, poll_settings poll,
                               topic_listener listener)
    : log_(log), topic_(t), poll_(poll), listener_(std::move(listener))
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

bool topic_follower::refresh(milliseconds limit_ms)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (waiting_)
        return true;
    auto const wanted = ++asked_;
    wake_.notify_all();
    return wake_.wait_for(lock, std::chrono::milliseconds(limit_ms),
                          [&] { return stopping_ || answered_ >= wanted; }) &&
           !stopping_;
}

void topic_follower::rest_after_failure()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds(failed_rest_ms),
                   [&] { return stopping_; });
}

void topic_follower::rest_after_entries()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds(poll_.interval_ms),
                   [&] { return stopping_ || asked_ > answered_; });
}

milliseconds topic_follower::begin_read()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    reading_ = asked_;
    waiting_ = asked_ == answered_;
    return waiting_ ? poll_.long_poll_ms : 0;
}

void topic_follower::end_read(bool answered)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        waiting_ = false;
        if (answered)
            answered_ = reading_;
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
        if (loaded)
            read_once();
        else if (!load())
            rest_after_failure();
    }
}

bool topic_follower::load()
{
    std::vector<log_entry> all;
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
                  std::back_inserter(all));
    }
    next_ = *from;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        loaded_ = !paused_;
    }
    listener_.on_entries(all, next_, true);
    return true;
}

void topic_follower::read_once()
{
    auto const answer = log_.read({topic_, next_, begin_read()});
    if (answer.result == read_result::failed)
    {
        end_read(false);
        listener_.on_failure(answer.reason);
        rest_after_failure();
        return;
    }
    if (answer.result == read_result::trimmed)
    {
        end_read(false);
        std::lock_guard<std::mutex> const lock(mutex_);
        loaded_ = false;
        return;
    }
    next_ = std::max(next_, answer.next);
    listener_.on_entries(answer.entries, next_, false);
    end_read(answer.at_end);
    if (!answer.entries.empty() && answer.at_end)
        rest_after_entries();
}

} // namespace jasminetrack::entry
