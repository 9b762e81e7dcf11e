#include "status_tool.h"

#include "daemon.h"
#include "h2_client.h"
#include "http_client.h"

#include <nlohmann/json.hpp>

#include <iomanip>

namespace turmericline {

namespace {

struct StatusSettings
{
    std::string entry;
    bool isJson = false;
};

constexpr std::array<SettingRow<StatusSettings>, 2> statusRows{{
    {"entry", &StatusSettings::entry, "", "IP:PORT of the operators' port", true, 0, 0, checkAddress},
    {"json", &StatusSettings::isJson, "", "print JSON instead of tables"},
}};

constexpr std::chrono::milliseconds timeout{3'000};

HttpClientResult fetch(const std::string &address, std::string &body)
{
    asio::io_context io;
    HttpClient http(io);
    HttpClientResult result;
    HttpClientRequest request;
    request.url = "http://" + address + "/status";
    request.totalTimeout = timeout;
    http.start(std::move(request),
               {{},
                [&body](std::string_view chunk) {
                    body += chunk;
                },
                [&result, &io](const HttpClientResult &r) {
                    result = r;
                    io.stop();
                }});
    io.run();
    return result;
}

std::string toText(const nlohmann::json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return value.dump();
}

/** Prints an array of objects as a table; the columns are the fields of the first object. */
void printTable(std::ostream &out, const nlohmann::json &rows)
{
    if (!rows.is_array() || rows.empty() || !rows.front().is_object()) {
        return;
    }
    std::vector<std::pair<std::string, std::size_t>> columns;
    for (const auto &[name, value] : rows.front().items()) {
        auto width = name.size();
        for (const auto &it : rows) {
            width = std::max(width, toText(it.value(name, nlohmann::json())).size());
        }
        columns.emplace_back(name, width);
    }
    for (const auto &[name, width] : columns) {
        out << std::left << std::setw(static_cast<int>(width) + 2) << name;
    }
    out << "\n";
    for (const auto &it : rows) {
        for (const auto &[name, width] : columns) {
            out << std::left << std::setw(static_cast<int>(width) + 2) << toText(it.value(name, nlohmann::json()));
        }
        out << "\n";
    }
}

} // namespace

int runStatus(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    const auto parse = parseSettings(statusRows, argc, argv, [](const char *) -> const char * {
        return nullptr;
    });
    if (parse.action == SettingsAction::Help) {
        printHelp(out, "turmericline status", settingsHelp(statusRows));
        return ExitOk;
    }
    if (!parse.errors.empty()) {
        printErrors(err, parse.errors);
        return ExitUsage;
    }
    std::string body;
    const auto result = fetch(parse.settings.entry, body);
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!result.complete || result.status != 200 || !json.is_object()) {
        err << "error: cannot read the status from " << parse.settings.entry << ": "
            << (result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error) << "\n";
        return ExitFailure;
    }
    if (parse.settings.isJson) {
        out << json.dump() << "\n";
        return ExitOk;
    }
    for (const auto &[name, value] : json.items()) {
        if (!value.is_array()) {
            out << std::left << std::setw(18) << name << toText(value) << "\n";
        }
    }
    for (const auto &[name, value] : json.items()) {
        if (value.is_array()) {
            out << "\n" << name << ":\n";
            printTable(out, value);
        }
    }
    return ExitOk;
}

} // namespace turmericline
