#include "rank_client.h"

namespace turmericline {

namespace {

/** The rank is on the same machine and answers within milliseconds. */
constexpr std::chrono::milliseconds callTimeout{100};
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

std::optional<OrderAnswer> orderAnswer(const std::optional<HttpReply> &reply)
{
    if (!reply || reply->status == statusTimeout || reply->status == statusUnavailable) {
        return std::nullopt;
    }
    const bool isAccepted = reply->status == statusOk || reply->status == statusAccepted;
    return isAccepted ? OrderAnswer::Accepted : OrderAnswer::Refused;
}

} // namespace

RankClient::RankClient(HttpCaller &caller, RankDialect dialect)
    : m_caller(caller)
    , m_dialect(std::move(dialect))
{
}

void RankClient::setAddress(std::string address)
{
    m_address = std::move(address);
}

void RankClient::setInitialMap(std::size_t layers, std::size_t experts, std::size_t ranks)
{
    m_maps.setInitialMap(layers, experts, ranks);
}

template<typename T>
void RankClient::get(const std::string &target,
                     const std::function<Result<T>(std::string_view)> &read,
                     std::function<void(Result<T>)> handler)
{
    if (m_address.empty()) {
        handler(Result<T>::fail("no backend server is known on this machine"));
        return;
    }
    m_caller.get(
        std::chrono::steady_clock::now(),
        m_address,
        target,
        callTimeout,
        [read, handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &reason) {
            handler(decodeReply(reply, reason, read));
        });
}

void RankClient::readState(StateHandler handler)
{
    get<RankState>(m_dialect.stateTarget, m_dialect.readState, std::move(handler));
}

void RankClient::readReport(const RankQuery &query, ReportHandler handler)
{
    readState([this, query, handler = std::move(handler)](Result<RankState> state) {
        if (!state) {
            handler(Result<GroupReport>::fail(state.reason));
            return;
        }
        GroupReport report;
        report.ranks.push_back({std::move(*state.value), {}});
        if (query.withChoices) {
            readChoices(std::move(report), query, handler);
        } else {
            readHeld(std::move(report), query, handler);
        }
    });
}

void RankClient::readChoices(GroupReport report, const RankQuery &query, ReportHandler handler)
{
    get<RankCounts>(
        m_dialect.countsTarget,
        m_dialect.readCounts,
        [this, query, report = std::move(report), handler = std::move(handler)](Result<RankCounts> counts) mutable {
            if (!counts) {
                handler(Result<GroupReport>::fail(counts.reason));
                return;
            }
            report.choices = m_choiceCounter.choicesSinceLast(*counts.value);
            readHeld(std::move(report), query, handler);
        });
}

void RankClient::readHeld(GroupReport report, const RankQuery &query, ReportHandler handler)
{
    if (!query.withHeld) {
        handler(Result<GroupReport>::ok(std::move(report)));
        return;
    }
    get<HeldExperts>(m_dialect.heldTarget,
                     m_dialect.readHeld,
                     [report = std::move(report), handler = std::move(handler)](Result<HeldExperts> held) mutable {
                         if (!held) {
                             handler(Result<GroupReport>::fail(held.reason));
                             return;
                         }
                         report.ranks.front().held = std::move(*held.value);
                         handler(Result<GroupReport>::ok(std::move(report)));
                     });
}

void RankClient::execute(RankOrder order, AnswerHandler handler)
{
    if (m_address.empty()) {
        handler(std::nullopt);
        return;
    }
    if (order.kind == RankOrderKind::Prepare) {
        auto map = m_maps.resolveMap(order);
        if (!map) {
            handler(OrderAnswer::BaseUnknown);
            return;
        }
        order.map = std::move(*map);
    }
    m_caller.post(
        std::chrono::steady_clock::now(),
        m_address,
        m_dialect.orderTarget,
        "application/json",
        m_dialect.orderBody(order),
        callTimeout,
        [handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &) {
            handler(orderAnswer(reply));
        },
        HttpCaller::Connection::New);
}

} // namespace turmericline
