#pragma once

#include "document_type.h"
#include "h2_client.h"
#include "ticket_type.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** State that an entry keeps about one agent and its backend server. */
struct AgentPeer
{
    using Clock = std::chrono::steady_clock;

    std::string name; ///< Name of the backend server.
    std::string address;
    std::string domain;
    std::shared_ptr<H2Client> client;
    std::uint32_t inFlight = 0; ///< Requests of this entry only.
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedQueued = 0;
    std::optional<AgentAge> reportedAge; ///< The agent's age at the time ageReceivedAt.
    Clock::time_point ageReceivedAt;

    /** Reads incarnation, age and load from the headers of an answer of the agent. */
    void updateFromHeaders(const HttpHeaders &headers, Clock::time_point now);
};

/** The agents that the configuration document lists, with one connection each. */
class AgentPool
{
public:
    AgentPool(asio::io_context &io, PeerTls &tls, std::string domain);

    void setDocument(const Document &document);
    /** Returns nullptr if the document does not list the server. */
    std::shared_ptr<AgentPeer> find(std::string_view server) const;
    /** Asks for incarnation and age unless they are recent; @p done gets false if the agent does not answer. */
    static void refreshAge(const std::shared_ptr<AgentPeer> &peer, std::function<void(bool isKnown)> done);
    /**
     * Returns one random connection for a gossip round. Otherwise returns all open connections and, up to a limit,
     * those to agents of the own failure domain that have yet to be opened.
     */
    std::vector<std::shared_ptr<H2Client>> clients(bool isGossipRound);

private:
    asio::io_context &m_io;
    PeerTls &m_tls;
    std::string m_domain;
    std::unordered_map<std::string, std::shared_ptr<AgentPeer>, StringHash, std::equal_to<>> m_peers;
    std::mt19937_64 m_random;
};

/** Reads "INCARNATION.TICK" with the incarnation in hexadecimal. */
std::optional<AgentAge> parseAgentAge(std::string_view text);
std::string formatAgentAge(const AgentAge &age);

} // namespace turmericline
