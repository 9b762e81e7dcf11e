#include "child_process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct Pipe
{
    int readEnd = -1;
    int writeEnd = -1;

    Pipe()
    {
        int fds[2];
        if (::pipe2(fds, O_CLOEXEC) != 0) {
            throw std::runtime_error("pipe2 failed");
        }
        readEnd = fds[0];
        writeEnd = fds[1];
    }
    ~Pipe()
    {
        ::close(writeEnd);
    }
};

std::string binaryPath(const std::string &program)
{
    const char *dir = std::getenv("TEST_BIN_DIR");
    return (dir == nullptr ? "." : dir) + ("/" + program);
}

} // namespace

ChildProcess::ChildProcess(asio::io_context &io, const std::string &program, std::vector<std::string> arguments)
    : m_io(io)
    , m_outPipe(io)
    , m_errorPipe(io)
    , m_outBuf(4096)
    , m_errorBuf(4096)
{
    arguments.insert(arguments.begin(), binaryPath(program));
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (auto &it : arguments) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    const Pipe out;
    const Pipe errors;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out.writeEnd, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errors.writeEnd, STDERR_FILENO);
    // Asio opens sockets without close-on-exec; a connection inherited by the child would stay open when closed here.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int rc = ::posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    m_outPipe.assign(out.readEnd);
    m_errorPipe.assign(errors.readEnd);
    if (rc != 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
    read(m_outPipe, m_output, m_outBuf);
    read(m_errorPipe, m_errors, m_errorBuf);
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    m_outPipe.close();
    m_errorPipe.close();
    m_io.restart();
    while (m_openPipes > 0) { // The pending read handlers refer to this object.
        m_io.run_one();
    }
}

void ChildProcess::read(asio::posix::stream_descriptor &pipe, std::string &text, std::vector<char> &buf)
{
    pipe.async_read_some(asio::buffer(buf), [&](asio::error_code ec, std::size_t n) {
        if (ec) {
            --m_openPipes;
            return;
        }
        text.append(buf.data(), n);
        read(pipe, text, buf);
    });
}

const nlohmann::json &ChildProcess::announcement()
{
    while (m_announcement.is_null()) {
        const auto end = m_output.find('\n');
        if (end != std::string::npos || m_openPipes < 2) {
            m_announcement = nlohmann::json::parse(m_output.substr(0, end), nullptr, false);
        } else {
            m_io.run_one();
        }
    }
    return m_announcement;
}

std::string ChildProcess::port(const std::string &name)
{
    return std::to_string(announcement().at(name).get<int>());
}

void ChildProcess::signal(int number) const
{
    ::kill(m_pid, number);
}

int ChildProcess::waitForExit()
{
    while (m_openPipes > 0) {
        m_io.run_one();
    }
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

const std::string &ChildProcess::errors() const
{
    return m_errors;
}

std::size_t ChildProcess::openFiles() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::uint64_t ChildProcess::memoryKiB(const std::string &field) const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(field + ":")) {
            return std::stoull(line.substr(field.size() + 1));
        }
    }
    throw std::runtime_error("/proc/PID/status has no field " + field);
}
