#pragma once

#include "http_client.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/** What a test has received of the answer to one call. */
struct FleetAnswer
{
    bool done = false;
    bool complete = false;
    int status = 0; ///< 0 until the head has arrived.
    turmericline::HttpHeaders headers;
    std::string body;
    std::string error;

    std::string header(std::string_view name) const;
};

/** The events of a streamed answer. */
struct FleetStream
{
    std::vector<std::uint64_t> offsets;
    std::string text;
    bool hasDone = false; ///< "data: [DONE]" was received.
    nlohmann::json verdict; ///< Of the verdict event; null if there was none.
};

FleetStream parseStream(std::string_view body);

struct FleetOptions
{
    std::vector<std::string> entryArguments;
    std::vector<std::string> agentArguments;
    std::vector<std::string> engineArguments;
    std::vector<std::string> serviceArguments;
};

/**
 * A fleet of real processes on loopback: "config", "instances", and for the failure domains 1 to 3 "engine-N",
 * "service-N", the agents "agent-mN" (of the engine) and "agent-sN" (of the plain service) and "entry-N".
 *
 * Backend server names carry the process id, because the agents' exclusive sockets are shared by the whole host and
 * other tests run at the same time. Waiting is always for a condition; only CTest limits the time.
 */
class Fleet
{
public:
    using Answer = std::shared_ptr<FleetAnswer>;
    using Arguments = std::vector<std::string>;

    explicit Fleet(const FleetOptions &options = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts a process with its first arguments, on the ports that it had before; waits for its ports. */
    void start(const std::string &name);
    /** Starts one more process; false if it exits without printing its ports. */
    bool tryStart(const std::string &name, Arguments command);
    void signal(const std::string &name, int number) const;
    /** SIGKILL, and waits until the process is gone. */
    void kill(const std::string &name);
    /** Waits for the exit of the process while calls go on; returns the exit code, or minus the signal. */
    int waitExit(const std::string &name);
    const Arguments &command(const std::string &name) const;
    std::string log(const std::string &name) const;
    std::uint16_t port(const std::string &name, const std::string &field = "port") const;
    /** Processes killed, stopped or told to end by the test. */
    std::size_t faultCount() const
    {
        return m_faults;
    }
    const std::string &peerKey() const
    {
        return m_peerKey;
    }

    /** Name of a backend server in the document, of "m1" to "m3" and "s1" to "s3". */
    static std::string server(std::string_view shortName);

    /** Publishes the next version of the document, changed by @p change; returns the version. */
    std::uint64_t publish(const std::function<void(nlohmann::json &)> &change = {});
    nlohmann::json &serverRow(nlohmann::json &document, std::string_view shortName) const;
    /** A PUT that has to succeed, to the control path of a fake. */
    void put(const std::string &process, const std::string &path, const nlohmann::json &body);

    /** Starts a call over a connection of its own. */
    Answer call(turmericline::HttpClientRequest request);
    /** The same, authenticated, to an entry. */
    Answer callEntry(const std::string &entry,
                     const std::string &path,
                     const nlohmann::json &body,
                     turmericline::HttpHeaders headers = {});
    /** A streamed completion; @p user is how the engine counts it. */
    Answer
    stream(const std::string &entry, const std::string &prompt, std::uint32_t tokens, const std::string &user = "");
    Answer get(const std::string &process, const std::string &path, const std::string &field = "port");
    /** The JSON body of a GET that has to succeed. */
    nlohmann::json getJson(const std::string &process, const std::string &path, const std::string &field = "port");
    nlohmann::json status(const std::string &process)
    {
        return getJson(process, "/status", "ops_port");
    }
    bool isReady(const std::string &process);

    /** Runs the calls until the condition holds. */
    void waitUntil(const std::function<bool()> &condition);
    void waitDone(const std::vector<Answer> &answers);
    asio::io_context &io()
    {
        return m_io;
    }

    static const std::vector<std::string> &entries();
    static const std::vector<std::string> &agents();

private:
    struct Process
    {
        Arguments command;
        pid_t pid = 0; ///< 0 if it does not run.
        int exitCode = 0;
        nlohmann::json ports;
    };

    void startAll(const FleetOptions &options);
    bool spawn(const std::string &name, Process &process);
    static bool reap(Process &process, int flags);

    std::string m_directory; ///< Of the logs.
    std::string m_peerKey;
    mutable std::size_t m_faults = 0;
    std::map<std::string, Process> m_processes;
    nlohmann::json m_document;
    asio::io_context m_io;
    turmericline::HttpClient m_http;
};

/** Fails unless the answer is the whole undisturbed stream of the fake engine, with the verdict run. */
void expectWhole(const Fleet::Answer &answer, const std::string &prompt, std::uint32_t tokens);
