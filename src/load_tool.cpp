#include "load_tool.h"

#include "load_tool_answer.h"
#include "load_tool_options.h"
#include "load_tool_plan.h"
#include "load_tool_report.h"

#include <asio/steady_timer.hpp>

namespace turmericline {

namespace {

class LoadRunner
{
public:
    explicit LoadRunner(const LoadOptions &options)
        : m_options(options)
        , m_plan(options)
        , m_client(m_io)
        , m_timer(m_io)
    {
    }

    LoadReport run()
    {
        const auto startedAt = LoadClock::now();
        m_end = startedAt + std::chrono::duration_cast<LoadClock::duration>(m_options.duration);
        if (m_options.closedClients != 0) {
            for (std::size_t i = 0; i < m_options.closedClients; ++i) {
                send(LoadClock::now());
            }
        } else {
            m_nextScheduled = startedAt;
            scheduleNext();
        }
        m_io.run();
        m_report.elapsed = LoadClock::now() - startedAt;
        return std::move(m_report);
    }

private:
    /** Adds each gap to the previous scheduled time, not to the current time; late wake-ups must not lower the rate. */
    void scheduleNext()
    {
        m_nextScheduled += m_plan.nextGap();
        if (m_nextScheduled >= m_end) {
            return;
        }
        m_timer.expires_at(m_nextScheduled);
        m_timer.async_wait([this](const asio::error_code &ec) {
            if (!ec) {
                send(m_nextScheduled);
                scheduleNext();
            }
        });
    }

    void send(LoadClock::time_point scheduled)
    {
        const auto request = m_plan.nextRequest();
        auto &totals
            = m_report.totals[static_cast<std::size_t>(request.kind)][static_cast<std::size_t>(request.requestClass)];
        ++totals.sent;
        m_report.sendLag.record(LoadClock::now() - scheduled);
        const auto answer = std::make_shared<LoadAnswer>(scheduled);
        HttpClientHandlers handlers;
        handlers.onHead = [answer](int status, const HttpHeaders &headers) {
            answer->onHead(status, headers);
        };
        handlers.onBody = [answer, &totals](std::string_view chunk) {
            answer->onBody(chunk, LoadClock::now(), totals);
        };
        handlers.onDone = [this, answer, &totals](const HttpClientResult &result) {
            answer->onDone(result, LoadClock::now(), totals);
            if (m_options.closedClients != 0 && LoadClock::now() < m_end) {
                send(LoadClock::now());
            }
        };
        m_client.start(m_plan.toHttp(request), std::move(handlers));
    }

    LoadOptions m_options;
    LoadPlan m_plan;
    asio::io_context m_io;
    HttpClient m_client;
    asio::steady_timer m_timer;
    LoadClock::time_point m_nextScheduled;
    LoadClock::time_point m_end;
    LoadReport m_report;
};

} // namespace

LoadReport generateLoad(const LoadOptions &options)
{
    return LoadRunner(options).run();
}

int runLoad(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    std::vector<std::string> errors;
    const auto options = parseLoadOptions(argc, argv, errors);
    if (options.help) {
        printLoadHelp(out);
        return 0;
    }
    if (!errors.empty()) {
        for (const auto &it : errors) {
            err << "turmericline load: " << it << '\n';
        }
        return 2;
    }
    const auto report = generateLoad(options);
    if (options.json) {
        printLoadJson(report, out);
    } else {
        printLoadTable(report, out);
    }
    return 0;
}

} // namespace turmericline
