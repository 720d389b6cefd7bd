#include <jasminetrack/runtime/logging.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>

#include <atomic>
#include <iostream>

namespace jasminetrack::runtime
{
namespace
{

namespace logging = boost::log;

logging::trivial::severity_level severity_of(std::string const& level)
{
    if (level == "debug")
        return logging::trivial::debug;
    return level == "warning" ? logging::trivial::warning
                              : logging::trivial::info;
}

constexpr std::size_t max_queued_lines = 4'096;
std::atomic<std::uint64_t> dropped_lines{0};

/// Drops and counts the line when the queue is full.
struct count_on_overflow
{
    template <typename Lock>
    static bool on_overflow(logging::record_view const&, Lock&)
    {
        ++dropped_lines;
        return false;
    }
    static void on_queue_space_available() noexcept {}
    static void interrupt() noexcept {}
};

using log_sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<max_queued_lines, count_on_overflow>>;

boost::shared_ptr<log_sink> sink;

std::string quoted(std::string const& value)
{
    if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty())
        return value;
    std::string text = "\"";
    for (char c : value)
    {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c == '\n' ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

void open_log(std::string const& node, std::string const& level)
{
    namespace expr = logging::expressions;
    auto const core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    core->add_global_attribute(
        "Node", logging::attributes::constant<std::string>(node));
    core->set_filter(logging::trivial::severity >= severity_of(level));
    auto const backend =
        boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    sink = boost::make_shared<log_sink>(backend);
    sink->set_formatter(expr::stream
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << " level=" << logging::trivial::severity
                        << " node=" << expr::attr<std::string>("Node") << " "
                        << expr::smessage);
    core->add_sink(sink);
}

void close_log()
{
    if (!sink)
        return;
    logging::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
    sink.reset();
}

std::uint64_t dropped_log_lines() noexcept
{
    return dropped_lines;
}

void write_log(log_level level, std::string const& step,
               std::vector<log_field> const& fields)
{
    std::string line = "step=" + step;
    for (auto const& f : fields)
        line +=
            f.key.empty() ? " " + f.value : " " + f.key + "=" + quoted(f.value);
    switch (level)
    {
    case log_level::debug:
        BOOST_LOG_TRIVIAL(debug) << line;
        break;
    case log_level::info:
        BOOST_LOG_TRIVIAL(info) << line;
        break;
    case log_level::warning:
        BOOST_LOG_TRIVIAL(warning) << line;
        break;
    case log_level::error:
        BOOST_LOG_TRIVIAL(error) << line;
        break;
    }
}

} // namespace jasminetrack::runtime
