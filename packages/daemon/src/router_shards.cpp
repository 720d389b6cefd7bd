#include "router_shards.hpp"

#include <jasminetrack/runtime/timer_service.hpp>

namespace jasminetrack::daemon
{

router_shards::router_shards(std::string region) : region_(std::move(region)) {}

router_shards::shard& router_shards::shard_of(std::string const& service)
{
    return shards_[std::hash<std::string>{}(service) % shard_count];
}

core::call_router& router_shards::router_of(shard& s,
                                            std::string const& service)
{
    return s.routers.try_emplace(service, region_).first->second;
}

std::optional<core::target>
router_shards::begin(std::string const& service,
                     std::vector<core::worker> const& workers,
                     std::set<std::string> const& exclude)
{
    auto& s = shard_of(service);
    std::lock_guard<std::mutex> const lock(s.mutex);
    auto& router = router_of(s, service);
    router.set_targets(workers);
    auto target = router.select_target(runtime::monotonic_ms(), exclude);
    if (target)
        router.on_call_started(target->name);
    return target;
}

void router_shards::end(std::string const& service, std::string const& target,
                        core::target_result result)
{
    auto& s = shard_of(service);
    std::lock_guard<std::mutex> const lock(s.mutex);
    router_of(s, service)
        .on_call_finished(runtime::monotonic_ms(), target, result);
}

bool router_shards::consume_retry_token(std::string const& service)
{
    auto& s = shard_of(service);
    std::lock_guard<std::mutex> const lock(s.mutex);
    return router_of(s, service).consume_retry_token();
}

} // namespace jasminetrack::daemon
