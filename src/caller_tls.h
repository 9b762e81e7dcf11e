#pragma once

#include "settings_type.h"

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace turmericline {

/** TLS context for connections of callers, or the errors in the settings that prevent it. */
struct CallerTls
{
    std::shared_ptr<asio::ssl::context> context; ///< Null if there are errors.
    std::vector<SettingError> errors;
};

/** Reads the certificate chain and the private key from PEM files, and checks that they match. */
CallerTls makeCallerTls(const std::string &certificateFile, const std::string &keyFile);

} // namespace turmericline
