#pragma once
/// \file
/// Reads YAML into aggregates and gathers every diagnostic with its place.

#include <jasminetrack/core/outcome.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminetrack::protocol
{

/// What is wrong at one place of a file.
struct diagnostic
{
    core::source_position at;
    std::string key;    ///< such as "teams[0].guarantees[1].region"
    std::string reason; ///< what is wrong
    std::string remedy; ///< what to write instead

    friend bool operator==(diagnostic const&, diagnostic const&) = default;
};

/// \returns "file:line:column: key: reason (remedy)".
[[nodiscard]] std::string to_line(diagnostic const& m);

/// The value read from a file, or all diagnostics of the file at once.
template <typename T> struct parse_result
{
    T value;
    std::vector<diagnostic> diagnostics;

    [[nodiscard]] explicit operator bool() const noexcept
    {
        return diagnostics.empty();
    }
};

namespace detail
{
struct yaml_tree;
}

/// One mapping of a YAML file. Getters add a diagnostic and return the default
/// where the value is missing or wrong; `check_unknown_keys` reports keys that
/// were never requested.
class yaml_reader
{
public:
    /// Parses a text; a syntax error is noted as a diagnostic.
    yaml_reader(std::string const& text, std::string file,
                std::vector<diagnostic>& diagnostics);
    ~yaml_reader();
    yaml_reader(yaml_reader&&) noexcept;

    [[nodiscard]] bool has(std::string const& key) const;

    std::string text(std::string const& key, std::string fallback);
    std::string required_text(std::string const& key);
    /// Lower-case letters, digits, '-' and '_'; 1 to 63 of them.
    std::string required_name(std::string const& key);
    std::int64_t integer(std::string const& key, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum);
    std::int64_t required_integer(std::string const& key, std::int64_t minimum,
                                  std::int64_t maximum);
    double number(std::string const& key, double fallback, double minimum,
                  double maximum);
    bool boolean(std::string const& key, bool fallback);
    /// Such as 500ms, 5s, 10min, 2h. \returns milliseconds.
    std::int64_t duration(std::string const& key, std::int64_t fallback);
    /// Such as 64KB, 512MB, 4GB. \returns bytes.
    std::int64_t size(std::string const& key, std::int64_t fallback);
    /// Such as 127.0.0.1:8100; names are not accepted.
    std::string required_address(std::string const& key);
    std::size_t choice(std::string const& key,
                       std::vector<std::string> const& names,
                       std::size_t fallback);
    std::vector<std::string> text_list(std::string const& key);
    std::vector<yaml_reader> list(std::string const& key);
    yaml_reader child(std::string const& key);
    void check_unknown_keys();
    void add_diagnostic(std::string const& key, std::string reason,
                        std::string remedy);

private:
    explicit yaml_reader(std::unique_ptr<detail::yaml_tree> tree);
    [[nodiscard]] bool scalar(std::string const& key, std::string& value);

    std::unique_ptr<detail::yaml_tree> tree_;
};

} // namespace jasminetrack::protocol
