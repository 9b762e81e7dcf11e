#pragma once

#include <arpa/inet.h>
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
#include <cctype>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/** Small stand-ins for clients, servers and the platform, on blocking sockets with one thread a connection. */
namespace standin {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point programStart = Clock::now();

/** Seconds since the program began. */
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

/** Writes lines with their time to record.txt in the folder of the case. */
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[2048];
        std::va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        for (auto *out : {m_file, stdout}) {
            if (out != nullptr) {
                std::fprintf(out, "%9.4f %s\n", now(), text);
                std::fflush(out);
            }
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline Record record;

/** Ends the program with status 2: the case could not run. */
[[noreturn]] inline void cannotRun(const std::string &why)
{
    record.line("cannot run: %s", why.c_str());
    std::exit(2);
}

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/** An HTTP request or response. Header names are in lower case. */
struct Message
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0; ///< Responses only.
    std::map<std::string, std::string> headers;
    std::string body;
    bool isComplete = false;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

/** A TCP connection that is read message by message. */
class Peer
{
public:
    explicit Peer(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;
    ~Peer()
    {
        close(m_fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            if (m_isEnded) {
                return false;
            }
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Resets the connection at once. */
    void reset()
    {
        m_isEnded = true;
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(m_fd, &none, sizeof none);
        shutdown(m_fd, SHUT_RDWR);
    }

    bool isEnded() const
    {
        return m_isEnded;
    }

    /** Whether the other side has closed the connection, after waiting for that for at most @p seconds. */
    bool isClosedWithin(double seconds)
    {
        pollfd poller{m_fd, POLLRDHUP, 0};
        return poll(&poller, 1, static_cast<int>(seconds * 1000)) > 0;
    }

    /** Reads a message; nothing if the connection ends before its head, or @p until is over. */
    std::optional<Message> read(bool isRequest, double until = 1e9)
    {
        while (m_buffer.find("\r\n\r\n") == std::string::npos) {
            if (!readMore(until)) {
                return std::nullopt;
            }
        }
        Message message;
        const auto headEnd = m_buffer.find("\r\n\r\n");
        std::istringstream head(m_buffer.substr(0, headEnd));
        m_buffer.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        std::string version;
        if (isRequest) {
            first >> message.method >> message.target;
        } else {
            first >> version >> message.status;
        }
        while (std::getline(head, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto begin = line.find_first_not_of(' ', colon + 1);
                message.headers[lowerCase(line.substr(0, colon))]
                    = begin == std::string::npos ? "" : line.substr(begin);
            }
        }
        if (m_onHead) {
            m_onHead(message);
        }
        readBody(message, until);
        return message;
    }

    int descriptor() const
    {
        return m_fd;
    }

    /** Called when the head of a message has arrived. */
    void onHead(std::function<void(const Message &head)> handler)
    {
        m_onHead = std::move(handler);
    }

    /** Reads no faster than this from now on. */
    void setRate(double bytesPerSecond)
    {
        m_bytesPerSecond = bytesPerSecond;
    }

private:
    bool readMore(double until)
    {
        pollfd poller{m_fd, POLLIN, 0};
        const auto wait = std::min(std::max(0.0, until - now()) * 1000, 1e8);
        if (m_isEnded || poll(&poller, 1, static_cast<int>(wait)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        if (m_bytesPerSecond > 0) {
            sleepFor(static_cast<double>(n) / m_bytesPerSecond);
        }
        return true;
    }

    bool fill(std::size_t size, double until)
    {
        while (m_buffer.size() < size) {
            if (!readMore(until)) {
                return false;
            }
        }
        return true;
    }

    void readBody(Message &message, double until)
    {
        if (lowerCase(message.header("transfer-encoding")) == "chunked") {
            readChunks(message, until);
            return;
        }
        const auto length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
        message.isComplete = fill(length, until);
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
    }

    void readChunks(Message &message, double until)
    {
        while (true) {
            while (m_buffer.find("\r\n") == std::string::npos) {
                if (!readMore(until)) {
                    return;
                }
            }
            const auto lineEnd = m_buffer.find("\r\n");
            const auto size = std::strtoull(m_buffer.substr(0, lineEnd).c_str(), nullptr, 16);
            if (!fill(lineEnd + 2 + size + 2, until)) {
                return;
            }
            message.body.append(m_buffer, lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.isComplete = true;
                return;
            }
        }
    }

    int m_fd;
    std::atomic<bool> m_isEnded = false;
    double m_bytesPerSecond = 0;
    std::function<void(const Message &)> m_onHead;
    std::string m_buffer;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Opens a listener; returns -1 if the port is taken. With port 0 the kernel assigns one. */
inline int listenAt(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** Returns a port of @p ip that was free just now. */
inline int freePort(const std::string &ip)
{
    const int fd = listenAt(ip, 0);
    const int port = fd < 0 ? 0 : portOf(fd);
    close(fd);
    return port;
}

/** Connects; returns nothing if that is refused or takes over a second. */
inline std::unique_ptr<Peer> connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval second{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_unique<Peer>(fd);
}

/** A server with one thread for each connection. */
class Server
{
public:
    using Handler = std::function<void(Peer &peer, const Message &request)>;
    using ConnectionHandler = std::function<void(const std::shared_ptr<Peer> &peer)>;

    Server(std::string ip, Handler handler)
        : m_ip(std::move(ip))
        , m_onConnection([handler = std::move(handler)](const std::shared_ptr<Peer> &peer) {
            while (const auto request = peer->read(true)) {
                if (!request->isComplete) {
                    return;
                }
                handler(*peer, *request);
                if (peer->isEnded()) {
                    return;
                }
            }
        })
    {
    }

    /** A server of raw connections, such as a proxy. */
    Server(std::string ip, ConnectionHandler onConnection, int /*raw*/)
        : m_ip(std::move(ip))
        , m_onConnection(std::move(onConnection))
    {
    }

    ~Server()
    {
        stop();
    }

    /** Listens at the port of the last start, at first at a free one. */
    void start(int port = 0)
    {
        if (port != 0) {
            m_port = port;
        }
        const int fd = listenAt(m_ip, m_port);
        if (fd < 0) {
            cannotRun("no free port at " + m_ip);
        }
        if (m_bytesPerSecond > 0) {
            const int size = 64 * 1024;
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        }
        m_port = portOf(fd);
        m_listener = fd;
        std::thread([this, fd, alive = m_alive] {
            while (true) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    return;
                }
                auto peer = std::make_shared<Peer>(connection);
                peer->setRate(m_bytesPerSecond);
                peer->onHead(m_onHead);
                {
                    const std::lock_guard lock(m_mutex);
                    m_peers.push_back(peer);
                    std::erase_if(m_peers, [](const auto &it) {
                        return it.expired();
                    });
                }
                std::thread([onConnection = m_onConnection, peer] {
                    onConnection(peer);
                }).detach();
            }
        }).detach();
    }

    /** Ends like a process that crashes: nothing listens any more, and all connections are reset. */
    void stop()
    {
        const int fd = m_listener.exchange(-1);
        if (fd < 0) {
            return;
        }
        shutdown(fd, SHUT_RDWR);
        close(fd);
        resetAll();
    }

    /** Each connection is read no faster than this; set before the start. */
    void setRate(double bytesPerSecond)
    {
        m_bytesPerSecond = bytesPerSecond;
    }

    /** Called when the head of a request has arrived; set before the start. */
    void onHead(std::function<void(const Message &head)> handler)
    {
        m_onHead = std::move(handler);
    }

    void resetAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_peers) {
            if (const auto peer = it.lock()) {
                peer->reset();
            }
        }
        m_peers.clear();
    }

    int port() const
    {
        return m_port;
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

private:
    std::string m_ip;
    ConnectionHandler m_onConnection;
    std::atomic<int> m_listener = -1;
    double m_bytesPerSecond = 0;
    std::function<void(const Message &)> m_onHead;
    int m_port = 0;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Peer>> m_peers;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

inline std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            value = value << 8U | (i + n < bytes.size() ? static_cast<unsigned char>(bytes[i + n]) : 0U);
        }
        for (std::size_t n = 0; n < 4; ++n) {
            text.push_back(i + n <= bytes.size() ? digits[value >> (18 - 6 * n) & 63U] : '=');
        }
    }
    return text;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    std::string field;
    while (std::getline(query, field, '&')) {
        if (field.rfind(name + "=", 0) == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
                if (field[i] == '%' && i + 2 < field.size()) {
                    value.push_back(static_cast<char>(std::strtoul(field.substr(i + 1, 2).c_str(), nullptr, 16)));
                    i += 2;
                } else {
                    value.push_back(field[i]);
                }
            }
            return value;
        }
    }
    return {};
}

/** The platform's store: items with revisions, reads, watches, and a return from a copy. */
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(ip, [this](Peer &peer, const Message &request) {
            handle(peer, request);
        })
    {
        m_server.start();
    }

    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    /** What a copy holds. */
    struct State
    {
        std::map<std::string, Item> items;
        std::uint64_t revision = 1;
    };

    /** Writes an item; the return is the acknowledgement. */
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

    /** Is away for @p seconds, and comes back with the state of @p copy in the next era. Open watches are cut. */
    void restore(const State &copy, double seconds)
    {
        m_server.stop();
        sleepFor(seconds);
        {
            const std::lock_guard lock(m_mutex);
            m_state = copy;
            m_firstRevision = copy.revision;
            ++m_era;
            m_changed.notify_all();
        }
        m_server.start();
    }

    /** Called when a watch begins to wait. */
    void onWatch(std::function<void(const std::string &prefix)> handler)
    {
        const std::lock_guard lock(m_mutex);
        m_onWatch = std::move(handler);
    }

    std::string address() const
    {
        return m_server.address();
    }

    int port() const
    {
        return m_server.port();
    }

private:
    static std::string itemText(const std::string &key, const Item &item)
    {
        const auto head = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        return item.isDeleted ? head + ",\"deleted\":true}"
                              : head + ",\"created\":" + std::to_string(item.revision) + ",\"lease\":0,\"value\":\""
                                    + base64(item.value) + "\"}";
    }

    std::string itemsAfter(const std::string &prefix, std::uint64_t after, bool withDeleted) const
    {
        std::string text;
        for (const auto &[key, item] : m_state.items) {
            if (key.rfind(prefix, 0) == 0 && item.revision > after && (withDeleted || !item.isDeleted)) {
                text += (text.empty() ? "" : ",") + itemText(key, item);
            }
        }
        return text;
    }

    void handle(Peer &peer, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        const auto era = m_era;
        const auto prefix = queryValue(request.target, "prefix");
        const auto headers = "Content-Type: application/json\r\nStore-Era: " + std::to_string(era) + "\r\n";
        std::string body;
        int status = 200;
        if (request.target.rfind("/v1/kv-range", 0) == 0) {
            body = "{\"items\":[" + itemsAfter(prefix, 0, false) + "],\"truncated\":false";
        } else if (request.target.rfind("/v1/kv-watch", 0) == 0) {
            const auto after = std::strtoull(queryValue(request.target, "after").c_str(), nullptr, 10);
            const auto wait = std::strtoull(queryValue(request.target, "wait_ms").c_str(), nullptr, 10);
            if (after > m_state.revision || after < m_firstRevision) {
                status = 410;
                body = "{\"error\":\"gone\"";
            } else {
                if (m_onWatch) {
                    m_onWatch(prefix);
                }
                m_changed.wait_for(lock, Ms(wait), [&] {
                    return m_era != era || !itemsAfter(prefix, after, true).empty();
                });
                if (m_era != era) {
                    return; // Cut.
                }
                body = "{\"events\":[" + itemsAfter(prefix, after, true) + "]";
            }
        } else {
            status = 404;
            body = "{\"error\":\"none\"";
        }
        body += ",\"current_rev\":" + std::to_string(m_state.revision) + "}";
        lock.unlock();
        peer.send(responseText(status, headers, body));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    std::uint64_t m_firstRevision = 0;
    std::uint64_t m_era = 1;
    std::function<void(const std::string &)> m_onWatch;
    Server m_server;
};

/** Temporary folder of this run; removed at the end. */
inline std::string temporaryFolder()
{
    static const std::string path = [] {
        std::string text = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(text.data()) == nullptr) {
            cannotRun("no temporary folder");
        }
        return text;
    }();
    return path;
}

/** Loopback address number @p n of this run. The middle numbers depend on the process, so that runs do not meet. */
inline std::string loopback(int n)
{
    static const int number = static_cast<int>(getpid());
    return "127." + std::to_string(16 + number / 250 % 200) + "." + std::to_string(1 + number % 250) + "."
           + std::to_string(n);
}

/** Fills a template of settings of the deploy folder. */
inline std::string fillTemplate(const std::string &path, const std::map<std::string, std::string> &fields)
{
    std::ifstream file(path);
    std::stringstream stream;
    stream << file.rdbuf();
    std::string text = stream.str();
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const auto end = text.find("}}", begin);
        const auto field = fields.find(text.substr(begin + 2, end - begin - 2));
        if (field == fields.end()) {
            cannotRun("the template has an unknown field: " + text.substr(begin, end - begin + 2));
        }
        text.replace(begin, end + 2 - begin, field->second);
    }
    if (text.empty()) {
        cannotRun("no template " + path);
    }
    return text;
}

/** A program of the project, started as the deploy file says. It ends with this object. */
class Program
{
public:
    Program(std::string run, std::string name, const std::string &settings)
        : m_run(std::move(run))
        , m_name(std::move(name))
        , m_settingsPath(temporaryFolder() + "/" + m_name + ".conf")
    {
        std::ofstream(m_settingsPath) << settings;
    }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;
    ~Program()
    {
        kill();
    }

    void start()
    {
        const auto logPath = temporaryFolder() + "/" + m_name + ".log";
        const auto parent = getpid();
        m_pid = fork();
        if (m_pid != 0) {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const std::string settings = "TURMERICLINE_CONFIG=" + m_settingsPath;
        const char *arguments[] = {m_run.c_str(), nullptr};
        const char *environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
        execve(m_run.c_str(), const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        _exit(127);
    }

    /** SIGKILL. */
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    pid_t pid() const
    {
        return m_pid;
    }

    bool isRunning()
    {
        return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == 0;
    }

    /** Memory in use, in MB. */
    double memory() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::strtod(line.c_str() + 6, nullptr) / 1024;
            }
        }
        return 0;
    }

    /** What the program has logged so far. */
    std::string log() const
    {
        std::ifstream file(temporaryFolder() + "/" + m_name + ".log");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string m_run;
    std::string m_name;
    std::string m_settingsPath;
    pid_t m_pid = -1;
};

/** What a client sends. */
struct Call
{
    std::string ip;
    int port = 0;
    std::string method = "POST";
    std::string path = "/";
    std::string host = "front.example";
    std::string key;
    int deadlineMs = 8000;
    std::string body;
    std::string moreHeaders;
    std::optional<double> leavesAfter; ///< The client closes its connection after so many seconds.
};

/** What a client gets. */
struct Answer
{
    std::string id; ///< Attempt-Id of the request.
    int status = 0; ///< 0 if there was no answer.
    std::map<std::string, std::string> headers;
    std::string body;
    bool isComplete = false;
    double sentAt = 0;
    double endedAt = 0;
};

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/** Sends a request on @p peer and waits for the answer, until the deadline or until the client leaves. */
inline Answer sendOn(Peer *peer, const Call &call)
{
    Answer answer;
    answer.id = newId();
    answer.sentAt = now();
    const auto until = now() + call.leavesAfter.value_or(call.deadlineMs / 1000.0);
    if (peer != nullptr) {
        std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.host + "\r\nAttempt-Id: "
                           + answer.id + "\r\nDeadline-Ms: " + std::to_string(call.deadlineMs) + "\r\n";
        if (!call.key.empty()) {
            text += "Api-Key: " + call.key + "\r\n";
        }
        text += call.moreHeaders;
        if (call.method != "GET") {
            text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
        }
        peer->send(text + "\r\n" + call.body);
        if (const auto message = peer->read(false, until)) {
            answer.status = message->status;
            answer.headers = message->headers;
            answer.body = message->body;
            answer.isComplete = message->isComplete;
        }
    }
    answer.endedAt = now();
    return answer;
}

/** As sendOn(), on a connection of its own. */
inline Answer send(const Call &call)
{
    const auto peer = connectTo(call.ip, call.port);
    return sendOn(peer.get(), call);
}

/** Settings of a small deployment, by the names of the pages. */
inline std::map<std::string, std::string>
deploymentFields(const std::string &name, const std::string &zone, const std::string &ip, const std::string &store)
{
    return {{"node_name", name},
            {"zone", zone},
            {"ip", ip},
            {"platform.address", store},
            {"bounds.revoke_ms", "5000"},
            {"bounds.grace_s", "8"},
            {"bounds.retry_slack", "94"}};
}

/** A gateway as a process on an address of its own. */
class Gateway
{
public:
    /** @p agentPort: internal port of the expert agents. */
    Gateway(const std::string &ip, std::string name, const std::string &zone, const std::string &store, int agentPort)
        : m_ip(ip)
        , m_name(std::move(name))
        , m_zone(zone)
        , m_store(store)
        , m_agentPort(agentPort)
        , m_front(freePort(ip))
        , m_ready(freePort(ip))
        , m_control(freePort(ip))
    {
    }

    void configure(const std::string &seeds)
    {
        auto fields = deploymentFields(m_name, m_zone, m_ip, m_store);
        fields["listen.front"] = m_ip + ":" + std::to_string(m_front);
        fields["listen.ready_addr"] = m_ip + ":" + std::to_string(m_ready);
        fields["listen.control"] = control();
        fields["seeds"] = seeds;
        fields["internal_ports.0"] = std::to_string(m_agentPort);
        m_program = std::make_unique<Program>(
            "target/turmericline-gateway", m_name, fillTemplate("deploy/gateway.conf", fields));
    }

    std::string control() const
    {
        return m_ip + ":" + std::to_string(m_control);
    }

    Program &program()
    {
        return *m_program;
    }

    bool isReady() const
    {
        const auto peer = connectTo(m_ip, m_ready);
        if (!peer) {
            return false;
        }
        peer->send("GET /v1/ready HTTP/1.1\r\nHost: g\r\n\r\n");
        const auto answer = peer->read(false, now() + 1);
        return answer && answer->status == 200;
    }

    void waitReady(double seconds) const
    {
        const auto until = now() + seconds;
        while (!isReady()) {
            if (now() > until) {
                cannotRun(m_name + " did not become ready");
            }
            sleepFor(0.02);
        }
    }

    const std::string &ip() const
    {
        return m_ip;
    }

    int port() const
    {
        return m_front;
    }

    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_ip;
    std::string m_name;
    std::string m_zone;
    std::string m_store;
    int m_agentPort;
    int m_front;
    int m_ready;
    int m_control;
    std::unique_ptr<Program> m_program;
};

/** Starts gateways in zones hall-a, hall-b and hall-c in turn, on addresses from number @p first on. */
inline std::vector<std::unique_ptr<Gateway>>
startGateways(std::size_t count, int first, const std::function<std::string(std::size_t)> &storeOf)
{
    static const char *const zones[] = {"hall-a", "hall-b", "hall-c"};
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::string seeds;
    const int agentPort = freePort(loopback(first));
    for (std::size_t n = 0; n < count; ++n) {
        const std::string zone = zones[n % 3];
        gateways.push_back(std::make_unique<Gateway>(loopback(first + static_cast<int>(n)),
                                                     "front-" + zone + "-" + std::to_string(n + 1),
                                                     zone,
                                                     storeOf(n),
                                                     agentPort));
        seeds += (n == 0 ? "" : ",") + gateways.back()->control();
    }
    for (const auto &it : gateways) {
        it->configure(seeds);
        it->program().start();
    }
    for (const auto &it : gateways) {
        it->waitReady(20);
    }
    return gateways;
}

/** Whether the disruption of the case is to be made. */
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/** Ends the case: 1 if the rule was broken, 0 if it held. Ends all programs first. */
[[noreturn]] inline void finish(bool isBroken, const std::function<void()> &endPrograms)
{
    endPrograms();
    record.line(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(temporaryFolder(), ec);
    } else {
        record.line("logs in %s", temporaryFolder().c_str());
    }
    std::fflush(stdout);
    _exit(isBroken ? 1 : 0);
}

} // namespace standin
