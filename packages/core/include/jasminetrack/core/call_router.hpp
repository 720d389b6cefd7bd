#pragma once
/// \file
/// Selection of a target for a call: the least loaded one of the same region
/// that is neither leaving nor backed off after failures.

#include <jasminetrack/core/inventory.hpp>

#include <optional>
#include <set>

namespace jasminetrack::core
{

/// Result of a call at a target.
enum class target_result : std::uint8_t
{
    answered,
    busy,    ///< refused because no slot was free; not run
    leaving, ///< refused because the target is draining; not run
    failed,  ///< no answer, or an error
};

/// Targets that one idempotent call may reach without an answer. A call that
/// crashes each target that runs it must not go through all of them.
inline constexpr int max_unanswered_sends = 3;

/// Name, address and region of a selected target.
struct target
{
    std::string name;
    std::string address;
    std::string region;

    friend bool operator==(target const&, target const&) = default;
};

/// Selects targets for the calls of one service. Not thread-safe; each shard
/// has its own router.
class call_router
{
public:
    /// \param region the region whose targets are preferred
    explicit call_router(std::string region);

    /// \param exclude targets that were already tried
    /// \returns the available target with the fewest calls in flight, from
    /// this region if it has one, else from another region.
    [[nodiscard]] std::optional<target>
    select_target(milliseconds now, std::set<std::string> const& exclude);
    /// Consumes a token of the retry budget. The budget allows one retry for
    /// ten calls and a burst of 20.
    /// \returns false if the budget is exhausted.
    [[nodiscard]] bool consume_retry_token() noexcept;

    /// Replaces the list of targets; keeps the state of those listed again.
    void set_targets(std::vector<worker> const& workers);
    void on_call_started(std::string const& name);
    void on_call_finished(milliseconds now, std::string const& name,
                          target_result result);

private:
    struct target_state
    {
        target endpoint;
        bool leaving = false;
        bool listed = true;
        int in_flight = 0;
        int failures = 0; ///< consecutive
        milliseconds backoff_until_ms = 0;
    };

    [[nodiscard]] target_state const*
    find_least_loaded(milliseconds now, std::set<std::string> const& exclude,
                      bool in_region) const;

    std::string region_;
    std::map<std::string, target_state> targets_;
    std::size_t next_start_ = 0;
    double retry_tokens_;
};

} // namespace jasminetrack::core
