#pragma once
/// \file
/// Jobs over HTTP: submit, look, wait, cancel, explain.

#include "node_driver.hpp"
#include "replies.hpp"

namespace jasminetrack::daemon
{

/// Serves /v1/jobs. Safe to use from several threads.
class jobs_api
{
public:
    explicit jobs_api(node_driver& c);

    /// \param rest the path behind /v1/jobs
    [[nodiscard]] runtime::http_response
    serve(std::string const& rest, runtime::http_request const& request);

private:
    [[nodiscard]] runtime::http_response
    submit(runtime::http_request const& request);
    [[nodiscard]] runtime::http_response
    list(runtime::http_request const& request) const;
    [[nodiscard]] runtime::http_response
    show(std::string const& id, runtime::http_request const& request);
    [[nodiscard]] runtime::http_response cancel(std::string const& id);
    [[nodiscard]] std::optional<core::job> find(std::string const& id) const;
    [[nodiscard]] runtime::http_response refuse(int status, std::string step,
                                                std::string reason,
                                                std::string remedy) const;

    node_driver& driver_;
};

} // namespace jasminetrack::daemon
