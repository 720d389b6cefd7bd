#pragma once
/// \file
/// Reads the platform's log and appends to it in groups.

#include <jasminetrack/protocol/codec.hpp>

#include <functional>
#include <memory>
#include <string>

namespace jasminetrack::runtime
{

/// What the log client tells.
struct log_callbacks
{
    /// Records in order, and the end of the log when it was asked.
    std::function<void(protocol::log_page page, std::int64_t asked_ms)> page;
    /// The log no longer has the record that was asked for.
    std::function<void(std::uint64_t first)> trimmed;
    /// One call of the log failed.
    std::function<void(std::string reason)> failed;
};

/// Figures for the metrics.
struct log_client_stats
{
    std::uint64_t appends = 0; ///< requests to the log
    std::uint64_t records = 0; ///< records in them
    std::uint64_t retries = 0;
    std::uint64_t queued = 0;
    std::uint64_t bytes = 0;
};

/// One thread reads, one writes. All that is queued while an append is under
/// way goes into the next one. An append is repeated until it is confirmed;
/// readers drop the repeats by writer and sequence.
class log_client
{
public:
    /// \param address     IP:port of the platform
    /// \param incarnation writer of the records
    log_client(std::string address, std::string incarnation,
               log_callbacks listener);
    ~log_client();

    [[nodiscard]] log_client_stats stats() const;

    void start(std::uint64_t from);
    /// Queues a record. \returns its sequence.
    std::uint64_t append(core::record body);
    /// Takes a record back. \returns false if it may have been sent.
    [[nodiscard]] bool withdraw(std::uint64_t sequence);
    /// Records of this writer up to `sequence` were read back.
    void confirm(std::uint64_t sequence);
    /// From where the next read goes on.
    void set_next(std::uint64_t next);
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
