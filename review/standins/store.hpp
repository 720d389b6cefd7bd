#pragma once
/// \file
/// Stand-in for the platform's metadata store: a log with topics of one
/// partition, as the users' pages describe it.

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jasminetrack::review
{

/// What the store does with a call.
enum class store_action : std::uint8_t
{
    serve,
    refuse,      ///< 503, nothing is done
    lose_answer, ///< the call is carried out, and its connection is reset
    mute,        ///< nothing is done, and the connection returns nothing
};

/// A call to the store, as far as a case needs it to choose an action.
struct store_call
{
    std::string path;  ///< such as "/api/log-append"
    std::string topic; ///< such as "keyed.jobs"
    std::string producer;
    std::vector<std::string> keys; ///< of the records to append
};

/// Safe to use from several threads.
class store
{
public:
    using chooser = std::function<store_action(store_call const&)>;

    /// \param address  IP:port
    explicit store(std::string const& address);
    ~store();

    /// Writes a record, as the operator and the workers do.
    void put(std::string const& topic, std::string const& key,
             std::string const& value);
    /// Sets what is done with each call from now on.
    void set_chooser(chooser choose);
    /// Limits the reads of all machines together, and delays each answer.
    /// \param bytes_per_ms  0: no limit
    void set_read_cost(milliseconds answer_ms, std::int64_t bytes_per_ms);
    /// \returns whether the topic holds a record with this key.
    [[nodiscard]] bool contains(std::string const& topic,
                                std::string const& key);
    /// Ends its server; calls that wait are answered first.
    void stop();

private:
    struct entry
    {
        std::string key;
        std::string value;
    };
    struct accepted_append
    {
        std::int64_t sequence = 0;
        std::int64_t offset = 0;
        std::int64_t end = 0;
    };
    /// Appends of one producer to one topic.
    struct producer_state
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        bool any = false;
        std::deque<accepted_append> latest; ///< the last five
    };
    struct topic_state
    {
        std::vector<entry> entries;
        std::map<std::string, std::size_t> newest; ///< offset by key
        std::map<std::string, producer_state> producers;
    };

    [[nodiscard]] http_response handle(http_request const& request);
    [[nodiscard]] http_response append(http_request const& request);
    [[nodiscard]] http_response read(http_request const& request);
    [[nodiscard]] http_response read_newest(http_request const& request);
    void add(topic_state& topic, entry e);
    /// Waits as long as reading so many bytes takes.
    void take_time(std::size_t bytes);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    chooser choose_;
    milliseconds answer_ms_ = 0;
    std::int64_t bytes_per_ms_ = 0;
    double reads_until_ms_ = 0; ///< when the reads so far are through
    std::map<std::string, topic_state> topics_;
    http_server server_;
};

} // namespace jasminetrack::review
