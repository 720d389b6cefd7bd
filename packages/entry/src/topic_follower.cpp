#include <jasminetrack/entry/topic_follower.hpp>

#include <chrono>

namespace jasminetrack::entry
{
namespace
{

constexpr milliseconds failed_rest_ms = 200;

} // namespace

topic_follower::topic_follower(log_port& log, topic t, follow_pace pace,
                               follow_listener listener)
    : log_(log), topic_(t), pace_(pace), listener_(std::move(listener))
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

void topic_follower::rest(milliseconds ms)
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds(ms),
                   [&] { return stopping_; });
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
            rest(failed_rest_ms);
    }
}

bool topic_follower::load()
{
    std::vector<log_entry> all;
    std::string after;
    std::optional<std::int64_t> from;
    for (bool more = true; more;)
    {
        auto page = log_.newest(topic_, after);
        if (!page.answered)
        {
            listener_.failed(page.reason);
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
    listener_.entries(all, next_, true);
    return true;
}

void topic_follower::read_once()
{
    auto const answer = log_.read({topic_, next_, pace_.wait_ms});
    if (answer.result == read_result::failed)
    {
        listener_.failed(answer.reason);
        rest(failed_rest_ms);
        return;
    }
    if (answer.result == read_result::trimmed)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        loaded_ = false;
        return;
    }
    next_ = std::max(next_, answer.next);
    listener_.entries(answer.entries, next_, false);
    if (!answer.entries.empty() && pace_.rest_ms > 0)
        rest(pace_.rest_ms);
}

} // namespace jasminetrack::entry
