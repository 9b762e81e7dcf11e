#include "log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

namespace turmericline {

namespace {

namespace bl = boost::log;

LogLevel minimumLevel = LogLevel::Info;
std::string instanceName; // NOLINT(cert-err58-cpp)

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + ms % 1000).substr(1);
    return std::string(buf.data(), n) + "." + fraction + "Z";
}

} // namespace

void initLog(LogLevel minimum, std::string_view instance)
{
    minimumLevel = minimum;
    instanceName = instance;
    using Sink = bl::sinks::synchronous_sink<bl::sinks::text_ostream_backend>;
    auto backend = boost::make_shared<bl::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(bl::expressions::stream << bl::expressions::smessage);
    bl::core::get()->remove_all_sinks();
    bl::core::get()->add_sink(sink);
}

void logEvent(LogLevel level, std::string_view message, const nlohmann::ordered_json &fields)
{
    if (level < minimumLevel || instanceName.empty()) {
        return;
    }
    nlohmann::ordered_json line{{"time", timestamp()},
                                {"level", nameOf(logLevelNames, level)},
                                {"instance", instanceName},
                                {"message", message}};
    line.update(fields);
    bl::sources::logger logger;
    // Invalid UTF-8 from callers must not make a log line throw.
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace turmericline
