#pragma once

#include "verdict_type.h"

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Shared secret of the system's own processes. */
struct PeerKey
{
    std::string name; ///< Sent in clear as the PSK identity.
    std::string secret; ///< Raw bytes.
};

/** Reads "name:hex" with at least 16 bytes of secret. */
Result<PeerKey> parsePeerKey(std::string_view text);
/** Check of a setting that holds a key. */
std::string checkPeerKey(const std::string &value);
/** Reads texts that the check of the settings has accepted; others are left out. */
std::vector<PeerKey> readPeerKeys(const std::vector<std::string> &texts);

/**
 * TLS 1.3 contexts that authenticate both sides by a pre-shared key (RFC 8446, external PSK with (EC)DHE).
 * A client dials with the first key; a server accepts any of them, so keys can be exchanged without a stop.
 */
class PeerTls
{
public:
    /** @p keys must not be empty. */
    explicit PeerTls(std::vector<PeerKey> keys);

    asio::ssl::context &serverContext()
    {
        return m_server;
    }

    asio::ssl::context &clientContext()
    {
        return m_client;
    }

private:
    std::unique_ptr<const std::vector<PeerKey>> m_keys; // Stable address: OpenSSL keeps a pointer to it.
    asio::ssl::context m_server;
    asio::ssl::context m_client;
};

} // namespace turmericline
