#pragma once

#include "http_client.h"
#include "reserved_port.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/** Response to one call, as far as received. */
struct FleetAnswer
{
    bool done = false;
    bool complete = false;
    int status = 0; ///< 0 until the response head has arrived.
    turmericline::HttpHeaders headers;
    std::string body;
    std::string error;

    std::string header(std::string_view name) const;
};

/** Parsed events of a streamed response. */
struct FleetStream
{
    std::vector<std::uint64_t> offsets;
    std::string text;
    bool hasDone = false; ///< Whether "data: [DONE]" was received.
    nlohmann::json verdict; ///< Data of the verdict event; null if there was none.
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
 * Fleet of real processes on loopback: "config", "instances", and in each failure domain N from 1 to 3 "engine-N",
 * "service-N", the agents "agent-mN" (of the engine) and "agent-sN" (of the plain service), and "entry-N".
 *
 * Backend server names contain the process id, because an agent's exclusive socket is unique on the host and other
 * tests may run concurrently. Waits have no timeout of their own; CTest limits the duration of a test.
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

    /** Restarts a process with its original arguments on its previous ports; waits until it announces them. */
    void start(const std::string &name);
    /**
     * Starts an additional process, or a stopped one with other arguments on its previous ports; returns false if it
     * exits before it announces its ports.
     */
    bool tryStart(const std::string &name, Arguments command);
    void signal(const std::string &name, int number) const;
    /** Sends SIGKILL and waits until the process has exited. */
    void kill(const std::string &name);
    /** Waits for the process to exit while calls continue; returns the exit code, or the negated signal number. */
    int waitExit(const std::string &name);
    const Arguments &command(const std::string &name) const;
    std::string log(const std::string &name) const;
    std::uint16_t port(const std::string &name, const std::string &field = "port") const;
    /** Number of signals other than SIGCONT that the test has sent to processes. */
    std::size_t faultCount() const
    {
        return m_faultCount;
    }
    const std::string &peerKey() const
    {
        return m_peerKey;
    }

    /** Returns the name in the document of a backend server "m1" to "m3" or "s1" to "s3". */
    static std::string server(std::string_view shortName);

    /** Applies @p change to the document and publishes it as the next version; returns the version. */
    std::uint64_t publish(const std::function<void(nlohmann::json &)> &change = {});
    nlohmann::json &serverRow(nlohmann::json &document, std::string_view shortName) const;
    /** Sends a PUT to a control path of a fake; fails the test unless it is answered with 200. */
    void put(const std::string &process, const std::string &path, const nlohmann::json &body);

    /** Starts a call over a new connection. */
    Answer call(turmericline::HttpClientRequest request);
    /** Starts an authenticated POST to an entry. */
    Answer callEntry(const std::string &entry,
                     const std::string &path,
                     const nlohmann::json &body,
                     turmericline::HttpHeaders headers = {});
    /** Starts a streamed completion; the engine counts it under @p user. */
    Answer
    stream(const std::string &entry, const std::string &prompt, std::uint32_t tokens, const std::string &user = "");
    Answer get(const std::string &process, const std::string &path, const std::string &field = "port");
    /** Returns the JSON body of a GET; fails the test unless it is answered with 200. */
    nlohmann::json getJson(const std::string &process, const std::string &path, const std::string &field = "port");
    nlohmann::json status(const std::string &process)
    {
        return getJson(process, "/status", "ops_port");
    }
    bool isReady(const std::string &process);

    /** Runs the io_context until the condition holds. */
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
        Arguments portArguments; ///< Flags with the ports that are reserved for it.
        std::vector<ReservedPort> reservations; ///< These ports.
        pid_t pid = 0; ///< 0 if not running.
        int exitCode = 0;
        nlohmann::json ports;
    };

    void startAll(const FleetOptions &options);
    void reservePorts(Process &process);
    bool spawn(const std::string &name, Process &process);
    static bool reap(Process &process, int flags);

    std::string m_directory; ///< Directory of the logs.
    std::string m_peerKey;
    mutable std::size_t m_faultCount = 0;
    asio::io_context m_io; ///< Declared before the sockets that use it.
    std::map<std::string, Process> m_processes;
    nlohmann::json m_document;
    turmericline::HttpClient m_http;
};

/** Fails unless @p answer is the complete stream of the fake engine for @p prompt, with the verdict run. */
void expectCompleteStream(const Fleet::Answer &answer, const std::string &prompt, std::uint32_t tokens);
