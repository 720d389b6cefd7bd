#pragma once
/// \file
/// Interfaces to the platform that an entry process runs on. An adapter
/// translates them to the platform's protocols and makes no decisions.

#include <jasminetrack/tasks/orders.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// The topics that an entry process reads or writes. All are keyed: the log
/// may drop a record once a newer one of the same key exists.
enum class topic : std::uint8_t
{
    jobs,          ///< accepted jobs, cancellations and entry VMs' addresses
    work,          ///< progress of jobs and the dispatcher's role
    configuration, ///< configurations that operators publish
    workers,       ///< workers' descriptions of themselves
};

inline constexpr std::size_t topic_count = 4;

[[nodiscard]] char const* to_text(topic t) noexcept;

/// Identifies an append. The log refuses an append whose epoch is lower than
/// the writer's highest one, and confirms a repeated sequence without storing
/// the records again.
struct log_writer
{
    std::string name;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;

    friend bool operator==(log_writer const&, log_writer const&) = default;
};

struct append_call
{
    entry::topic topic = topic::jobs;
    std::vector<tasks::log_record> records;
    log_writer writer;
    /// If set, the append is stored only if the topic ends at this offset.
    std::optional<std::int64_t> expected_end;
    milliseconds timeout_ms = 600;
};

enum class append_result : std::uint8_t
{
    stored,
    fenced,   ///< an append with a higher epoch was stored
    conflict, ///< `expected_end` or the sequence does not match
    refused,  ///< nothing was stored
    unknown,  ///< the records may be stored, now or later
};

[[nodiscard]] char const* to_text(append_result r) noexcept;

struct append_answer
{
    append_result result = append_result::unknown;
    std::int64_t end = 0; ///< of the topic, after the append
    std::string reason;
};

struct read_call
{
    entry::topic topic = topic::jobs;
    std::int64_t from = 0;    ///< offset of the first entry
    milliseconds wait_ms = 0; ///< the log holds the read open for an entry
    std::int64_t max_kb = 0;  ///< size of the page; 0: the log's own limit
};

struct log_entry
{
    std::int64_t offset = 0;
    std::string key;
    std::string value; ///< empty: the key was deleted

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

enum class read_result : std::uint8_t
{
    page,
    trimmed, ///< the log has dropped the entries at `from`
    failed,
};

struct read_answer
{
    read_result result = read_result::failed;
    std::int64_t next = 0; ///< offset after the last entry
    bool at_end = false;   ///< `next` is the end of the topic
    std::vector<log_entry> entries;
    std::string reason;
};

/// A page of the newest entries of each key, in the order of the keys.
struct newest_answer
{
    bool answered = false;
    std::vector<log_entry> entries;
    bool more = false;    ///< there are entries after the last entry's key
    std::int64_t end = 0; ///< of the topic when the log made this page
    std::string reason;
};

/// The platform's log.
class log_port
{
public:
    virtual ~log_port() = default;

    /// Calls `done` once, on any thread.
    virtual void append(append_call call,
                        std::function<void(append_answer)> done) = 0;
    /// Blocks until the log has answered.
    [[nodiscard]] virtual read_answer read(read_call const& call) = 0;
    /// Blocks until the log has answered.
    /// \param after  the last key of the previous page; empty for the first
    [[nodiscard]] virtual newest_answer
    read_newest(topic t, std::string const& after) = 0;
};

/// Orders to workers. Each function calls `done` once, on any thread.
class worker_port
{
public:
    virtual ~worker_port() = default;

    virtual void renew_lease(tasks::renew_order const& order,
                             std::function<void(tasks::renew_reply)> done) = 0;
    virtual void start(tasks::start_order const& order,
                       std::function<void(tasks::start_reply)> done) = 0;
    virtual void stop(tasks::stop_order const& order,
                      std::function<void(tasks::call_result)> done) = 0;
    virtual void advise(tasks::advice_order const& order,
                        std::function<void(tasks::advice_reply)> done) = 0;
};

/// An operator's request to start nothing in a data center.
struct evacuation
{
    std::string data_center;
    bool in_force = false; ///< false: it was withdrawn

    friend bool operator==(evacuation const&, evacuation const&) = default;
};

/// Decodes entries that operators and workers write into the log. A function
/// returns nothing and sets `reason` for an entry that cannot be decoded.
class record_decoder
{
public:
    virtual ~record_decoder() = default;

    /// Returns nothing and leaves `reason` empty for an entry whose key is not
    /// the configuration's.
    [[nodiscard]] virtual std::optional<tasks::configuration>
    configuration_of(log_entry const& e, std::string& reason) const = 0;
    /// Returns nothing for an entry of the topic of the configuration that is
    /// no evacuation.
    [[nodiscard]] virtual std::optional<evacuation>
    evacuation_of(log_entry const& e) const = 0;
    [[nodiscard]] virtual std::optional<tasks::worker_info>
    worker_of(log_entry const& e, std::string& reason) const = 0;
};

/// The interfaces that a platform provides.
struct platform_ports
{
    log_port& log;
    worker_port& workers;
    record_decoder const& decoder;
};

} // namespace jasminetrack::entry
