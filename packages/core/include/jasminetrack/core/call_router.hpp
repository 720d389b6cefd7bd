#pragma once
/// \file
/// Which target gets a call: near, least busy, not failing.

#include <jasminetrack/core/inventory.hpp>

#include <optional>
#include <set>

namespace jasminetrack::core
{

/// What became of a call at a target.
enum class target_result : std::uint8_t
{
    answered,
    busy,    ///< refused for want of a free slot; not run
    leaving, ///< refused because it leaves; not run
    failed,
};

/// A chosen target.
struct target
{
    std::string name;
    std::string address;
    std::string region;

    friend bool operator==(target const&, target const&) = default;
};

/// Chooses targets for the calls of one service. Not safe for several
/// threads at once; each shard has its own.
class call_router
{
public:
    explicit call_router(std::string region);

    /// \param exclude targets tried already
    /// \returns the target with the fewest calls under way, in this region
    /// if it has one that can take a call, else elsewhere.
    [[nodiscard]] std::optional<target>
    select_target(milliseconds now, std::set<std::string> const& exclude);
    /// A retry is allowed for one call in ten, and a few at once.
    [[nodiscard]] bool consume_retry_token() noexcept;

    void set_targets(std::vector<worker> const& workers);
    void on_call_started(std::string const& name);
    void on_call_finished(milliseconds now, std::string const& name,
                          target_result result);

private:
    struct entry
    {
        target where;
        bool leaving = false;
        bool listed = true;
        int under_way = 0;
        int failures = 0; ///< in a row
        milliseconds back_at_ms = 0;
    };

    [[nodiscard]] entry const* best_of(milliseconds now,
                                       std::set<std::string> const& exclude,
                                       bool near) const;

    std::string region_;
    std::map<std::string, entry> targets_;
    std::size_t turn_ = 0;
    double retry_tokens_;
};

} // namespace jasminetrack::core
