#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/** Runs all registered CppUnit suites; exits with 1 if a test fails or none is registered. */
int main()
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " cases passed, " << failed << " cases failed\n";
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
