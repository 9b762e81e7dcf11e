#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

/** How a ScriptedServer ends a connection after it has sent its bytes. */
enum class ServerEnd {
    Close, ///< Closes; the kernel resets the connection if a part of the request has not been read.
    Reset,
    HalfClose, ///< Ends its own direction in order, then reads until the peer closes.
    Keep, ///< Leaves the connection open and reads on.
    Repeat, ///< Sends ServerScript::rest again and again until the peer closes.
};

/** What a ScriptedServer does with one request. */
struct ServerScript
{
    std::string bytes; ///< Sent once the head of the request has arrived.
    ServerEnd end = ServerEnd::Close;
    std::string rest = {}; ///< For ServerEnd::Repeat.
    bool readsBody = false; ///< Reads a body with Content-Length before it sends.
    std::chrono::milliseconds delay{0}; ///< Before the bytes.
    std::chrono::milliseconds pause{0}; ///< Between the bytes and the end.
};

/** Stand-in of a server that sends arbitrary bytes; serves one request on each connection. */
class ScriptedServer
{
public:
    /** Returns the script for a request with this head, which ends in an empty line. */
    using Choose = std::function<ServerScript(const std::string &head)>;

    ScriptedServer(asio::io_context &io, Choose choose)
        : m_io(io)
        , m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , m_choose(std::move(choose))
    {
        accept();
    }

    /** Runs the io_context until no handler of the server is left. */
    ~ScriptedServer()
    {
        asio::error_code ec;
        m_acceptor.close(ec);
        for (const auto &it : m_open) {
            it->socket.close(ec);
            it->timer.cancel();
        }
        m_io.restart();
        while (m_isAccepting || !m_open.empty()) {
            m_io.run_one();
        }
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::size_t requestCount() const
    {
        return m_requestCount;
    }

    std::size_t openCount() const
    {
        return m_open.size();
    }

private:
    static constexpr std::size_t blockBytes = 16U << 10U;

    struct Peer
    {
        explicit Peer(asio::ip::tcp::socket peer)
            : socket(std::move(peer))
            , timer(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string in;
        std::string discarded;
        ServerScript script;
    };
    using PeerPtr = std::shared_ptr<Peer>;

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                m_isAccepting = false;
                return;
            }
            const auto peer = std::make_shared<Peer>(std::move(socket));
            m_open.insert(peer);
            asio::async_read_until(
                peer->socket, asio::dynamic_buffer(peer->in), "\r\n\r\n", [this, peer](asio::error_code error, auto n) {
                    error ? close(peer) : onHead(peer, n);
                });
            accept();
        });
    }

    void onHead(const PeerPtr &peer, std::size_t n)
    {
        ++m_requestCount;
        const auto head = peer->in.substr(0, n);
        peer->script = m_choose(head);
        peer->in.erase(0, n);
        while (peer->script.end == ServerEnd::Repeat && peer->script.rest.size() < blockBytes) {
            peer->script.rest += peer->script.rest;
        }
        const auto at = head.find("Content-Length: ");
        const auto length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        if (!peer->script.readsBody || length <= peer->in.size()) {
            after(peer, peer->script.delay, &ScriptedServer::send);
            return;
        }
        asio::async_read(peer->socket,
                         asio::dynamic_buffer(peer->in),
                         asio::transfer_exactly(length - peer->in.size()),
                         [this, peer](asio::error_code ec, std::size_t) {
                             ec ? close(peer) : after(peer, peer->script.delay, &ScriptedServer::send);
                         });
    }

    void send(const PeerPtr &peer)
    {
        asio::async_write(
            peer->socket, asio::buffer(peer->script.bytes), [this, peer](asio::error_code ec, std::size_t) {
                ec ? close(peer) : after(peer, peer->script.pause, &ScriptedServer::end);
            });
    }

    void end(const PeerPtr &peer)
    {
        asio::error_code ec;
        switch (peer->script.end) {
        case ServerEnd::Reset:
            peer->socket.set_option(asio::socket_base::linger(true, 0), ec);
            close(peer);
            break;
        case ServerEnd::Close:
            close(peer);
            break;
        case ServerEnd::HalfClose:
            peer->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
            discard(peer);
            break;
        case ServerEnd::Keep:
            discard(peer);
            break;
        case ServerEnd::Repeat:
            repeat(peer);
            break;
        }
    }

    void repeat(const PeerPtr &peer)
    {
        asio::async_write(
            peer->socket, asio::buffer(peer->script.rest), [this, peer](asio::error_code ec, std::size_t) {
                ec ? close(peer) : repeat(peer);
            });
    }

    void discard(const PeerPtr &peer)
    {
        peer->discarded.resize(blockBytes);
        peer->socket.async_read_some(asio::buffer(peer->discarded), [this, peer](asio::error_code ec, std::size_t) {
            ec ? close(peer) : discard(peer);
        });
    }

    void after(const PeerPtr &peer, std::chrono::milliseconds time, void (ScriptedServer::*next)(const PeerPtr &))
    {
        if (time == std::chrono::milliseconds(0)) {
            (this->*next)(peer);
            return;
        }
        peer->timer.expires_after(time);
        peer->timer.async_wait([this, peer, next](asio::error_code ec) {
            ec ? close(peer) : (this->*next)(peer);
        });
    }

    void close(const PeerPtr &peer)
    {
        asio::error_code ec;
        peer->socket.close(ec);
        m_open.erase(peer);
    }

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    bool m_isAccepting = true;
    Choose m_choose;
    std::set<PeerPtr> m_open;
    std::size_t m_requestCount = 0;
};
