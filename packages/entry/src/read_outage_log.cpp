#include "read_outage_log.hpp"

#include <jasminetrack/runtime/logging.hpp>
#include <jasminetrack/runtime/timer_service.hpp>

#include <memory>

namespace jasminetrack::entry
{
namespace
{

using runtime::log_level;
using runtime::monotonic_ms;
using runtime::write_log;

class read_outage
{
public:
    explicit read_outage(std::string topic) : topic_(std::move(topic)) {}

    void on_success()
    {
        if (lost_since_ms_ >= 0)
            write_log(
                log_level::info, "log.read.back",
                {{"topic", topic_},
                 {"lost_ms", std::to_string(monotonic_ms() - lost_since_ms_)}});
        lost_since_ms_ = -1;
    }
    void on_failure(std::string const& reason)
    {
        if (lost_since_ms_ >= 0)
            return;
        lost_since_ms_ = monotonic_ms();
        write_log(log_level::warning, "log.read.lost",
                  {{"topic", topic_}, {"reason", reason}});
    }

private:
    std::string topic_;
    milliseconds lost_since_ms_ = -1;
};

} // namespace

topic_listener log_outages(std::string topic, topic_listener next)
{
    auto const outage = std::make_shared<read_outage>(std::move(topic));
    return {[outage, on_page = std::move(next.on_page)](topic_page const& page)
            {
                outage->on_success();
                on_page(page);
            },
            [outage,
             on_failure = std::move(next.on_failure)](std::string const& reason)
            {
                outage->on_failure(reason);
                on_failure(reason);
            }};
}

} // namespace jasminetrack::entry
