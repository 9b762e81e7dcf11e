#include "feed_relay.h"

#include "feed_relay_codec.h"
#include "log.h"

#include <algorithm>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** A poll waits for so long if the own facts are old, as when this gateway has only just begun to read them. */
constexpr std::chrono::milliseconds refreshWait{300};
/** Facts older than this are refreshed before they are passed on. */
constexpr std::chrono::milliseconds recentAge{1'500};
/** Limits what a caller can ask for. */
constexpr std::chrono::milliseconds maxWait{2'000};
constexpr std::size_t maxHeldPolls = 1'024;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
const std::string messagePackType = "application/msgpack";

} // namespace

FeedRelay::FeedRelay(asio::io_context &io, const std::string &ownAddress, Handlers handlers, std::mt19937_64 &random)
    : m_handlers(std::move(handlers))
    , m_log(random())
    , m_follower(ownAddress)
    , m_caller(io)
{
}

void FeedRelay::tick(TimePoint now, const std::vector<std::string> &peers)
{
    m_caller.tick(now);
    answerDue(now);
    const bool wasFollowing = m_follower.isFollowing();
    const auto reader = m_follower.reader();
    if (const auto poll = m_follower.tick(now, peers)) {
        send(now, *poll);
    }
    logTransition(wasFollowing, reader, "this gateway is the reader, or knows too few others");
}

void FeedRelay::send(TimePoint now, const FeedFollower::Poll &poll)
{
    m_caller.post(now,
                  poll.reader,
                  std::string(feedTarget),
                  messagePackType,
                  encodeFeedPoll(poll.poll),
                  poll.timeout,
                  [this, reader = poll.reader, polledAt = BootClock::now()](const std::optional<HttpReply> &reply,
                                                                            const std::string &reason) {
                      onReply(reader, polledAt, reply, reason);
                  });
}

void FeedRelay::onReply(const std::string &reader,
                        BootTime polledAt,
                        const std::optional<HttpReply> &reply,
                        const std::string &reason)
{
    const auto now = std::chrono::steady_clock::now();
    const bool wasFollowing = m_follower.isFollowing();
    auto report = decodeReply(reply, reason, decodeFeedReport);
    if (!report) {
        m_follower.onFailure(now);
        logTransition(wasFollowing, reader, report.reason);
        return;
    }
    const bool isUsable = m_follower.onReport(now, *report.value);
    logTransition(wasFollowing, reader, "its facts are old");
    if (isUsable) {
        m_handlers.onReport(polledAt, std::move(*report.value));
    }
}

void FeedRelay::logTransition(bool wasFollowing, const std::string &reader, const std::string &reason)
{
    if (wasFollowing == m_follower.isFollowing()) {
        return;
    }
    if (wasFollowing) {
        logEvent(LogLevel::Info, "reads the store itself", {{"former_reader", reader}, {"reason", reason}});
    } else {
        logEvent(LogLevel::Info, "follows another gateway", {{"reader", reader}});
    }
}

void FeedRelay::onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto poll = decodeFeedPoll(request.body);
    if (!poll) {
        logEvent(LogLevel::Warning, "rejected a poll of another gateway", {{"reason", poll.reason}});
        responder->reply(statusBadRequest, {}, poll.reason + "\n");
        return;
    }
    if (m_isStopped || m_held.size() >= maxHeldPolls) {
        responder->reply(statusUnavailable, {}, m_isStopped ? "the instance is stopping\n" : "too many polls\n");
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const bool wasFollowed = m_follower.isFollowed(now);
    m_follower.onFollowed(now);
    if (!wasFollowed) {
        m_handlers.onFollowed();
    }
    m_held.push_back({*poll.value, now, BootClock::now(), responder});
    answerDue(now);
}

void FeedRelay::onServers(const StoreChange &change)
{
    m_log.apply(change);
    answerDue(std::chrono::steady_clock::now());
}

bool FeedRelay::isDue(TimePoint now, const HeldPoll &held, const FeedReport &facts) const
{
    const bool isRecent = facts.serversAge < recentAge && facts.configAge < recentAge;
    const auto wait = std::min(isRecent ? held.poll.wait : std::max(held.poll.wait, refreshWait), maxWait);
    return now - held.arrivedAt >= wait || (isRecent && held.poll.cursor != m_log.end());
}

void FeedRelay::answerDue(TimePoint now)
{
    if (m_held.empty()) {
        return;
    }
    const auto facts = m_handlers.ownFacts();
    std::vector<HeldPoll> due;
    const auto rest = std::stable_partition(m_held.begin(), m_held.end(), [&](const HeldPoll &it) {
        return !isDue(now, it, facts);
    });
    std::move(rest, m_held.end(), std::back_inserter(due));
    m_held.erase(rest, m_held.end());
    for (const auto &it : due) {
        answer(it, facts);
    }
}

void FeedRelay::answer(const HeldPoll &held, const FeedReport &facts)
{
    auto report = facts;
    report.cursor = m_log.end();
    report.servers = m_log.changesAfter(held.poll.cursor);
    // Rounded down, so that the facts seem no more recent than they are.
    report.held = std::chrono::floor<std::chrono::milliseconds>(BootClock::now() - held.arrivedBootAt);
    held.responder->reply(statusOk, {{"Content-Type", messagePackType}}, encodeFeedReport(report));
}

void FeedRelay::stop()
{
    m_isStopped = true;
    for (const auto &it : std::exchange(m_held, {})) {
        it.responder->reply(statusUnavailable, {}, "the instance is stopping\n");
    }
}

} // namespace turmericline
