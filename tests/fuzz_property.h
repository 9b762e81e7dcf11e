#pragma once

#include "env_number.h"

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <rapidcheck/detail/TestParams.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

/** Parameters of a property test; FUZZ_SEED and FUZZ_STEPS (commands per case) override the defaults. */
inline rc::detail::TestParams fuzzParams(int steps, int cases)
{
    rc::detail::TestParams params;
    params.seed = envNumber("FUZZ_SEED", 20260115);
    params.maxSize = static_cast<int>(envNumber("FUZZ_STEPS", static_cast<std::uint64_t>(steps)));
    params.maxSuccess = cases;
    return params;
}

/** Checks the property; returns a counterexample with its seed, or an empty text if none was found. */
template<typename Testable>
std::string counterexample(const std::string &name, const rc::detail::TestParams &params, Testable &&property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    // The default listener suggests rapidcheck's own environment variables, which have no effect on these parameters.
    rc::detail::TestListenerAdapter silent;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(property), metadata, params, silent);
    if (result.template is<rc::detail::SuccessResult>()) {
        return {};
    }
    std::ostringstream out;
    out << name << ", FUZZ_SEED=" << params.seed << " FUZZ_STEPS=" << params.maxSize << '\n';
    rc::detail::printResultMessage(result, out);
    return out.str();
}

/** Fails the CppUnit test if a counterexample to the property is found. */
template<typename Testable>
void expectProperty(const std::string &name, const rc::detail::TestParams &params, Testable &&property)
{
    const auto text = counterexample(name, params, std::forward<Testable>(property));
    CPPUNIT_ASSERT_MESSAGE(text, text.empty());
}
