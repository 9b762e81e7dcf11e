#pragma once

#include "http_server.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

/** A received answer; the status is 0 if the connection ended without one. */
struct RawAnswer
{
    int status = 0;
    std::string head;
    std::string body;

    std::string header(const std::string &name) const
    {
        std::size_t begin = head.find("\r\n");
        while (begin != std::string::npos) {
            const auto end = std::min(head.find("\r\n", begin + 2), head.size());
            const auto line = head.substr(begin + 2, end - begin - 2);
            const auto colon = std::min(line.find(": "), line.size());
            if (turmericline::equalsIgnoringCase(line.substr(0, colon), name)) {
                return line.substr(std::min(colon + 2, line.size()));
            }
            begin = end == head.size() ? std::string::npos : end;
        }
        return {};
    }
};

/** Client that sends arbitrary bytes. Each method runs the io_context until it has finished; there is no timeout. */
class RawCaller
{
public:
    RawCaller(asio::io_context &io, const std::string &port, int receiveBuffer = 0)
        : m_io(io)
        , m_socket(io)
    {
        const asio::ip::tcp::endpoint end(asio::ip::address_v4::loopback(),
                                          static_cast<std::uint16_t>(std::stoi(port)));
        m_socket.open(end.protocol());
        if (receiveBuffer != 0) {
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        }
        m_socket.connect(end);
    }

    /** Returns false if the connection was closed before all bytes were sent. */
    bool send(const std::string &bytes)
    {
        std::optional<asio::error_code> result;
        asio::async_write(m_socket, asio::buffer(bytes), [&result](asio::error_code ec, std::size_t) {
            result = ec;
        });
        while (!result) {
            m_io.run_one();
        }
        return !*result;
    }

    /** Reads until @p text was received; returns false if the connection ends first. */
    bool readUntil(const std::string &text)
    {
        while (m_in.find(text) == std::string::npos) {
            if (!readSome()) {
                return false;
            }
        }
        return true;
    }

    /** Reads one answer; without Content-Length its body counts as empty. */
    RawAnswer answer()
    {
        RawAnswer answer;
        if (!readUntil("\r\n\r\n")) {
            return answer;
        }
        const auto end = m_in.find("\r\n\r\n");
        answer.head = m_in.substr(0, end);
        answer.status = std::stoi(answer.head.substr(answer.head.find(' ')));
        const auto length = answer.header("Content-Length");
        const auto size = length.empty() ? 0 : std::stoul(length);
        while (m_in.size() < end + 4 + size && readSome()) {
        }
        answer.body = m_in.substr(end + 4, size);
        m_in.erase(0, std::min(m_in.size(), end + 4 + size));
        return answer;
    }

    /** Calls @p handler once the answer has been received, while the io_context runs. To be called once, before close(). */
    void onAnswer(std::function<void(const RawAnswer &answer)> handler)
    {
        m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [this, handler = std::move(handler)](asio::error_code ec) {
                                if (!ec) {
                                    handler(answer());
                                }
                            });
    }

    /** Reads until the connection ends and returns the received bytes that were not consumed before. */
    std::string rest()
    {
        while (readSome()) {
        }
        return std::exchange(m_in, {});
    }

    void close()
    {
        m_socket.close();
    }

private:
    bool readSome()
    {
        std::optional<asio::error_code> result;
        std::array<char, 4096> buf{};
        m_socket.async_read_some(asio::buffer(buf), [&](asio::error_code ec, std::size_t n) {
            m_in.append(buf.data(), n);
            result = ec;
        });
        while (!result) {
            m_io.run_one();
        }
        return !*result;
    }

    asio::io_context &m_io;
    asio::ip::tcp::socket m_socket;
    std::string m_in;
};
