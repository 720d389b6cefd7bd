#pragma once
/// \file
/// Stand-in for the platform's metadata store: keyed topics of one partition.

#include "net.hpp"

#include <condition_variable>
#include <deque>

namespace jasminetrack::review3
{

/// How the store treats the calls of one VM.
enum class store_mode : std::uint8_t
{
    serve,
    refuse, ///< 503
};

/// The limits are those of the settings of a small deployment.
class store
{
public:
    using listener = std::function<void(std::string const&)>;

    /// \param listen  is told of each append that the store rejects
    explicit store(listener listen);
    ~store();

    /// \returns the address of a gate of its own, for one VM.
    [[nodiscard]] std::string open_gate();
    /// Sets how the calls through the gate are treated from now on.
    void set_mode(std::string const& gate, store_mode mode);
    /// Writes as the operator or a worker does; an empty value deletes.
    void put(std::string const& topic, std::string const& key,
             std::string const& value);
    /// \returns the newest value of the key; empty if there is none.
    [[nodiscard]] std::string newest(std::string const& topic,
                                     std::string const& key);
    /// Adds copies of the newest record of a job under other ids, as further
    /// jobs of the same kind would have left them.
    void copy_record(std::string const& topic, std::string const& id,
                     std::vector<std::string> const& ids);
    void stop();

private:
    struct record
    {
        std::string key;
        std::string value;
        std::string bytes;
    };
    struct writer
    {
        std::int64_t epoch = -1;
        std::int64_t sequence = 0;
        std::deque<std::pair<std::int64_t, std::string>> answers;
    };
    struct topic_log
    {
        std::vector<record> records;
        std::map<std::string, std::int64_t> newest; ///< offset by key
        std::map<std::string, writer> writers;
        std::mutex append_mutex; ///< one append at a time
    };
    struct gate
    {
        std::unique_ptr<server> http;
        std::atomic<store_mode> mode{store_mode::serve};
    };

    [[nodiscard]] response handle(request const& r);
    [[nodiscard]] response append(request const& r);
    [[nodiscard]] response read(request const& r);
    [[nodiscard]] response read_newest(request const& r);
    [[nodiscard]] topic_log& topic_of(std::string const& name);
    void add(topic_log& t, record r);

    listener listen_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::map<std::string, std::unique_ptr<topic_log>> topics_;
    std::vector<std::unique_ptr<gate>> gates_;
};

} // namespace jasminetrack::review3
