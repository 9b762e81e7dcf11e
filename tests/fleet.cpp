#include "fleet.h"

#include "document.h"
#include "engine_batch.h"

#include <cppunit/Asserter.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <spawn.h>
#include <strings.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace turmericline;
using nlohmann::json;

namespace {

constexpr std::string_view callerKey = "fleet-key";

void require(bool condition, const std::string &message)
{
    if (!condition) {
        CppUnit::Asserter::fail(message);
    }
}

/** Flags of a program that take the ports at which it listens. */
std::vector<std::string> portFlagsOf(const std::string &program)
{
    if (program.ends_with("turmericline-entry")) {
        return {"--port", "--ops-port", "--peer-port"};
    }
    if (program.ends_with("turmericline-agent")) {
        return {"--port", "--ops-port"};
    }
    return {"--port"};
}

std::string makeDirectory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    require(::mkdtemp(pattern.data()) != nullptr, "cannot create a log directory");
    return pattern;
}

/** Reads the first line; returns an empty text if the writer exits before its end. */
std::string readLine(int fd)
{
    std::string line;
    char c = 0;
    for (;;) {
        const auto n = ::read(fd, &c, 1);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return {};
        }
        if (c == '\n') {
            return line;
        }
        line += c;
    }
}

/** Configuration document without backend servers. */
json baseDocument()
{
    auto document = json::parse(R"({"version":0,"key_lifetime_s":120,"backend_servers":[],
        "services":[{"name":"assistant","kind":"model","model":"assistant","idempotent":true},
                    {"name":"controller","kind":"plain","idempotent":false,
                     "calls":[{"method":"GET","path":"/*","idempotent":true}]}],
        "plans":[{"name":"standard","requests_per_s":10000,"tokens_per_s":10000000,"weight":1,
                  "class":"interactive","services":["assistant","controller"]}],
        "workspaces":[{"name":"lab","plan":"standard"}],
        "placement":{"skew_weight":0.5,"move_budget":64}})");
    document["services"][1]["key_owners"] = {Fleet::server("s1"), Fleet::server("s2"), Fleet::server("s3")};
    document["workspaces"][0]["keys"] = {keyDigest(callerKey)};
    return document;
}

} // namespace

std::string FleetAnswer::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

FleetStream parseStream(std::string_view body)
{
    FleetStream stream;
    while (!body.empty()) {
        const auto end = body.find("\n\n");
        const auto event = body.substr(0, end);
        body.remove_prefix(end == std::string_view::npos ? body.size() : end + 2);
        const auto data = event.find("data: ");
        if (event == "data: [DONE]") {
            stream.hasDone = true;
        } else if (event.starts_with("event: verdict") && data != std::string_view::npos) {
            stream.verdict = json::parse(event.substr(data + 6));
        } else if (event.starts_with("id: ") && data != std::string_view::npos && end != std::string_view::npos) {
            stream.offsets.push_back(std::stoull(std::string(event.substr(4))));
            stream.text += json::parse(event.substr(data + 6)).at("choices").at(0).at("text").get<std::string>();
        }
    }
    return stream;
}

Fleet::Fleet(const FleetOptions &options)
    : m_directory(makeDirectory())
    , m_http(m_io)
{
    std::signal(SIGPIPE, SIG_IGN);
    m_peerKey = fmt::format("fleet:{:032x}", static_cast<unsigned>(::getpid()));
    try {
        startAll(options);
    } catch (...) {
        for (auto &[name, it] : m_processes) {
            kill(name);
        }
        throw;
    }
}

Fleet::~Fleet()
{
    for (auto &[name, it] : m_processes) {
        kill(name);
    }
    if (std::getenv("FLEET_KEEP_LOGS") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }
}

void Fleet::startAll(const FleetOptions &options)
{
    const char *bin = std::getenv("TEST_BIN_DIR");
    require(bin != nullptr, "TEST_BIN_DIR is not set");
    const std::string fake = std::string(bin) + "/turmericline-fake";
    const auto launch = [this](const std::string &name, Arguments command, const Arguments &extraArguments) {
        command.insert(command.end(), extraArguments.begin(), extraArguments.end());
        require(tryStart(name, std::move(command)), name + " did not start:\n" + log(name));
    };
    launch("config", {fake, "config"}, {});
    launch("instances", {fake, "instances"}, {});
    const Arguments common{"--config-url",
                           fmt::format("http://127.0.0.1:{}", port("config")),
                           "--instances-url",
                           fmt::format("http://127.0.0.1:{}", port("instances")),
                           "--peer-key",
                           m_peerKey};
    for (const char domain : {'1', '2', '3'}) {
        const auto suffix = std::string("-") + domain;
        launch("engine" + suffix, {fake, "engine", "--slots", "64"}, options.engineArguments);
        launch("service" + suffix, {fake, "service"}, options.serviceArguments);
        for (const auto &[kind, backend] : {std::pair{"m", "engine"}, std::pair{"s", "service"}}) {
            const auto name = std::string(kind) + domain;
            Arguments command{std::string(bin) + "/turmericline-agent",
                              "--server",
                              server(name),
                              "--domain",
                              std::string("d") + domain,
                              "--backend-url",
                              fmt::format("http://127.0.0.1:{}", port(backend + suffix))};
            command.insert(command.end(), common.begin(), common.end());
            launch("agent-" + name, std::move(command), options.agentArguments);
        }
    }
    publish();
    for (const char domain : {'1', '2', '3'}) {
        Arguments command{std::string(bin) + "/turmericline-entry",
                          "--name",
                          std::string("e") + domain,
                          "--domain",
                          std::string("d") + domain};
        command.insert(command.end(), common.begin(), common.end());
        launch(std::string("entry-") + domain, std::move(command), options.entryArguments);
    }
    for (const auto *list : {&entries(), &agents()}) {
        for (const auto &it : *list) {
            waitUntil([&] {
                return isReady(it);
            });
        }
    }
}

bool Fleet::tryStart(const std::string &name, Arguments command)
{
    auto &process = m_processes[name];
    process.command = std::move(command);
    if (process.reservations.empty()) {
        reservePorts(process);
    }
    return spawn(name, process);
}

/** Other processes know the ports, so a process has the same ones after a restart. */
void Fleet::reservePorts(Process &process)
{
    for (const auto &it : portFlagsOf(process.command.front())) {
        const auto &port = process.reservations.emplace_back(m_io);
        process.portArguments.insert(process.portArguments.end(), {it, std::to_string(port.number())});
    }
}

void Fleet::start(const std::string &name)
{
    require(spawn(name, m_processes.at(name)), name + " did not restart:\n" + log(name));
}

bool Fleet::spawn(const std::string &name, Process &process)
{
    int pipeFds[2];
    require(::pipe2(pipeFds, O_CLOEXEC) == 0, "cannot create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeFds[1], STDOUT_FILENO);
    const auto path = m_directory + "/" + name + ".log";
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    auto command = process.command;
    command.insert(command.end(), process.portArguments.begin(), process.portArguments.end());
    std::vector<char *> argv;
    for (auto &it : command) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const int error = ::posix_spawn(&process.pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipeFds[1]);
    const auto line = error == 0 ? readLine(pipeFds[0]) : std::string();
    ::close(pipeFds[0]);
    require(error == 0, "cannot start " + process.command.front());
    if (line.empty()) {
        reap(process, 0);
        return false;
    }
    process.ports = json::parse(line);
    return true;
}

bool Fleet::reap(Process &process, int flags)
{
    int status = 0;
    if (process.pid != 0 && ::waitpid(process.pid, &status, flags) == process.pid) {
        process.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        process.pid = 0;
    }
    return process.pid == 0;
}

void Fleet::signal(const std::string &name, int number) const
{
    const auto pid = m_processes.at(name).pid;
    require(pid != 0 && ::kill(pid, number) == 0, "cannot signal " + name);
    m_faultCount += number == SIGCONT ? 0 : 1;
}

void Fleet::kill(const std::string &name)
{
    auto &process = m_processes.at(name);
    if (process.pid != 0) {
        ::kill(process.pid, SIGKILL);
        reap(process, 0);
        ++m_faultCount;
    }
}

int Fleet::waitExit(const std::string &name)
{
    auto &process = m_processes.at(name);
    waitUntil([&process] {
        return reap(process, WNOHANG);
    });
    return process.exitCode;
}

const Fleet::Arguments &Fleet::command(const std::string &name) const
{
    return m_processes.at(name).command;
}

std::string Fleet::log(const std::string &name) const
{
    std::ifstream in(m_directory + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(in), {}};
}

std::uint16_t Fleet::port(const std::string &name, const std::string &field) const
{
    return m_processes.at(name).ports.at(field).get<std::uint16_t>();
}

std::string Fleet::server(std::string_view shortName)
{
    return fmt::format("{}-{}", shortName, ::getpid());
}

std::uint64_t Fleet::publish(const std::function<void(json &)> &change)
{
    if (m_document.is_null()) {
        m_document = baseDocument();
        for (const auto &it : agents()) {
            const auto name = it.substr(6);
            m_document["backend_servers"].push_back({{"name", server(name)},
                                                     {"service", name[0] == 'm' ? "assistant" : "controller"},
                                                     {"domain", std::string("d") + name[1]},
                                                     {"agent", fmt::format("127.0.0.1:{}", port(it))},
                                                     {"state", "active"},
                                                     {"checks_fencing", name[0] == 'm'},
                                                     {"checks_caller", false},
                                                     {"slots", 64}});
        }
    }
    if (change) {
        change(m_document);
    }
    const auto version = m_document["version"].get<std::uint64_t>() + 1;
    m_document["version"] = version;
    put("config", "/control/document", m_document);
    return version;
}

json &Fleet::serverRow(json &document, std::string_view shortName) const
{
    for (auto &it : document["backend_servers"]) {
        if (it["name"] == server(shortName)) {
            return it;
        }
    }
    throw std::out_of_range("no such backend server");
}

void Fleet::put(const std::string &process, const std::string &path, const json &body)
{
    HttpClientRequest request{"PUT", fmt::format("http://127.0.0.1:{}{}", port(process), path), {}, {}};
    request.body = body.dump();
    const auto answer = call(std::move(request));
    waitDone({answer});
    require(answer->status == 200, process + path + ": " + answer->error + answer->body);
}

Fleet::Answer Fleet::call(HttpClientRequest request)
{
    auto answer = std::make_shared<FleetAnswer>();
    // On a reused connection libcurl would resend the request if the connection turns out to be closed.
    request.freshConnection = true;
    m_http.start(std::move(request),
                 {[answer](int status, const HttpHeaders &headers) {
                      answer->status = status;
                      answer->headers = headers;
                  },
                  [answer](std::string_view chunk) {
                      answer->body += chunk;
                  },
                  [answer](const HttpClientResult &result) {
                      answer->done = true;
                      answer->complete = result.complete;
                      answer->error = result.error;
                  }});
    return answer;
}

Fleet::Answer Fleet::callEntry(const std::string &entry, const std::string &path, const json &body, HttpHeaders headers)
{
    HttpClientRequest request{"POST", fmt::format("http://127.0.0.1:{}{}", port(entry), path), {}, {}};
    request.headers = std::move(headers);
    request.headers.emplace_back("Authorization", fmt::format("Bearer {}", callerKey));
    request.body = body.dump();
    return call(std::move(request));
}

Fleet::Answer
Fleet::stream(const std::string &entry, const std::string &prompt, std::uint32_t tokens, const std::string &user)
{
    json body{{"model", "assistant"}, {"stream", true}, {"prompt", prompt}, {"max_tokens", tokens}};
    if (!user.empty()) {
        body["user"] = user;
    }
    return callEntry(entry, "/v1/completions", body);
}

Fleet::Answer Fleet::get(const std::string &process, const std::string &path, const std::string &field)
{
    return call({"GET", fmt::format("http://127.0.0.1:{}{}", port(process, field), path), {}, {}});
}

json Fleet::getJson(const std::string &process, const std::string &path, const std::string &field)
{
    const auto answer = get(process, path, field);
    waitDone({answer});
    require(answer->complete && answer->status == 200, process + path + ": " + answer->error + answer->body);
    return json::parse(answer->body);
}

bool Fleet::isReady(const std::string &process)
{
    const auto answer = get(process, "/readyz", "ops_port");
    waitDone({answer});
    return answer->status == 200;
}

void Fleet::waitUntil(const std::function<bool()> &condition)
{
    while (!condition()) {
        m_io.restart();
        m_io.run_one_for(std::chrono::milliseconds(10));
    }
}

void Fleet::waitDone(const std::vector<Answer> &answers)
{
    for (const auto &it : answers) {
        waitUntil([&it] {
            return it->done;
        });
    }
}

const std::vector<std::string> &Fleet::entries()
{
    static const std::vector<std::string> names{"entry-1", "entry-2", "entry-3"};
    return names;
}

const std::vector<std::string> &Fleet::agents()
{
    static const std::vector<std::string> names{"agent-m1", "agent-m2", "agent-m3", "agent-s1", "agent-s2", "agent-s3"};
    return names;
}

void expectCompleteStream(const Fleet::Answer &answer, const std::string &prompt, std::uint32_t tokens)
{
    require(answer->complete, prompt + ": " + answer->error);
    const auto stream = parseStream(answer->body);
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += fakes::tokenText(prompt, i);
        require(i < stream.offsets.size() && stream.offsets[i] == i, fmt::format("{}: token {} is missing", prompt, i));
    }
    require(stream.text == text, prompt + ": expected " + text + "\nreceived " + stream.text);
    require(stream.hasDone && stream.verdict.value("verdict", "") == "run" && stream.verdict.value("complete", false),
            prompt + ": stream ended with verdict " + stream.verdict.dump());
}
