#pragma once

#include "log.h"
#include "settings.h"

#include <asio/io_context.hpp>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>

namespace turmericline {

/** Exit codes of the daemons and tools. */
enum ExitCode : int {
    ExitOk = 0,
    ExitFailure = 1,
    ExitUsage = 2,
};

/** A daemon that can reload its settings while it runs. */
template<typename Daemon, typename S>
concept ReloadingDaemon = requires(Daemon daemon, std::function<SettingsParseResult<S>()> read)
{
    daemon.setReload(read);
};

/**
 * Runs the handlers of @p io until none is left. An error in a handler ends what that handler was doing, and no more; a
 * process that keeps failing ends, so that it is started anew.
 */
inline ExitCode runHandlers(asio::io_context &io)
{
    constexpr int maxErrors = 1'000;
    for (int errors = 0; errors < maxErrors; ++errors) {
        try {
            io.run();
            return ExitOk;
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "error in a handler", {{"reason", error.what()}});
        }
    }
    logEvent(LogLevel::Error, "stopped after too many errors", {{"errors", maxErrors}});
    return ExitFailure;
}

/**
 * Main function of a daemon: validates the settings and runs a Daemon until it stops. Prints one JSON line with its
 * ports to standard output when it listens.
 */
template<typename Daemon, typename S, std::size_t N, typename Check, typename Announce>
int runDaemon(std::string_view program,
              const std::array<SettingRow<S>, N> &rows,
              Check check,
              std::string S::*instanceName,
              Announce announce,
              int argc,
              const char *const *argv,
              LogTarget logTarget = LogTarget::StandardError)
{
    const auto read = [&rows, check, argc, argv] {
        auto fresh = parseSettings(rows, argc, argv, [](const char *name) -> const char * {
            return std::getenv(name);
        });
        check(fresh);
        return fresh;
    };
    const auto parse = read();
    if (parse.action == SettingsAction::Help) {
        printHelp(std::cout, program, settingsHelp(rows));
        return ExitOk;
    }
    if (parse.action == SettingsAction::Version) {
        std::cout << program << " " << TURMERICLINE_VERSION << "\n";
        return ExitOk;
    }
    if (!parse.errors.empty()) {
        printErrors(std::cerr, parse.errors);
        return ExitUsage;
    }
    if (parse.action == SettingsAction::Check) {
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    initLog(valueOf(logLevelNames, parse.settings.logLevel).value_or(LogLevel::Info),
            parse.settings.*instanceName,
            logTarget);
    try {
        asio::io_context io(1);
        Daemon daemon(io, parse.settings);
        if constexpr (ReloadingDaemon<Daemon, S>) {
            daemon.setReload(read);
        }
        std::cout << announce(daemon).dump() << std::endl;
        return runHandlers(io);
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "not started", {{"reason", error.what()}});
        return ExitFailure;
    }
}

} // namespace turmericline
