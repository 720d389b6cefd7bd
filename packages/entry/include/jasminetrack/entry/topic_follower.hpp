#pragma once
/// \file
/// Reads one keyed topic of the log continuously on a thread of its own, and
/// to its end on request.

#include <jasminetrack/entry/ports.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace jasminetrack::entry
{

/// How often a topic is read.
struct poll_settings
{
    milliseconds long_poll_ms = 1'000; ///< the log holds a read open this long
    milliseconds interval_ms = 0; ///< pause after a read that returned records
};

/// What one read of a topic has returned.
struct topic_page
{
    std::vector<log_entry> entries; ///< in the order of their offsets
    std::int64_t next = 0;          ///< offset after the last one
    /// They are the newest entry of each key: at the start, after a pause, and
    /// when the log no longer has the next entry.
    bool reloaded = false;
    bool at_end = false; ///< the topic had no more entries
    /// The page has all entries that the log had at this time, if it is at the
    /// end; monotonic.
    milliseconds as_of_ms = 0;
};

/// Callbacks of a follower; they are called on its threads, one at a time.
struct topic_listener
{
    std::function<void(topic_page const& page)> on_page;
    /// A read failed. The follower retries until one succeeds.
    std::function<void(std::string const& reason)> on_failure;
};

/// Safe to use from several threads.
class topic_follower
{
public:
    topic_follower(log_port& log, topic t, poll_settings poll,
                   topic_listener listener);
    ~topic_follower();

    void start();
    void stop();
    void set_interval(milliseconds interval_ms);
    /// Sets for how long the log may hold a read open, from the next one on.
    void set_long_poll(milliseconds long_poll_ms);
    /// Reads the topic now instead of after the interval, and waits until the
    /// listener has the result. While a long poll is open it returns true at
    /// once, so a record that was just stored may still be on its way in the
    /// answer to that poll, and a poll whose connection is silent returns
    /// nothing. The result is therefore no proof that the view is current; see
    /// read_to_end().
    /// \returns false if the log was not read to its end within `limit_ms`.
    bool refresh(milliseconds limit_ms);
    /// Reads the topic on a connection of its own, beside an open long poll.
    /// \param done  called once, on a thread of the follower. It gets true
    ///              after the listener has every entry up to the end that the
    ///              topic had at this call or later, and false if that read
    ///              failed.
    void read_to_end(std::function<void(bool reached)> done);
    /// As above; waits for the result.
    /// \returns false if the end was not reached within `limit_ms`.
    [[nodiscard]] bool read_to_end(milliseconds limit_ms);
    /// \returns whether the topic was read to its end in the last `age_ms`.
    [[nodiscard]] bool was_at_end_within(milliseconds age_ms) const;
    /// \returns when the topic was last read to its end. All entries up to
    ///          there were passed to the listener before. Nothing: not yet.
    [[nodiscard]] std::optional<milliseconds> last_end() const;
    /// \returns the offset of the next entry to read.
    [[nodiscard]] std::int64_t next_offset() const;
    /// Stops or resumes reading; the topic is reloaded on resume.
    void pause(bool paused);

private:
    using end_callback = std::function<void(bool)>;

    void run();
    [[nodiscard]] bool load();
    /// Lets the next read load the topic again.
    void request_load();
    /// Passes the page to the listener, without the entries that it has.
    /// \param from      offset at which the page was read
    /// \param as_of_ms  as in topic_page
    /// \returns false if entries are missing before the page.
    bool deliver(std::int64_t from, read_answer const& page,
                 milliseconds as_of_ms);
    /// Asks for smaller pages after a failed read, as a slow link may not carry
    /// a larger one in time, and for larger ones after a successful read.
    void adapt_page_size(bool succeeded);
    [[nodiscard]] std::int64_t page_kb() const;
    void run_end_reads();
    /// Waits until callbacks wait for the end of the loaded topic.
    /// \returns these callbacks; nothing when the follower stops.
    [[nodiscard]] std::vector<end_callback> await_end_callbacks();
    /// Answers all callbacks that wait for a read which has not begun.
    void fail_end_callbacks();
    [[nodiscard]] bool read_until_end();
    void read_once();
    void back_off();
    void wait_for_interval();
    /// \returns how long the log may hold the next read open; 0 if a refresh
    /// was requested.
    [[nodiscard]] milliseconds begin_read();
    void end_read(bool at_end);

    log_port& log_;
    topic topic_;
    poll_settings poll_;
    topic_listener listener_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool paused_ = false;
    bool loaded_ = false;
    bool long_poll_active_ = false; ///< the log holds a read open
    std::uint64_t refreshes_requested_ = 0;
    std::uint64_t refreshes_in_read_ = 0; ///< requested before the current read
    std::uint64_t refreshes_done_ = 0;
    /// Callbacks that wait for a read to the end which has not begun.
    std::vector<end_callback> end_callbacks_;
    milliseconds at_end_ms_ = -1; ///< latest read to the end; -1: none
    std::int64_t page_kb_;        ///< largest page to read next
    /// Held during a delivery; locked before `mutex_`.
    mutable std::mutex delivery_mutex_;
    std::int64_t next_ = 0; ///< guarded by `delivery_mutex_`
    std::thread thread_;
    std::thread end_reader_; ///< started by the first read_to_end()
};

} // namespace jasminetrack::entry
