#pragma once
/// \file
/// The network in front of a worker: it can hold up the orders that start
/// tasks, and is dark while the worker has no power.

#include "case_support.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>

namespace jasminetrack::cases
{

/// The network in front of a worker, at the address that the platform lists.
class worker_front
{
public:
    worker_front(std::string address, std::string worker, std::string id)
        : address_(std::move(address)), worker_(std::move(worker)),
          id_(std::move(id)),
          server_(address_,
                  [this](standins::http_request const& r) { return handle(r); })
    {
    }
    ~worker_front()
    {
        server_.stop();
    }

    /// \returns its address, IP:port.
    [[nodiscard]] std::string const& address() const noexcept
    {
        return address_;
    }
    /// Starts are under way for long from now on, and return nothing.
    void delay_starts(bool does)
    {
        to_delay_ = does ? all_starts : 0;
    }
    /// The next start only.
    void delay_one_start()
    {
        to_delay_ = 1;
    }
    /// The worker behind it has no power: nothing is answered.
    void set_dark(bool is_dark)
    {
        is_dark_ = is_dark;
    }
    /// \returns when the newest call to /api/hold came; 0: none.
    [[nodiscard]] milliseconds held_at() const
    {
        return held_at_;
    }
    /// \returns when the first start that is under way was sent; 0: none.
    [[nodiscard]] milliseconds first_delayed_at()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return delayed_.empty() ? 0 : delayed_.front().first;
    }
    /// The first start reaches the process that the worker has now.
    /// \returns the status that it is answered with.
    [[nodiscard]] int deliver_first()
    {
        standins::http_call call;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            call = delayed_.front().second;
        }
        auto const answer = review::send(call);
        return answer ? answer->status : 0;
    }

private:
    static constexpr milliseconds hold_timeout_ms = 3'500;
    static constexpr milliseconds order_timeout_ms = 1'000;
    static constexpr char const* start_path = "/api/run-start";
    static constexpr char const* hold_path = "/api/hold";

    standins::http_response handle(standins::http_request const& request)
    {
        standins::http_response const nothing{0, "", "",
                                              standins::delivery::mute};
        if (is_dark_)
            return nothing;
        if (request.path == hold_path)
            held_at_ = now_ms();
        standins::http_call const call{
            worker_,
            "POST",
            request.path,
            {{"Content-Type", "application/json"},
             {"X-Expected-Instance", id_}},
            request.body,
            request.path == hold_path ? hold_timeout_ms : order_timeout_ms};
        if (request.path == start_path)
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (to_delay_ > 0)
            {
                --to_delay_;
                delayed_.emplace_back(now_ms(), call);
                return nothing;
            }
        }
        auto const answer = review::send(call);
        if (!answer || is_dark_)
            return nothing;
        return {answer->status, answer->body, "application/json",
                standins::delivery::answer};
    }

    std::string address_;
    std::string worker_;
    std::string id_;
    static constexpr int all_starts = 1'000'000;
    std::atomic<int> to_delay_{0};
    std::atomic<bool> is_dark_{false};
    std::atomic<milliseconds> held_at_{0};
    std::mutex mutex_;
    std::vector<std::pair<milliseconds, standins::http_call>> delayed_;
    standins::http_server server_;
};

/// Writes the worker's entry, with the address of its front.
inline void list(standins::cluster& c, standins::worker& w,
                 std::string const& address)
{
    c.list(w);
    auto entry = nlohmann::json::parse(w.list_entry());
    entry["address"] = address;
    c.store().put("keyed.servers", w.id(), entry.dump());
}

} // namespace jasminetrack::cases
