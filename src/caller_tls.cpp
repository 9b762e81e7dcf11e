#include "caller_tls.h"

#include <openssl/ssl.h>

namespace turmericline {

CallerTls makeCallerTls(const std::string &certificateFile, const std::string &keyFile)
{
    CallerTls tls;
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
    // Without this callback, OpenSSL prompts for the passphrase of an encrypted key on the terminal.
    asio::error_code ec;
    context->set_password_callback(
        [](std::size_t, asio::ssl::context::password_purpose) {
            return std::string();
        },
        ec);
    context->use_certificate_chain_file(certificateFile, ec);
    if (ec) {
        tls.errors.push_back({"tls-certificate", certificateFile, "a readable PEM file with a certificate chain"});
    }
    const bool hasCertificate = !ec;
    context->use_private_key_file(keyFile, asio::ssl::context::pem, ec);
    if (ec) {
        tls.errors.push_back({"tls-key",
                              keyFile,
                              hasCertificate ? "a readable PEM file with the unencrypted private key of tls-certificate"
                                             : "a readable PEM file with an unencrypted private key"});
    }
    if (tls.errors.empty()) {
        tls.context = std::move(context);
    }
    return tls;
}

} // namespace turmericline
