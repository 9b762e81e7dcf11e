#pragma once

#include "leaving_caller_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

/** Fixture for tests with LeavingCallerSimulation. LEAVING_SEED is the first seed, LEAVING_SEEDS their number. */
class LeavingCallerFixture : public CppUnit::TestFixture
{
protected:
    struct Totals
    {
        std::size_t crashes = 0;
        std::size_t mostLate = 0;
        std::size_t soundRequests = 0;
        std::size_t soundRefusals = 0;
    };

    static std::uint64_t number(const char *name, std::uint64_t defaultValue)
    {
        const char *text = std::getenv(name);
        return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
    }

    static Totals play(turmericline::LeavingCallerScenario scenario, std::uint64_t seeds)
    {
        Totals totals;
        const auto first = number("LEAVING_SEED", 1);
        for (auto seed = first; seed < first + seeds; ++seed) {
            turmericline::LeavingCallerSimulation simulation(seed, scenario);
            simulation.advance(std::chrono::seconds(60));
            totals.crashes += simulation.crashes;
            totals.mostLate = std::max(totals.mostLate, simulation.lateArrivals);
            totals.soundRequests += simulation.soundRequests;
            totals.soundRefusals += simulation.soundRefusals;
        }
        std::cout << "\n"
                  << scenario.gateways << " gateways, " << seeds << " seeds: " << totals.crashes << " crashes, at most "
                  << totals.mostLate << " late arrivals a seed, " << totals.soundRefusals << " of "
                  << totals.soundRequests << " sound requests refused\n";
        return totals;
    }

    static std::uint64_t seedCount()
    {
        return number("LEAVING_SEEDS", 6);
    }

    /** A fleet of 149 gateways takes as long as six small ones. */
    static std::uint64_t largeSeedCount()
    {
        return std::max<std::uint64_t>(1, seedCount() / 6);
    }

    /** Servers end for other reasons only. */
    static turmericline::LeavingCallerScenario otherEnds()
    {
        return {.hasCrashingRequest = false, .killPeriod = std::chrono::seconds(4)};
    }

    /** First attempts of sound requests are served at least 0.95 times as often as usual. */
    static bool areServed(const Totals &totals)
    {
        return totals.soundRefusals * 20 <= totals.soundRequests;
    }
};
