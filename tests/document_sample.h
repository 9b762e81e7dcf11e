#pragma once

#include "document.h"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

/** Size of a sample document. */
struct SampleSize
{
    int models = 2;
    int serversPerService = 3;
    int plans = 2;
    int workspaces = 10;
};

/** Generates a valid document that uses every field. */
inline nlohmann::json sampleDocument(std::uint64_t version, SampleSize size = {})
{
    using nlohmann::json;
    json document{{"version", version}, {"key_lifetime_s", 120}};
    document["placement"]
        = {{"skew_weight", 0.5}, {"move_budget", 64}, {"hold_from", "15:30"}, {"hold_until", "17:00"}};
    document["services"] = {{{"name", "confirm"},
                             {"kind", "plain"},
                             {"calls", {{{"method", "GET"}, {"path", "/status/*"}, {"idempotent", true}}}},
                             {"key_owners", {"confirm-0"}}}};
    json names{"confirm"};
    for (int i = 0; i < size.models; ++i) {
        names.push_back(fmt::format("model-{}", i));
        document["services"].push_back(
            {{"name", names.back()}, {"kind", "model"}, {"model", names.back()}, {"idempotent", true}});
    }
    document["backend_servers"] = json::array();
    int port = 1024;
    for (const auto &service : names) {
        for (int i = 0; i < size.serversPerService; ++i, ++port) {
            document["backend_servers"].push_back({{"name", fmt::format("{}-{}", service.get<std::string>(), i)},
                                                   {"service", service},
                                                   {"domain", fmt::format("d{}", i % 3)},
                                                   {"agent", fmt::format("10.{}.{}.1:7000", port / 256, port % 256)},
                                                   {"state", "active"},
                                                   {"checks_fencing", i % 2 == 0},
                                                   {"checks_caller", false},
                                                   {"slots", 8}});
        }
    }
    document["plans"] = json::array();
    for (int i = 0; i < size.plans; ++i) {
        document["plans"].push_back({{"name", fmt::format("p{}", i)},
                                     {"requests_per_s", 10 * i},
                                     {"tokens_per_s", 1000.5},
                                     {"weight", 1},
                                     {"class", "batch"},
                                     {"services", names}});
    }
    document["workspaces"] = json::array();
    for (int i = 0; i < size.workspaces; ++i) {
        const auto name = fmt::format("w{:05}", i);
        document["workspaces"].push_back(
            {{"name", name}, {"keys", {turmericline::keyDigest(name)}}, {"plan", fmt::format("p{}", i % size.plans)}});
    }
    return document;
}
