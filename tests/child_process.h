#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

/** A program of the build directory as a child process, with its output on pipes; killed by the destructor. */
class ChildProcess
{
public:
    ChildProcess(asio::io_context &io, const std::string &program, std::vector<std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Waits for the JSON line with the ports that a daemon prints; a discarded value if it exits before that. */
    const nlohmann::json &announcement();
    std::string port(const std::string &name = "port");
    void signal(int number) const;
    /** Waits for the process to exit and returns its exit code, or -1 if a signal terminated it. */
    int waitForExit();
    const std::string &errors() const;
    /** Returns a size in KiB from /proc/PID/status, such as "VmRSS". */
    std::uint64_t memoryKiB(const std::string &field) const;
    /** Returns the number of open descriptors. */
    std::size_t openFiles() const;

private:
    void read(asio::posix::stream_descriptor &pipe, std::string &text, std::vector<char> &buf);

    asio::io_context &m_io;
    pid_t m_pid = 0;
    asio::posix::stream_descriptor m_outPipe;
    asio::posix::stream_descriptor m_errorPipe;
    std::vector<char> m_outBuf;
    std::vector<char> m_errorBuf;
    std::string m_output;
    std::string m_errors;
    int m_openPipes = 2;
    nlohmann::json m_announcement;
};
