#include "log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <ctime>
#include <iostream>

namespace turmericline {

namespace {

namespace bl = boost::log;

LogLevel minimumLevel = LogLevel::Info;
std::string instanceName; // NOLINT(cert-err58-cpp)

/** Writes each line with one non-blocking call, or drops it; the next line written reports how many were dropped. */
class NonBlockingBackend : public bl::sinks::basic_formatted_sink_backend<char, bl::sinks::synchronized_feeding>
{
public:
    void consume(const bl::record_view &, const string_type &text)
    {
        pollfd poller{STDOUT_FILENO, POLLOUT, 0};
        const auto line
            = (m_dropped > 0 ? R"({"message":"log lines dropped","count":)" + std::to_string(m_dropped) + "}\n"
                             : std::string())
              + text + "\n";
        // A writable pipe accepts at least PIPE_BUF bytes without blocking; longer lines are truncated.
        const auto n = std::min<std::size_t>(line.size(), PIPE_BUF);
        if (poll(&poller, 1, 0) != 1 || ::write(STDOUT_FILENO, line.data(), n) < 0) {
            ++m_dropped;
            return;
        }
        m_dropped = 0;
    }

private:
    std::uint64_t m_dropped = 0;
};

template<typename Backend>
void addSink(const boost::shared_ptr<Backend> &backend)
{
    auto sink = boost::make_shared<bl::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(bl::expressions::stream << bl::expressions::smessage);
    bl::core::get()->remove_all_sinks();
    bl::core::get()->add_sink(sink);
}

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

void initLog(LogLevel minimum, std::string_view instance, LogTarget target)
{
    minimumLevel = minimum;
    instanceName = instance;
    if (target == LogTarget::StandardOutput) {
        addSink(boost::make_shared<NonBlockingBackend>());
        return;
    }
    auto backend = boost::make_shared<bl::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    addSink(backend);
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
    // Callers may send invalid UTF-8, which dump() would otherwise reject with an exception.
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace turmericline
