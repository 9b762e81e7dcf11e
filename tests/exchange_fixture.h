#pragma once

#include "exchange.h"

#include <algorithm>

/** Fixture for tests of Exchange: one service with three backend servers, and a request to it. */
struct ExchangeFixture
{
    turmericline::TimePoint now{std::chrono::seconds(1'000)};
    std::mt19937_64 random{7};
    turmericline::BackendTable backends{"d1"};
    std::map<std::string, turmericline::RetryWindow, std::less<>> retries;
    turmericline::RetryWindowConfig retryConfig{std::chrono::seconds(10), 0.2, 10};
    turmericline::SuspectTable suspects{turmericline::SuspectSettings{}};
    turmericline::PartSuspects parts{turmericline::PartSuspectSettings{}};
    turmericline::CrashDetector crashes;
    turmericline::ServerLimits limits{3};
    turmericline::ColdStartLimits coldStart{5};
    turmericline::Admission admission{11};
    turmericline::RoutingRule rule;
    std::vector<turmericline::Fingerprint> promptParts; ///< Of the requests that make() returns.

    ExchangeFixture()
    {
        for (const char *id : {"a", "b", "c"}) {
            turmericline::BackendRecord record;
            record.id = id;
            record.service = "s";
            record.address = "127.0.0.1:1";
            record.domain = "d1";
            backends.upsert(record);
        }
        rule.kind = turmericline::RouteKind::Unsafe;
        rule.timeout = std::chrono::seconds(8);
        rule.latencyTarget = std::chrono::milliseconds(500);
        rule.maxAttempts = 2;
        rule.targets = {{"s", 1}};
    }

    turmericline::Exchange make()
    {
        turmericline::ExchangeRequest request;
        request.caller.requestId = "r1";
        request.caller.deadline = std::chrono::milliseconds(5'000);
        request.rule = &rule;
        request.parts = promptParts;
        request.service = "s";
        request.arrived = now;
        return {std::move(request),
                {backends, retries, retryConfig, suspects, parts, crashes, limits, coldStart, admission, random}};
    }

    /** Records that servers x1 to x@p n, none of those in the table, have crashed under the request. */
    void recordCrashes(std::size_t n)
    {
        for (std::size_t i = 1; i <= n; ++i) {
            const auto server = "x" + std::to_string(i);
            suspects.recordCrash({turmericline::Fingerprint{}}, server, 1, server, turmericline::suspectTime(now));
        }
    }

    static turmericline::HttpHead head(int status)
    {
        turmericline::HttpHead it;
        it.status = status;
        return it;
    }

    static turmericline::ResponseFields signedFields()
    {
        turmericline::ResponseFields fields;
        fields.isSigned = true;
        return fields;
    }

    static turmericline::ResponseFields refusal()
    {
        turmericline::ResponseFields fields;
        fields.isNotRun = true;
        return fields;
    }

    template<typename Action>
    static const Action *find(const turmericline::ExchangeActions &actions)
    {
        for (const auto &it : actions) {
            if (const auto *found = std::get_if<Action>(&it)) {
                return found;
            }
        }
        return nullptr;
    }
};
