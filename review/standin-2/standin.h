#pragma once

// Small stand-ins of the platform for the scripts of the second review: the metadata store, clients, and the settings with
// which the platform starts a gateway. They use the C++ library and POSIX sockets only, one thread for each connection.

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum ExitCode : int {
    RuleHeld = 0,
    RuleBroken = 1,
    CouldNotRun = 2,
};

inline const Clock::time_point startOfRun = Clock::now();

inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string all;
    for (const auto it : parts) {
        all.append(it);
    }
    return all;
}

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline void sleepUntilMs(std::int64_t ms)
{
    std::this_thread::sleep_until(startOfRun + milliseconds(ms));
}

/** Writes what was sent, answered and run, with the time in ms since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/** Processes that this one has started and not ended yet. */
inline std::set<pid_t> startedProcesses;

[[noreturn]] inline void giveUp(const std::string &reason)
{
    for (const auto it : startedProcesses) {
        ::kill(it, SIGKILL);
    }
    std::cerr << "the case could not run: " << reason << "\n";
    std::_Exit(CouldNotRun);
}

inline sockaddr_in endpointOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in end{};
    end.sin_family = AF_INET;
    end.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &end.sin_addr);
    return end;
}

/** Returns a listening socket; sets @p port to a free port if it is 0. */
inline int listenOn(const std::string &ip, std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto end = endpointOf(ip, port);
    socklen_t size = sizeof end;
    if (bind(fd, reinterpret_cast<sockaddr *>(&end), size) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, reinterpret_cast<sockaddr *>(&end), &size);
    port = ntohs(end.sin_port);
    return fd;
}

/** Returns a port of @p ip that is free now. */
inline std::uint16_t freePort(const std::string &ip)
{
    std::uint16_t port = 0;
    const int fd = listenOn(ip, port);
    if (fd < 0) {
        giveUp("no free port");
    }
    close(fd);
    return port;
}

/** Options of a client socket; 0 leaves the option as it is. */
struct SocketOptions
{
    int receiveBuffer = 0;
    int segment = 0; ///< Largest segment, as on a network that is not loopback.
};

/** Returns a connected socket, or -1. */
inline int connectTo(const std::string &ip, std::uint16_t port, const SocketOptions &options = {})
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer != 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof options.receiveBuffer);
    }
    if (options.segment != 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    }
    const auto end = endpointOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&end), sizeof end) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/** Closes with a reset instead of an orderly end. */
inline void closeWithReset(int fd)
{
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(fd);
}

/** A request or an answer. */
struct Message
{
    std::string start; ///< First line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }

    int status() const
    {
        return start.size() < 12 ? 0 : std::atoi(start.substr(9, 3).c_str());
    }

    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }

    std::string target() const
    {
        const auto begin = std::min(start.find(' '), start.size() - 1) + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
};

/** Reads messages with a length or in chunks from a connection. */
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /** Called before each read of the socket, to read slowly. */
    void setPace(std::size_t bytes, milliseconds pause)
    {
        m_paceBytes = bytes;
        m_pause = pause;
    }

    /** Returns false if the connection ended before the message was complete. */
    bool read(Message &message)
    {
        message = {};
        const auto end = fillUntil("\r\n\r\n", 0);
        if (end == std::string::npos) {
            return false;
        }
        parseHead(message, m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        if (message.header("transfer-encoding") == "chunked") {
            return readChunks(message.body);
        }
        const auto length = message.header("content-length");
        return length.empty() || take(static_cast<std::size_t>(std::atoll(length.c_str())), message.body);
    }

    /** Bytes of a message that has not been read completely. */
    std::size_t unread() const
    {
        return m_bytes.size();
    }

private:
    static void parseHead(Message &message, const std::string &head)
    {
        std::istringstream in(head);
        std::string line;
        std::getline(in, message.start);
        while (!message.start.empty() && message.start.back() == '\r') {
            message.start.pop_back();
        }
        while (std::getline(in, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = std::min(line.find(':'), line.size());
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
                return static_cast<char>(std::tolower(c));
            });
            const auto value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            message.headers[name] = line.substr(value);
        }
    }

    bool fill()
    {
        char buf[65536];
        const std::size_t most = m_paceBytes == 0 ? sizeof buf : std::min(m_paceBytes, sizeof buf);
        if (m_pause.count() > 0) {
            std::this_thread::sleep_for(m_pause);
        }
        const auto n = recv(m_fd, buf, most, 0);
        if (n <= 0) {
            return false;
        }
        m_bytes.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    std::size_t fillUntil(const char *text, std::size_t from)
    {
        while (true) {
            const auto at = m_bytes.find(text, from);
            if (at != std::string::npos) {
                return at;
            }
            if (!fill()) {
                return std::string::npos;
            }
        }
    }

    bool take(std::size_t n, std::string &body)
    {
        while (m_bytes.size() < n) {
            if (!fill()) {
                return false;
            }
        }
        body.append(m_bytes, 0, n);
        m_bytes.erase(0, n);
        return true;
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            const auto end = fillUntil("\r\n", 0);
            if (end == std::string::npos) {
                return false;
            }
            const auto n = std::strtoul(m_bytes.c_str(), nullptr, 16);
            m_bytes.erase(0, end + 2);
            std::string rest;
            if (!take(n, body) || !take(2, rest)) {
                return false;
            }
            if (n == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_bytes;
    std::size_t m_paceBytes = 0;
    milliseconds m_pause{0};
};

/** Accepts connections and serves each in a thread of its own, until the process ends. */
class Server
{
public:
    using Serve = std::function<void(int fd)>;

    Server(std::string ip, std::uint16_t port, Serve serve)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_serve(std::move(serve))
    {
        m_fd = listenOn(m_ip, m_port);
        if (m_fd < 0) {
            giveUp("cannot listen on " + m_ip);
        }
        std::thread([this] {
            run();
        }).detach();
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    /** Stops listening and resets all connections, as a process that is killed. */
    void kill()
    {
        const std::lock_guard lock(m_mutex);
        m_isKilled = true;
        shutdown(m_fd, SHUT_RDWR);
        for (const int fd : m_open) {
            const linger option{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            shutdown(fd, SHUT_RDWR);
        }
    }

    /** Stops listening and closes all connections in order, as the kernel does when a process ends. */
    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_isKilled = true;
        shutdown(m_fd, SHUT_RDWR);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

    bool isKilled() const
    {
        return m_isKilled;
    }

private:
    void run()
    {
        while (!m_isKilled) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                break;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_serve(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
        close(m_fd);
    }

    std::string m_ip;
    std::uint16_t m_port;
    Serve m_serve;
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<bool> m_isKilled = false;
};

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto byteAt = [&bytes](std::size_t n) {
            return n < bytes.size() ? static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[n])) : 0U;
        };
        const std::uint32_t bits = byteAt(i) << 16U | byteAt(i + 1) << 8U | byteAt(i + 2);
        text += digits[bits >> 18U & 63U];
        text += digits[bits >> 12U & 63U];
        text += i + 1 < bytes.size() ? digits[bits >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[bits & 63U] : '=';
    }
    return text;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    auto at = query == std::string::npos ? query : target.find(name + "=", query);
    if (at == std::string::npos) {
        return "";
    }
    at += name.size() + 1;
    const auto text = target.substr(at, target.find('&', at) - at);
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

/** The platform's metadata store, as the system reads it. */
class Store
{
public:
    struct State
    {
        struct Item
        {
            std::string value;
            std::uint64_t revision = 0;
            bool isDeleted = false;
        };
        std::map<std::string, Item> items;
        std::uint64_t revision = 100;
    };

    explicit Store(const std::string &ip = "127.0.0.1")
        : m_server(ip, 0, [this](int fd) {
            serve(fd);
        })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }

    /** Returns when the store has accepted the change. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_state.items[key] = {value, ++m_state.revision, false};
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_state.items[key] = {"", ++m_state.revision, true};
        m_changed.notify_all();
    }

    State copy()
    {
        const std::lock_guard lock(m_mutex);
        return m_state;
    }

    /** While the store is away it resets all connections. */
    void setAway(bool isAway)
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = isAway;
        m_changed.notify_all();
    }

    /** Comes back from @p copy in a new era; watches of before are cut. */
    void restore(const State &copy)
    {
        const std::lock_guard lock(m_mutex);
        m_state = copy;
        ++m_era;
        m_changed.notify_all();
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            const auto target = request.target();
            const auto prefix = queryValue(target, "prefix");
            std::string answer;
            if (target.starts_with("/v1/kv-range")) {
                answer = range(prefix);
            } else if (target.starts_with("/v1/kv-watch")) {
                const auto wait = milliseconds(std::atoll(queryValue(target, "wait_ms").c_str()));
                answer = watch(prefix, std::strtoull(queryValue(target, "after").c_str(), nullptr, 10), wait);
            } else {
                answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            }
            if (answer.empty() || !sendAll(fd, answer)) {
                return;
            }
        }
    }

    std::string reply(int status, const std::string &body) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nStore-Era: "
               + std::to_string(m_era) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string itemText(const std::string &key, const State::Item &item)
    {
        return R"({"key":")" + key + R"(","value":")" + base64(item.value) + R"(","revision":)"
               + std::to_string(item.revision) + R"(,"created":1,"lease":0})";
    }

    std::string range(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isAway) {
            return "";
        }
        std::string items;
        for (const auto &[key, item] : m_state.items) {
            if (key.starts_with(prefix) && !item.isDeleted) {
                items += (items.empty() ? "" : ",") + itemText(key, item);
            }
        }
        return reply(200,
                     R"({"items":[)" + items + R"(],"truncated":false,"current_rev":)"
                         + std::to_string(m_state.revision) + "}");
    }

    std::string watch(const std::string &prefix, std::uint64_t after, milliseconds wait)
    {
        const auto end = Clock::now() + wait;
        std::unique_lock lock(m_mutex);
        const auto era = m_era;
        while (true) {
            if (m_isAway || era != m_era) {
                return "";
            }
            if (after > m_state.revision) {
                return reply(410, "{}");
            }
            std::string events;
            for (const auto &[key, item] : m_state.items) {
                if (!key.starts_with(prefix) || item.revision <= after) {
                    continue;
                }
                events += events.empty() ? "" : ",";
                events += item.isDeleted ? R"({"key":")" + key + R"(","revision":)" + std::to_string(item.revision)
                                               + R"(,"deleted":true})"
                                         : itemText(key, item);
            }
            if (!events.empty() || Clock::now() >= end) {
                return reply(
                    200, R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(m_state.revision) + "}");
            }
            m_changed.wait_until(lock, end);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    std::uint64_t m_era = 1;
    bool m_isAway = false;
    Server m_server;
};

/** Entry of a replica in the store. */
inline std::string
replicaEntry(const std::string &service, const std::string &address, const std::string &state, std::int64_t born)
{
    return R"({"service":")" + service + R"(","address":")" + address
           + R"(","zone":"hall-a","version":1,"slots":12,"state":")" + state
           + R"(","cold_left_ms":0,"sequence":1,"born":)" + std::to_string(born) + "}";
}

/** Fills in the template of a role as the platform does. */
inline void
fillTemplate(const std::string &from, const std::string &to, const std::map<std::string, std::string> &fields)
{
    std::ifstream in(from);
    if (!in) {
        giveUp("cannot read " + from);
    }
    std::stringstream all;
    all << in.rdbuf();
    auto text = all.str();
    for (const auto &[name, value] : fields) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    std::ofstream(to) << text;
}

/** A gateway that runs as a process with the command and the template of the deploy file. */
class Gateway
{
public:
    /** @p folder: for the settings and the log. @p n: number of the gateway, which has an IP of its own. */
    Gateway(const std::string &folder, std::uint32_t n, const std::string &store)
        : m_folder(folder)
        , m_name("front-hall-a-" + std::to_string(n))
    {
        // Other runs on this machine use other addresses.
        const auto pid = static_cast<std::uint32_t>(getpid());
        m_ip = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "."
               + std::to_string(n);
        m_front = freePort(m_ip);
        m_ready = freePort(m_ip);
        m_control = freePort(m_ip);
        m_store = store;
    }

    std::string control() const
    {
        return m_ip + ":" + std::to_string(m_control);
    }

    const std::string &ip() const
    {
        return m_ip;
    }

    std::uint16_t port() const
    {
        return m_front;
    }

    pid_t pid() const
    {
        return m_pid;
    }

    void start(const std::string &seeds)
    {
        const auto at = [this](std::uint16_t port) {
            return m_ip + ":" + std::to_string(port);
        };
        const auto file = m_folder + "/" + m_name + ".conf";
        fillTemplate("deploy/gateway.conf",
                     file,
                     {{"node_name", m_name},
                      {"zone", "hall-a"},
                      {"listen.front", at(m_front)},
                      {"listen.ready_addr", at(m_ready)},
                      {"listen.control", at(m_control)},
                      {"ip", m_ip},
                      {"platform.address", m_store},
                      {"bounds.revoke_ms", "5000"},
                      {"bounds.grace_s", "8"},
                      {"bounds.retry_slack", "94"},
                      {"seeds", seeds},
                      {"internal_ports.0", "7340"}});
        const auto log = m_folder + "/" + m_name + ".log";
        const auto config = "TURMERICLINE_CONFIG=" + file;
        const std::string regions = "TURMERICLINE_REGIONS=hall-a:amman,hall-b:amman,hall-c:amman";
        const std::string path = "PATH=/usr/bin:/bin";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program, however that ends.
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            char *const environment[] = {const_cast<char *>(config.c_str()),
                                         const_cast<char *>(regions.c_str()),
                                         const_cast<char *>(path.c_str()),
                                         nullptr};
            char *const arguments[] = {const_cast<char *>("target/turmericline-gateway"), nullptr};
            execve(arguments[0], arguments, environment);
            _exit(127);
        }
        startedProcesses.insert(m_pid);
    }

    /** Asks for readiness as the platform does. */
    bool isReady() const
    {
        const int fd = connectTo(m_ip, m_ready);
        if (fd < 0) {
            return false;
        }
        Message answer;
        Reader reader(fd);
        const bool isAnswered
            = sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n") && reader.read(answer);
        close(fd);
        return isAnswered && answer.status() == 200;
    }

    void waitUntilReady() const
    {
        for (int i = 0; i < 500; ++i) {
            if (isReady()) {
                return;
            }
            sleepMs(20);
        }
        giveUp("the gateway " + m_name + " does not become ready");
    }

    void signal(int number) const
    {
        kill(m_pid, number);
    }

    /** Ends the process and waits for its end. */
    void end()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            startedProcesses.erase(m_pid);
            m_pid = -1;
        }
    }

    /** Whether the process has ended by itself. */
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            startedProcesses.erase(m_pid);
            m_pid = -1;
        }
        return m_pid < 0;
    }

private:
    std::string m_folder;
    std::string m_name;
    std::string m_ip;
    std::string m_store;
    std::uint16_t m_front = 0;
    std::uint16_t m_ready = 0;
    std::uint16_t m_control = 0;
    pid_t m_pid = -1;
};

/** Whether the disruption of the case is left out. */
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace standin
