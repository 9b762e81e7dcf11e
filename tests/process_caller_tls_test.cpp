#include "caller_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <curl/curl.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace {

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using FilePtr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

CertificatePtr selfSigned(EVP_PKEY *key)
{
    CertificatePtr certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key);
    auto *name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>("entry"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> address(
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1"), &X509_EXTENSION_free);
    X509_add_ext(certificate.get(), address.get(), -1);
    X509_sign(certificate.get(), key, EVP_sha256());
    return certificate;
}

/** Temporary directory with the PEM files NAME.crt and NAME.key. */
class PemFiles
{
public:
    PemFiles()
    {
        std::string name = std::filesystem::temp_directory_path() / "caller-tls-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_dir = name;
    }
    ~PemFiles()
    {
        std::filesystem::remove_all(m_dir);
    }

    void add(const std::string &name, const char *passphrase = nullptr) const
    {
        const KeyPtr key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
        const FilePtr keyFile(std::fopen(path(name + ".key").c_str(), "w"), &std::fclose);
        PEM_write_PrivateKey(keyFile.get(),
                             key.get(),
                             passphrase != nullptr ? EVP_aes_128_cbc() : nullptr,
                             nullptr,
                             0,
                             nullptr,
                             const_cast<char *>(passphrase));
        const FilePtr file(std::fopen(path(name + ".crt").c_str(), "w"), &std::fclose);
        PEM_write_X509(file.get(), selfSigned(key.get()).get());
    }

    std::string path(const std::string &name) const
    {
        return m_dir / name;
    }

private:
    std::filesystem::path m_dir;
};

struct TlsAnswer
{
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string body;
};

TlsAnswer fetch(const std::string &url, const std::string &trusted)
{
    TlsAnswer answer;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), &curl_easy_cleanup);
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(nullptr, "Authorization: Bearer lab-key"), &curl_slist_free_all);
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_CAINFO, trusted.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer.body);
    const auto write = +[](char *data, std::size_t size, std::size_t n, void *body) {
        static_cast<std::string *>(body)->append(data, size * n);
        return size * n;
    };
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, write);
    answer.code = curl_easy_perform(curl.get());
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
}

} // namespace

/** Guards TLS for callers: the entry presents its certificate, and with unusable files it exits before it listens. */
class CallerTlsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerTlsTest);
    CPPUNIT_TEST(answersOverVerifiedTls);
    CPPUNIT_TEST(reportsUnusableFiles);
    CPPUNIT_TEST_SUITE_END();

    PemFiles m_files;

    /** Starts the entry with these files and an invalid port, and returns what it writes to standard error. */
    std::string startAndReadErrors(const std::string &certificate, const std::string &key)
    {
        asio::io_context io;
        ChildProcess entry(io,
                           "turmericline-entry",
                           {"--name",
                            "e1",
                            "--domain",
                            "d1",
                            "--peer-key",
                            CallerFixture::peerKey,
                            "--config-url",
                            "http://127.0.0.1:1",
                            "--port",
                            "70000",
                            "--tls-certificate",
                            m_files.path(certificate),
                            "--tls-key",
                            m_files.path(key)});
        CPPUNIT_ASSERT_EQUAL(2, entry.waitForExit());
        return entry.errors();
    }

public:
    void answersOverVerifiedTls()
    {
        m_files.add("entry");
        m_files.add("stranger");
        CallerFixture fixture({"--tls-certificate", m_files.path("entry.crt"), "--tls-key", m_files.path("entry.key")},
                              true);
        const auto url = "https://127.0.0.1:" + fixture.entry.port() + "/v1/models";
        const auto answer = fetch(url, m_files.path("entry.crt"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(curl_easy_strerror(answer.code), CURLE_OK, answer.code);
        CPPUNIT_ASSERT_EQUAL(200L, answer.status);
        CPPUNIT_ASSERT(answer.body.find("\"assistant\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(CURLE_PEER_FAILED_VERIFICATION, fetch(url, m_files.path("stranger.crt")).code);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("plain HTTP", 0, fixture.ask(CallerFixture::models()).status);
        CPPUNIT_ASSERT_EQUAL(200L, fetch(url, m_files.path("entry.crt")).status);
    }

    void reportsUnusableFiles()
    {
        m_files.add("entry");
        m_files.add("other");
        m_files.add("locked", "secret");
        std::ofstream(m_files.path("garbage")) << "no PEM";
        const std::vector<std::array<std::string, 3>> cases{
            {"entry.crt", "entry.key", "port"},
            {"missing", "entry.key", "port tls-certificate"},
            {"entry.crt", "missing", "port tls-key"},
            {"entry.crt", "other.key", "port tls-key"},
            {"locked.crt", "locked.key", "port tls-key"},
            {"garbage", "garbage", "port tls-certificate tls-key"},
        };
        for (const auto &[certificate, key, expected] : cases) {
            std::istringstream errors(startAndReadErrors(certificate, key));
            std::string names;
            std::string line;
            while (std::getline(errors, line)) {
                const auto text = line.substr(std::string("error: setting ").size());
                names += (names.empty() ? "" : " ") + text.substr(0, text.find(' '));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} {}", certificate, key), expected, names);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTlsTest);
