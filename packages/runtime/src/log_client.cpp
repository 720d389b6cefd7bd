#include <jasminetrack/runtime/http_client.hpp>
#include <jasminetrack/runtime/log_client.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace jasminetrack::runtime
{
namespace
{

/// How long the log holds a read back when it has no new record.
constexpr std::int64_t long_poll_ms = 1000;
constexpr std::int64_t call_timeout_ms = 3000;
constexpr std::size_t max_batch_records = 256;
constexpr std::size_t max_batch_bytes = 512 * 1024;
constexpr std::chrono::milliseconds retry_delay{100};
/// The log no longer has the offset; the body is the oldest one that it has.
constexpr int status_trimmed = 410;

/// A record that is not yet confirmed by the log.
struct queued_record
{
    std::uint64_t sequence = 0;
    protocol::bytes data;
    bool sent = false; ///< was part of an append request
};

} // namespace

struct log_client::impl
{
    impl(std::string a, std::string i, log_callbacks l)
        : address(std::move(a)), incarnation(std::move(i)),
          callbacks(std::move(l))
    {
    }

    void wait_before_retry()
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait_for(lock, retry_delay, [&] { return stopping; });
    }

    void read_loop()
    {
        while (!is_stopping())
            if (!read_once())
                wait_before_retry();
    }

    bool read_once()
    {
        http_client_request call;
        call.address = address;
        call.path = "/v1/log?from=" + std::to_string(next.load()) +
                    "&wait_ms=" + std::to_string(long_poll_ms);
        call.timeout_ms = call_timeout_ms;
        auto const sent_at = monotonic_ms();
        auto const answer = client.send(call);
        if (answer.result == delivery::answered &&
            answer.status == status_trimmed)
        {
            callbacks.trimmed(std::strtoull(answer.body.c_str(), nullptr, 10));
            return false;
        }
        if (answer.result != delivery::answered || answer.status != 200)
        {
            callbacks.failed("log read failed with status " +
                             std::to_string(answer.status) + ": " +
                             answer.reason);
            return false;
        }
        auto page =
            protocol::decode_page({answer.body.begin(), answer.body.end()});
        if (!page)
        {
            callbacks.failed(to_line(page.failure()));
            return false;
        }
        bytes += answer.body.size();
        auto const& entries = page.value().entries;
        if (!entries.empty())
        {
            auto const after = entries.back().offset + 1;
            if (after > next)
                next = after;
        }
        callbacks.page(page.value(), sent_at);
        return true;
    }

    void write_loop()
    {
        while (true)
        {
            std::vector<protocol::bytes> batch;
            std::uint64_t last = 0;
            {
                std::unique_lock<std::mutex> lock(mutex);
                changed.wait(lock, [&] { return stopping || !queue.empty(); });
                if (queue.empty())
                    return;
                last = fill_batch(batch);
            }
            if (append_batch(batch))
                discard_up_to(last);
            else if (is_stopping())
                return;
            else
                wait_before_retry();
        }
    }

    /// Adds queued records up to the limits of a batch.
    /// \returns the sequence number of the last one.
    std::uint64_t fill_batch(std::vector<protocol::bytes>& batch)
    {
        std::size_t size = 0;
        std::uint64_t last = 0;
        for (auto& r : queue)
        {
            size += r.data.size();
            if (batch.size() == max_batch_records ||
                (size > max_batch_bytes && !batch.empty()))
                break;
            r.sent = true;
            batch.push_back(r.data);
            last = r.sequence;
        }
        return last;
    }

    bool append_batch(std::vector<protocol::bytes> const& batch)
    {
        auto const body = protocol::encode_batch(batch);
        http_client_request call;
        call.address = address;
        call.method = "POST";
        call.path = "/v1/log";
        call.content_type = "application/cbor";
        call.body.assign(body.begin(), body.end());
        call.timeout_ms = call_timeout_ms;
        // Readers skip a record that is stored twice.
        call.resend_if_closed = true;
        ++appends;
        records += batch.size();
        bytes += body.size();
        auto const answer = client.send(call);
        if (answer.result == delivery::answered && answer.status == 200)
            return true;
        ++retries;
        callbacks.failed("log append failed with status " +
                         std::to_string(answer.status) + ": " + answer.reason);
        return false;
    }

    void discard_up_to(std::uint64_t last)
    {
        std::lock_guard<std::mutex> const lock(mutex);
        while (!queue.empty() && queue.front().sequence <= last)
            queue.pop_front();
        changed.notify_all();
    }

    bool is_stopping()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        return stopping;
    }

    std::string address;
    std::string incarnation;
    log_callbacks callbacks;
    http_client client;
    std::atomic<std::uint64_t> next{0};
    std::atomic<std::uint64_t> appends{0};
    std::atomic<std::uint64_t> records{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> bytes{0};
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<queued_record> queue;
    std::uint64_t sequence = 0;
    bool stopping = false;
    std::thread reader;
    std::thread writer;
};

log_client::log_client(std::string address, std::string incarnation,
                       log_callbacks callbacks)
    : impl_(std::make_unique<impl>(std::move(address), std::move(incarnation),
                                   std::move(callbacks)))
{
}

log_client::~log_client()
{
    stop();
}

log_client_stats log_client::stats() const
{
    std::lock_guard<std::mutex> const lock(impl_->mutex);
    return {impl_->appends, impl_->records, impl_->retries, impl_->queue.size(),
            impl_->bytes};
}

void log_client::start(std::uint64_t from)
{
    impl_->next = from;
    impl_->reader = std::thread([this] { impl_->read_loop(); });
    impl_->writer = std::thread([this] { impl_->write_loop(); });
}

std::uint64_t log_client::append(core::record body)
{
    std::lock_guard<std::mutex> const lock(impl_->mutex);
    auto const sequence = ++impl_->sequence;
    protocol::written_record r{impl_->incarnation, sequence, std::move(body)};
    impl_->queue.push_back({sequence, protocol::encode(r), false});
    impl_->changed.notify_all();
    return sequence;
}

bool log_client::withdraw(std::uint64_t sequence)
{
    std::lock_guard<std::mutex> const lock(impl_->mutex);
    auto const found =
        std::find_if(impl_->queue.begin(), impl_->queue.end(),
                     [&](auto const& r) { return r.sequence == sequence; });
    if (found == impl_->queue.end() || found->sent)
        return false;
    impl_->queue.erase(found);
    return true;
}

void log_client::confirm(std::uint64_t sequence)
{
    impl_->discard_up_to(sequence);
}

void log_client::set_next(std::uint64_t next)
{
    impl_->next = next;
}

void log_client::stop()
{
    {
        std::lock_guard<std::mutex> const lock(impl_->mutex);
        impl_->stopping = true;
        impl_->changed.notify_all();
    }
    if (impl_->reader.joinable())
        impl_->reader.join();
    if (impl_->writer.joinable())
        impl_->writer.join();
}

} // namespace jasminetrack::runtime
