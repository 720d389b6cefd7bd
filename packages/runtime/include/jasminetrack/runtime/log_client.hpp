#pragma once
/// \file
/// Client of the platform's log: a reader that polls for new records and a
/// writer that appends in batches.

#include <jasminetrack/protocol/codec.hpp>

#include <functional>
#include <memory>
#include <string>

namespace jasminetrack::runtime
{

/// Callbacks of the log client, called from its threads.
struct log_callbacks
{
    /// A page of records was read.
    /// \param page    the records in log order, and the end of the log
    /// \param sent_ms monotonic time at which the read was sent
    std::function<void(protocol::log_page page, std::int64_t sent_ms)> page;
    /// The requested offset was trimmed from the log.
    /// \param first oldest offset that the log still has
    std::function<void(std::uint64_t first)> trimmed;
    /// A request to the log failed; the client retries it.
    std::function<void(std::string reason)> failed;
};

/// Counters for the metrics, since the start of the client.
struct log_client_stats
{
    std::uint64_t appends = 0; ///< append requests, including retries
    std::uint64_t records = 0; ///< records in these requests
    std::uint64_t retries = 0; ///< append requests that failed
    std::uint64_t queued = 0;  ///< records not yet confirmed
    std::uint64_t bytes = 0;   ///< of appends and of read responses
};

/// Reads on one thread and writes on another. Records queued during an append
/// are sent together in the next one. An append is retried until it is
/// confirmed; readers drop duplicates by writer and sequence number.
class log_client
{
public:
    /// \param address     IP:port of the platform
    /// \param incarnation name of this process run, sent as the writer of each
    ///                    record
    log_client(std::string address, std::string incarnation,
               log_callbacks callbacks);
    ~log_client();

    [[nodiscard]] log_client_stats stats() const;

    /// Starts both threads. Reading begins at offset `from`.
    void start(std::uint64_t from);
    /// Queues a record.
    /// \returns its sequence number.
    std::uint64_t append(core::record body);
    /// Removes a record from the queue.
    /// \returns false if it may already have been sent.
    [[nodiscard]] bool withdraw(std::uint64_t sequence);
    /// Removes the records up to `sequence` from the queue; call it when they
    /// were read back from the log.
    void confirm(std::uint64_t sequence);
    /// Sets the offset at which the next read begins.
    void set_next(std::uint64_t next);
    /// Stops both threads. Queued records are still appended until an append
    /// fails.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jasminetrack::runtime
