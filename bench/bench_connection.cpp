#include "bench_util.h"
#include "h2_client.h"
#include "h2_server.h"
#include "peer_tls.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <fstream>
#include <iostream>
#include <string>

// Measures the memory of peer connections, with both ends of N of them in this process: first idle after one small
// request each, then after each has carried a body of the size of a full document.

using namespace turmericline;

namespace {

long residentKb()
{
    std::ifstream in("/proc/self/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

/** Sends one request on each connection in turn; returns the number of complete responses. */
std::size_t callAll(asio::io_context &io, std::vector<std::shared_ptr<H2Client>> &clients, const std::string &path)
{
    std::size_t completeCount = 0;
    for (auto &client : clients) {
        bool done = false;
        auto id = std::make_shared<H2Client::StreamId>(0);
        *id = client->start({"GET", path, {}, {}},
                            {{},
                             [&client, id](std::string_view chunk) {
                                 client->consume(*id, chunk.size());
                             },
                             [&](const H2Result &result) {
                                 completeCount += result.complete ? 1 : 0;
                                 done = true;
                             }});
        while (!done) {
            io.run_one();
        }
    }
    return completeCount;
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t n = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 300;
    constexpr std::size_t documentBytes = 938'631; // 14,000 workspaces, from `scripts/measure config store`.
    asio::io_context io(1);
    PeerTls tls({*parsePeerKey("bench:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f").value});
    H2Server server(io, tls, "127.0.0.1", 0, [&](const std::shared_ptr<H2ServerStream> &stream) {
        stream->reply(200, {}, std::string(stream->request().path == "/document" ? documentBytes : 100, 'x'));
    });
    std::vector<std::shared_ptr<H2Client>> clients;
    for (std::size_t i = 0; i < n; ++i) {
        clients.push_back(std::make_shared<H2Client>(io, tls, "127.0.0.1:" + std::to_string(server.port())));
    }
    const auto before = residentKb();
    const auto small = callAll(io, clients, "/small");
    const auto idle = residentKb();
    const auto large = callAll(io, clients, "/document");
    const auto after = residentKb();
    if (small != n || large != n) {
        std::cout << "FAILED: " << n - small << " small and " << n - large << " large responses are missing\n";
        return 1;
    }
    const auto perPair = [&](long kb) {
        return static_cast<double>(kb - before) / static_cast<double>(n);
    };
    std::cout << "{\"connections\":" << n << ",\"kb_per_connection_both_ends_idle\":" << perPair(idle)
              << ",\"kb_after_a_whole_document_each\":" << perPair(after) << "}\n";
    return 0;
}
