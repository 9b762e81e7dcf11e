#pragma once

#include "verdict_type.h"

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Pre-shared key with which the processes of a fleet authenticate to each other. */
struct PeerKey
{
    std::string name; ///< PSK identity, sent unencrypted.
    std::string secret; ///< Raw bytes.
};

/** Parses "name:hex", with a secret of 16 to 64 bytes. */
Result<PeerKey> parsePeerKey(std::string_view text);
/** Validates a setting that holds a key; returns an error message, or an empty string. */
std::string checkPeerKey(const std::string &value);
/** Parses keys from settings that have been validated; skips malformed ones. */
std::vector<PeerKey> readPeerKeys(const std::vector<std::string> &texts);

/**
 * TLS 1.3 contexts that authenticate both sides by a pre-shared key (RFC 8446, external PSK with (EC)DHE).
 * A client connects with the first key; a server accepts any of them, so keys can be rotated without downtime.
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
    std::unique_ptr<const std::vector<PeerKey>> m_keys; // On the heap, because OpenSSL keeps a pointer to it.
    asio::ssl::context m_server;
    asio::ssl::context m_client;
};

} // namespace turmericline
