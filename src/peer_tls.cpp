#include "peer_tls.h"

#include <openssl/ssl.h>

#include <algorithm>
#include <stdexcept>

namespace turmericline {

namespace {

constexpr std::size_t minSecretBytes = 16;
constexpr std::size_t maxSecretBytes = 64;
constexpr std::size_t maxNameBytes = 64;

using KeyList = std::vector<PeerKey>;

int keyListIndex()
{
    static const int index = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return index;
}

const KeyList *keysOf(SSL *ssl)
{
    return static_cast<const KeyList *>(SSL_CTX_get_ex_data(SSL_get_SSL_CTX(ssl), keyListIndex()));
}

unsigned int copySecret(const PeerKey &key, unsigned char *buf, unsigned int size)
{
    if (key.secret.size() > size) {
        return 0;
    }
    std::copy(key.secret.begin(), key.secret.end(), buf);
    return static_cast<unsigned int>(key.secret.size());
}

unsigned int
pskClientCallback(SSL *ssl, const char *, char *identity, unsigned int idSize, unsigned char *buf, unsigned int size)
{
    const auto &key = keysOf(ssl)->front();
    if (key.name.size() + 1 > idSize) {
        return 0;
    }
    identity[key.name.copy(identity, idSize - 1)] = '\0';
    return copySecret(key, buf, size);
}

unsigned int pskServerCallback(SSL *ssl, const char *identity, unsigned char *buf, unsigned int size)
{
    for (const auto &it : *keysOf(ssl)) {
        if (it.name == identity) {
            return copySecret(it, buf, size);
        }
    }
    return 0; // With an unknown identity the handshake fails, because the server has no certificate to fall back to.
}

void configure(asio::ssl::context &context, const KeyList &keys)
{
    SSL_CTX *native = context.native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_3_VERSION);
    // The PSK callbacks always use SHA-256, so the cipher suite must as well.
    SSL_CTX_set_ciphersuites(native, "TLS_AES_128_GCM_SHA256");
    SSL_CTX_set_num_tickets(native, 0);
    SSL_CTX_set_ex_data(native, keyListIndex(), const_cast<KeyList *>(&keys));
    // Frees the record buffers while idle, to save memory with hundreds of idle connections.
    SSL_CTX_set_mode(native, SSL_MODE_RELEASE_BUFFERS);
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

} // namespace

Result<PeerKey> parsePeerKey(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || colon == 0 || colon > maxNameBytes) {
        return Result<PeerKey>::fail("expected name:hex with a name of 1 to 64 characters");
    }
    const auto hex = text.substr(colon + 1);
    if (hex.size() % 2 != 0 || hex.size() < 2 * minSecretBytes || hex.size() > 2 * maxSecretBytes) {
        return Result<PeerKey>::fail("expected 32 to 128 hexadecimal digits after the name");
    }
    PeerKey key{std::string(text.substr(0, colon)), {}};
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const int high = hexValue(hex[i]);
        const int low = hexValue(hex[i + 1]);
        if (high < 0 || low < 0) {
            return Result<PeerKey>::fail("the secret contains a character that is not a hexadecimal digit");
        }
        key.secret.push_back(static_cast<char>(high * 16 + low));
    }
    return Result<PeerKey>::ok(std::move(key));
}

std::string checkPeerKey(const std::string &value)
{
    return parsePeerKey(value).reason;
}

std::vector<PeerKey> readPeerKeys(const std::vector<std::string> &texts)
{
    std::vector<PeerKey> keys;
    keys.reserve(texts.size());
    for (const auto &it : texts) {
        if (auto key = parsePeerKey(it)) {
            keys.push_back(std::move(*key.value));
        }
    }
    return keys;
}

PeerTls::PeerTls(std::vector<PeerKey> keys)
    : m_keys(std::make_unique<const std::vector<PeerKey>>(std::move(keys)))
    , m_server(asio::ssl::context::tls_server)
    , m_client(asio::ssl::context::tls_client)
{
    if (m_keys->empty()) {
        throw std::invalid_argument("at least one peer key is required");
    }
    configure(m_server, *m_keys);
    configure(m_client, *m_keys);
    SSL_CTX_set_psk_server_callback(m_server.native_handle(), &pskServerCallback);
    SSL_CTX_set_psk_client_callback(m_client.native_handle(), &pskClientCallback);
    // Without a trust store every certificate is rejected, so only a server that knows the key is accepted.
    m_client.set_verify_mode(asio::ssl::verify_peer);
}

} // namespace turmericline
