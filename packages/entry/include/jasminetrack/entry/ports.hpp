#pragma once
/// \file
/// What the entry process needs of the platform it runs on. An adapter
/// implements these and translates; it decides nothing.

#include <jasminetrack/tasks/orders.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminetrack::entry
{

using tasks::milliseconds;

/// The topics that the entry process keeps or reads. All are keyed: the
/// newest record of each key stays.
enum class topic : std::uint8_t
{
    jobs,          ///< accepted jobs and cancellations, by any entry VM
    work,          ///< progress of jobs and the dispatcher's role
    configuration, ///< what operators publish
    workers,       ///< what workers say of themselves
};

/// Who appends; the log refuses lower epochs and drops repeats by sequence.
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
    std::optional<std::int64_t> expected_end; ///< only if the topic ends there
    milliseconds timeout_ms = 600;
};

enum class append_result : std::uint8_t
{
    stored,
    fenced,   ///< a higher epoch has written
    conflict, ///< the topic does not end at `expected_end`
    refused,  ///< nothing was done
    unknown,  ///< may have been done, now or later
};

[[nodiscard]] char const* to_text(append_result r) noexcept;

struct append_answer
{
    append_result result = append_result::unknown;
    std::int64_t end = 0;
    std::string reason;
};

struct read_call
{
    entry::topic topic = topic::jobs;
    std::int64_t from = 0;
    milliseconds wait_ms = 0;
};

struct log_entry
{
    std::int64_t offset = 0;
    std::string key;
    std::string value; ///< empty: the key was dropped

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

enum class read_result : std::uint8_t
{
    page,
    trimmed, ///< the records are gone; the newest of each key remain
    failed,
};

struct read_answer
{
    read_result result = read_result::failed;
    std::int64_t next = 0; ///< offset after the last entry
    bool at_end = false;
    std::vector<log_entry> entries;
    std::string reason;
};

struct newest_answer
{
    bool answered = false;
    std::vector<log_entry> entries;
    bool more = false;    ///< continue after the last entry's key
    std::int64_t end = 0; ///< of the topic when this page was made
    std::string reason;
};

/// The platform's log.
class log_port
{
public:
    virtual ~log_port() = default;

    /// Calls back once, on any thread.
    virtual void append(append_call call,
                        std::function<void(append_answer)> done) = 0;
    [[nodiscard]] virtual read_answer read(read_call const& call) = 0;
    [[nodiscard]] virtual newest_answer
    read_newest(topic t, std::string const& after) = 0;
};

/// Orders to workers. Each calls back once, on any thread.
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

/// Decodes what others write into the log. Nothing for an entry that cannot
/// be read; the reason is logged by the caller.
class record_decoder
{
public:
    virtual ~record_decoder() = default;

    /// Only the key's own entry is a configuration; others give nothing.
    [[nodiscard]] virtual std::optional<tasks::configuration>
    configuration_of(log_entry const& e, std::string& reason) const = 0;
    [[nodiscard]] virtual std::optional<tasks::worker_info>
    worker_of(log_entry const& e, std::string& reason) const = 0;
};

/// Everything that a platform provides.
struct platform_ports
{
    log_port& log;
    worker_port& workers;
    record_decoder const& decoder;
};

} // namespace jasminetrack::entry
