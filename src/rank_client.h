#pragma once

#include "http_caller.h"
#include "map_delta.h"
#include "rank_dialect.h"
#include "rank_report.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericline {

/** Calls of an expert agent to the backend server on its machine, which is a rank of a group. */
class RankClient
{
public:
    using ReportHandler = std::function<void(Result<GroupReport>)>;
    using StateHandler = std::function<void(Result<RankState>)>;
    /** @p answer: nothing if the rank may still execute the order. */
    using AnswerHandler = std::function<void(std::optional<OrderAnswer> answer)>;

    RankClient(HttpCaller &caller, RankDialect dialect);

    /** @p address: "IP:PORT" of the server. Until it is known, calls fail. */
    void setAddress(std::string address);
    /** See MapCache::setInitialMap(). */
    void setInitialMap(std::size_t layers, std::size_t experts, std::size_t ranks);

    void readState(StateHandler handler);
    /** Reads what @p query asks for, apart from its ranks. */
    void readReport(const RankQuery &query, ReportHandler handler);
    void execute(RankOrder order, AnswerHandler handler);

private:
    template<typename T>
    void get(const std::string &target,
             const std::function<Result<T>(std::string_view)> &read,
             std::function<void(Result<T>)> handler);
    void readChoices(GroupReport report, const RankQuery &query, ReportHandler handler);
    void readHeld(GroupReport report, const RankQuery &query, ReportHandler handler);

    HttpCaller &m_caller;
    RankDialect m_dialect;
    std::string m_address;
    ChoiceCounter m_choiceCounter;
    MapCache m_maps;
};

} // namespace turmericline
