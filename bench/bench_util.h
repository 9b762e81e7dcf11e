#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmericline::bench {

inline unsigned seedArgument(int argc, char **argv)
{
    return argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1U;
}

/** Returns the quantile @p p (0 to 1) of @p values; 0 if there are none. */
inline double percentile(std::vector<double> values, double p)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * p + 0.5)];
}

/** Queue of a discrete-event simulation; actions with the same time run in the order in which they were added. */
class EventQueue
{
public:
    void at(double time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    double now() const
    {
        return m_now;
    }

    void runUntil(double end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        m_now = end;
    }

private:
    std::multimap<double, std::function<void()>> m_events;
    double m_now = 0;
};

/** Table of results; prints each row at once, and all rows as JSON lines on destruction. */
class Report
{
public:
    Report(std::string name, std::vector<std::string> columns)
        : m_name(std::move(name))
        , m_columns(std::move(columns))
    {
        std::printf("%-44s", m_name.c_str());
        for (const auto &it : m_columns) {
            std::printf(" %14s", it.c_str());
        }
        std::printf("\n");
    }

    void add(const std::string &row, const std::vector<double> &values)
    {
        std::printf("%-44s", row.c_str());
        std::string json = "{\"measure\":\"" + m_name + "\",\"case\":\"" + row + "\"";
        for (std::size_t i = 0; i < values.size(); ++i) {
            std::printf(" %14.4g", values[i]);
            char number[32];
            std::snprintf(number, sizeof number, "%.6g", values[i]);
            json += ",\"" + m_columns[i] + "\":" + number;
        }
        std::printf("\n");
        m_json.push_back(json + "}");
    }

    ~Report()
    {
        for (const auto &it : m_json) {
            std::printf("%s\n", it.c_str());
        }
    }

    Report(const Report &) = delete;
    Report &operator=(const Report &) = delete;

private:
    std::string m_name;
    std::vector<std::string> m_columns;
    std::vector<std::string> m_json;
};

} // namespace turmericline::bench
