#include "suspect_reports.h"

#include "config_sync_codec.h"
#include "part_suspect_codec.h"
#include "suspect_codec.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxMessageBytes = 64U << 10U;
constexpr std::size_t reportsPerMessage = 64;
/** Maximum number of reports sent at the start of a stream. */
constexpr std::size_t maxInitialReports = 512;
/** Unread bytes above which the stream to an entry is ended; the entry still gets the reports by gossip. */
constexpr std::size_t maxUnreadBytes = 1U << 20U;
/** Equal to the number of agents that an entry keeps connections to. */
constexpr std::size_t maxSubscriptions = 64;
constexpr std::chrono::seconds sweepInterval{1};
/** Idle time after which a stream is closed: while it is open, its connection sends a PING every 500 ms. */
constexpr std::chrono::seconds maxIdleTime{60};

/** Frames a MessagePack array of reports with its length in four bytes, most significant first. */
std::string frame(const nlohmann::json &reports)
{
    const auto body = toMessagePack(reports);
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
        out += static_cast<char>(body.size() >> static_cast<unsigned>(shift) & 0xffU);
    }
    return out + body;
}

std::size_t readLength(std::string_view buffer)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        n = n << 8U | static_cast<unsigned char>(buffer[i]);
    }
    return n;
}

template<typename Report, typename Encode>
std::string encodeFrames(const std::vector<Report> &reports, Encode encode)
{
    std::string out;
    auto list = nlohmann::json::array();
    for (const auto &it : reports) {
        list.push_back(encode(it));
        if (list.size() == reportsPerMessage) {
            out += frame(list);
            list.clear();
        }
    }
    return list.empty() ? out : out + frame(list);
}

} // namespace

SuspectReportServer::SuspectReportServer(const SuspectSync &suspects)
    : m_suspects(suspects)
{
}

void SuspectReportServer::add(const std::shared_ptr<H2ServerStream> &stream)
{
    stream->respond(200, {});
    if (m_isClosed) {
        stream->end();
        return;
    }
    stream->onCancel = [this, raw = stream.get()] {
        std::erase_if(m_streams, [raw](const auto &it) {
            return it.get() == raw;
        });
    };
    m_streams.push_back(stream);
    auto out = encodeFrames(m_suspects.recent(maxInitialReports), encodeReport);
    out += encodeFrames(m_suspects.recentParts(maxInitialReports), encodePartReport);
    if (!out.empty()) {
        stream->write(std::move(out));
    }
}

void SuspectReportServer::push(const SuspectSync::Reports &reports)
{
    write(encodeFrames(reports, encodeReport));
}

void SuspectReportServer::push(const std::vector<PartReport> &parts)
{
    write(encodeFrames(parts, encodePartReport));
}

void SuspectReportServer::write(const std::string &frames)
{
    // Iterates over a copy, because writing to a lost connection may remove its stream.
    for (const auto &it : std::vector(m_streams)) {
        if (it->pendingBytes() > maxUnreadBytes) {
            it->end();
            std::erase(m_streams, it);
        } else {
            it->write(frames);
        }
    }
}

void SuspectReportServer::close()
{
    m_isClosed = true;
    for (const auto &it : std::exchange(m_streams, {})) {
        it->end();
    }
}

std::size_t SuspectReportServer::size() const
{
    return m_streams.size();
}

bool SuspectReportReader::feed(std::string_view chunk, SuspectSync &suspects)
{
    m_buffer.append(chunk);
    std::size_t at = 0;
    while (m_buffer.size() - at >= lengthBytes) {
        const auto rest = std::string_view(m_buffer).substr(at);
        const auto n = readLength(rest);
        if (n > maxMessageBytes) {
            return false;
        }
        if (rest.size() < lengthBytes + n) {
            break;
        }
        suspects.mergeReports(fromMessagePack(rest.substr(lengthBytes, n)));
        at += lengthBytes + n;
    }
    m_buffer.erase(0, at);
    return true;
}

SuspectSubscriber::SuspectSubscriber(asio::io_context &io, SuspectSync &suspects)
    : m_suspects(suspects)
    , m_timer(io)
{
    sweep();
}

void SuspectSubscriber::ensureOpen(const std::shared_ptr<H2Client> &client)
{
    const auto now = std::chrono::steady_clock::now();
    const auto found = std::ranges::find(m_open, client, &Subscription::client);
    if (found != m_open.end()) {
        (*found)->lastUse = now;
        return;
    }
    if (m_open.size() >= maxSubscriptions) {
        close(SubscriptionPtr(*std::ranges::min_element(m_open, {}, &Subscription::lastUse)));
    }
    auto it = std::make_shared<Subscription>();
    it->client = client;
    it->lastUse = now;
    m_open.push_back(it);
    open(it);
}

void SuspectSubscriber::open(const SubscriptionPtr &it)
{
    it->stream = it->client->start({"GET", "/events", {}, {}},
                                   {{},
                                    [this, it](std::string_view chunk) {
                                        it->client->consume(it->stream, chunk.size());
                                        if (!it->reader.feed(chunk, m_suspects)) {
                                            close(it);
                                        }
                                    },
                                    [this, it](const H2Result &) {
                                        it->isEnded = true;
                                        std::erase(m_open, it);
                                    }});
}

void SuspectSubscriber::close(const SubscriptionPtr &it)
{
    if (!it->isEnded) {
        it->client->cancel(it->stream);
        it->isEnded = true;
    }
    std::erase(m_open, it);
}

void SuspectSubscriber::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &it : std::vector(m_open)) {
        if (now - it->lastUse > maxIdleTime) {
            close(it);
        }
    }
    m_timer.expires_after(sweepInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            sweep();
        }
    });
}

std::size_t SuspectSubscriber::size() const
{
    return m_open.size();
}

} // namespace turmericline
