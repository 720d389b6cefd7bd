#pragma once
/// \file
/// Call routers in shards by service, each under a lock of its own.

#include <jasminetrack/core/call_router.hpp>

#include <array>
#include <mutex>

namespace jasminetrack::daemon
{

/// Safe to use from several threads.
class router_shards
{
public:
    explicit router_shards(std::string region);

    /// Selects a target and counts an open call for it. \returns nothing if no
    /// target outside `exclude` is available.
    [[nodiscard]] std::optional<core::target>
    begin(std::string const& service, std::vector<core::worker> const& workers,
          std::set<std::string> const& exclude);
    void end(std::string const& service, std::string const& target,
             core::target_result result);
    /// \returns whether the service's retry budget allows another attempt.
    [[nodiscard]] bool consume_retry_token(std::string const& service);

private:
    struct shard
    {
        std::mutex mutex;
        std::map<std::string, core::call_router> routers;
    };

    [[nodiscard]] shard& shard_of(std::string const& service);
    [[nodiscard]] core::call_router& router_of(shard& s,
                                               std::string const& service);

    static constexpr std::size_t shard_count = 8;
    std::string region_;
    std::array<shard, shard_count> shards_;
};

} // namespace jasminetrack::daemon
