// Simulates entries and servers of which one freezes, is slow or is listed wrongly; measures the time and errors of
// its detection.
#include "bench_health_model.h"

using namespace turmericline;
using namespace turmericline::bench;
using namespace turmericline::bench::health;

namespace {

HealthConfig listOnly()
{
    HealthConfig out;
    out.failuresToSuspect = UINT32_MAX;
    out.reportersToSuspect = UINT32_MAX;
    out.absentTime = std::chrono::milliseconds(0);
    out.evidenceLifetime = std::chrono::milliseconds(0);
    return out;
}

Variant tuned(const std::string &name, const std::function<void(HealthConfig &)> &change)
{
    Variant out{name, {}, true};
    change(out.config);
    return out;
}

void add(Report &out, const std::string &prefix, const Case &c, const Variant &variant, Fault fault, unsigned seed)
{
    Model model(c, variant, fault, seed);
    model.run();
    model.addTo(out, std::to_string(c.entries) + "/" + std::to_string(c.pool) + " " + prefix + ", " + variant.name);
}

void compare(Report &out, const Case &c, unsigned seed)
{
    const Variant list{"list", listOnly(), false};
    const Variant own{"own", {}, false};
    const Variant reports{"reports", {}, true};
    for (const auto &it : {own, reports}) {
        add(out, "frozen", c, it, Fault::Frozen, seed);
    }
    for (const auto &it : {list, own, reports}) {
        add(out, "list late", c, it, Fault::FrozenListLate, seed);
    }
    for (const auto &it : {list, own, reports}) {
        add(out, "dropped", c, it, Fault::Dropped, seed);
    }
    for (const auto &it : {own, reports}) {
        add(out, "3x slow", c, it, Fault::Slow, seed);
    }
}

void tune(Report &out, const Case &c, unsigned seed)
{
    using namespace std::chrono_literals;
    for (const auto &it : {tuned("default", [](HealthConfig &) {}),
                           tuned("2 failures",
                                 [](HealthConfig &config) {
                                     config.failuresToSuspect = 2;
                                 }),
                           tuned("5 failures",
                                 [](HealthConfig &config) {
                                     config.failuresToSuspect = 5;
                                 }),
                           tuned("1 reporter",
                                 [](HealthConfig &config) {
                                     config.reportersToSuspect = 1;
                                 }),
                           tuned("3 reporters",
                                 [](HealthConfig &config) {
                                     config.reportersToSuspect = 3;
                                 }),
                           tuned("reports 10 s",
                                 [](HealthConfig &config) {
                                     config.reportLifetime = 10s;
                                 }),
                           tuned("evidence 5 s",
                                 [](HealthConfig &config) {
                                     config.evidenceLifetime = 5s;
                                 }),
                           tuned("probes 0.5 s",
                                 [](HealthConfig &config) {
                                     config.probePeriod = 500ms;
                                 }),
                           tuned("probes 2 s",
                                 [](HealthConfig &config) {
                                     config.probePeriod = 2s;
                                 }),
                           tuned("1 success", [](HealthConfig &config) {
                               config.successesToTrust = 1;
                           })}) {
        add(out, "frozen", c, it, Fault::Frozen, seed);
        add(out, "3x slow", c, it, Fault::Slow, seed);
    }
}

} // namespace

/** Usage: bench_health [SEED [tune]]. With "tune", compares settings instead of variants. */
int main(int argc, char **argv)
{
    const unsigned seed = seedArgument(argc, argv);
    Report out("health",
               {"stop_p50_s",
                "stop_all_s",
                "not_stopped",
                "return_p50_s",
                "return_all_s",
                "not_returned",
                "lost_an_entry",
                "probes",
                "false",
                "false_pair_h",
                "unused_percent",
                "bytes_s_node"});
    const Case today{9, 12, 12, 5, 3};
    const Case middle{100, 64, 64, 13, 13};
    const Case large{300, 64, 64, 13, 13};
    // Subsets as at the target size: 3.74 servers per node, of which each entry uses 64.
    const Case middleSubsets{100, 64, 374, 13, 13};
    const Case largeSubsets{300, 64, 1121, 13, 13};
    if (argc > 2) {
        tune(out, today, seed);
        tune(out, middle, seed);
        tune(out, middleSubsets, seed);
        return 0;
    }
    for (const auto &it : {today, middle, large, middleSubsets, largeSubsets}) {
        compare(out, it, seed);
    }
}
