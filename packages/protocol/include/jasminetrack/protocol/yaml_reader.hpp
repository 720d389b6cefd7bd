#pragma once
/// \file
/// Reads YAML files and collects all errors with their positions.

#include <jasminetrack/core/outcome.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminetrack::protocol
{

/// An error at a position of a file.
struct diagnostic
{
    core::source_position at;
    std::string key;    ///< such as "teams[0].guarantees[1].region"
    std::string reason; ///< what is wrong with the value
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

/// Reads the values of one mapping of a YAML file. A getter returns its
/// fallback, or an empty value if it has none, if the key is missing or its
/// value is wrong. A wrong value adds a diagnostic, and so does a missing key
/// of the `required_` getters.
class yaml_reader
{
public:
    /// Parses a text. A syntax error is added as the only diagnostic.
    /// \param diagnostics must outlive this reader and its children
    yaml_reader(std::string const& text, std::string file,
                std::vector<diagnostic>& diagnostics);
    ~yaml_reader();
    yaml_reader(yaml_reader&&) noexcept;

    [[nodiscard]] bool has(std::string const& key) const;

    std::string text(std::string const& key, std::string fallback);
    /// A text that must not be empty.
    std::string required_text(std::string const& key);
    /// A name of 1 to 63 lower-case letters, digits, '-' and '_'.
    std::string required_name(std::string const& key);
    /// An integer from `minimum` to `maximum`.
    std::int64_t integer(std::string const& key, std::int64_t fallback,
                         std::int64_t minimum, std::int64_t maximum);
    std::int64_t required_integer(std::string const& key, std::int64_t minimum,
                                  std::int64_t maximum);
    /// A decimal number from `minimum` to `maximum`.
    double number(std::string const& key, double fallback, double minimum,
                  double maximum);
    bool boolean(std::string const& key, bool fallback);
    /// A duration such as 500ms, 5s, 10min or 2h.
    /// \returns milliseconds.
    std::int64_t duration(std::string const& key, std::int64_t fallback);
    /// A size such as 64KB, 512MB or 4GB.
    /// \returns bytes.
    std::int64_t size(std::string const& key, std::int64_t fallback);
    /// An IPv4 address with a port, such as 127.0.0.1:8100. Host names are not
    /// accepted.
    std::string required_address(std::string const& key);
    /// One of several names.
    /// \returns its index in `names`.
    std::size_t choice(std::string const& key,
                       std::vector<std::string> const& names,
                       std::size_t fallback);
    std::vector<std::string> text_list(std::string const& key);
    /// A list of mappings.
    std::vector<yaml_reader> list(std::string const& key);
    /// A nested mapping; empty if the key is missing.
    yaml_reader child(std::string const& key);
    /// Adds a diagnostic for each key that no getter requested, and for each
    /// key that appears twice. Call it after all getters.
    void check_unknown_keys();
    /// Adds a diagnostic at the position of a key, or of the mapping if `key`
    /// is empty or missing.
    void add_diagnostic(std::string const& key, std::string reason,
                        std::string remedy);

private:
    explicit yaml_reader(std::unique_ptr<detail::yaml_tree> tree);
    [[nodiscard]] bool scalar(std::string const& key, std::string& value);

    std::unique_ptr<detail::yaml_tree> tree_;
};

} // namespace jasminetrack::protocol
