#pragma once
/// \file
/// HTTP interface for operators: evacuation of data centers.

#include "node_driver.hpp"
#include "responses.hpp"

#include <nlohmann/json.hpp>

namespace jasminetrack::daemon
{

/// \returns the evacuated data centers with what is still there, and the
/// guarantees that cannot be met meanwhile.
[[nodiscard]] nlohmann::json
describe_evacuations(core::cluster_state const& state);

/// Serves /v1/evacuations. Safe to use from several threads.
class evacuations_api
{
public:
    explicit evacuations_api(node_driver& driver);

    /// POST with `{"data_center": NAME, "evacuated": true or false}` evacuates
    /// a data center or restores it; repeating it changes nothing.
    [[nodiscard]] runtime::http_response
    serve(runtime::http_request const& request);

private:
    [[nodiscard]] runtime::http_response
    change(core::evacuate_record const& record);
    [[nodiscard]] runtime::http_response refuse(int status, std::string reason,
                                                std::string remedy) const;

    node_driver& driver_;
};

} // namespace jasminetrack::daemon
