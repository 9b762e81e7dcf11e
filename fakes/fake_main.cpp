#include "fake_config.h"
#include "fake_engine.h"
#include "fake_instances.h"
#include "fake_service.h"

#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

using namespace turmericline::fakes;

namespace {

namespace po = boost::program_options;

po::options_description describeOptions()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("help", "print the options");
    add("kind", po::value<std::string>()->required(), "engine, service, config or instances");
    add("port", po::value<std::uint16_t>()->default_value(0), "port on 127.0.0.1; 0 for a free one");
    add("file", po::value<std::string>(), "config: initial document; instances: initial list");
    add("lag-ms", po::value<int>()->default_value(0), "engine: lag of load reports; instances: lag of the list");
    add("delay-ms", po::value<int>()->default_value(0), "service: delay from execution to response");
    add("model", po::value<std::string>()->default_value("assistant"), "engine: model name");
    add("slots", po::value<std::size_t>()->default_value(8), "engine: maximum number of running requests");
    add("queue-limit", po::value<std::size_t>()->default_value(1024), "engine: maximum number of queued requests");
    add("cache-blocks", po::value<std::size_t>()->default_value(4096), "engine: size of the prefix cache in blocks");
    add("step-us", po::value<int>()->default_value(4500), "engine: base time of a step");
    add("step-request-us", po::value<int>()->default_value(50), "engine: step time per running request");
    add("step-prefill-us", po::value<int>()->default_value(10), "engine: step time per uncached prompt token");
    add("ranks", po::value<std::size_t>()->default_value(1), "engine: number of ranks, which advance in lock-step");
    add("cache-event-lag-ms", po::value<int>()->default_value(0), "engine: lag of cache events");
    add("cache-event-gap", po::value<std::uint64_t>()->default_value(0), "engine: drop every N-th cache event");
    add("check-fencing", po::value<bool>()->default_value(true), "engine: reject orders with a stale fencing token");
    return options;
}

std::chrono::milliseconds millis(const po::variables_map &vm, const char *name)
{
    return std::chrono::milliseconds(vm[name].as<int>());
}

std::chrono::microseconds micros(const po::variables_map &vm, const char *name)
{
    return std::chrono::microseconds(vm[name].as<int>());
}

FakeEngineConfig engineConfig(const po::variables_map &vm)
{
    FakeEngineConfig config;
    config.port = vm["port"].as<std::uint16_t>();
    config.model = vm["model"].as<std::string>();
    config.batch.slots = vm["slots"].as<std::size_t>();
    config.batch.queueLimit = vm["queue-limit"].as<std::size_t>();
    config.batch.cacheBlocks = vm["cache-blocks"].as<std::size_t>();
    config.batch.stepBase = micros(vm, "step-us");
    config.batch.stepPerRequest = micros(vm, "step-request-us");
    config.batch.stepPerPrefillToken = micros(vm, "step-prefill-us");
    config.batch.ranks = vm["ranks"].as<std::size_t>();
    config.loadLag = millis(vm, "lag-ms");
    config.cacheEventLag = millis(vm, "cache-event-lag-ms");
    config.cacheEventGap = vm["cache-event-gap"].as<std::uint64_t>();
    config.checksFencing = vm["check-fencing"].as<bool>();
    return config;
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

int serve(asio::io_context &io, std::uint16_t port)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const asio::error_code &, int) {
        io.stop();
    });
    std::cout << Json{{"port", port}}.dump() << std::endl;
    io.run();
    return 0;
}

int runEngine(asio::io_context &io, const po::variables_map &vm)
{
    const FakeEngine engine(io, engineConfig(vm));
    return serve(io, engine.port());
}

int runService(asio::io_context &io, const po::variables_map &vm)
{
    const FakeService service(io, {vm["port"].as<std::uint16_t>(), millis(vm, "delay-ms"), {}});
    return serve(io, service.port());
}

int runConfig(asio::io_context &io, const po::variables_map &vm)
{
    FakeConfig config(io, vm["port"].as<std::uint16_t>());
    if (vm.contains("file")) {
        auto text = readFile(vm["file"].as<std::string>());
        const auto version = Json::parse(text).at("version").get<std::uint64_t>();
        config.publish(version, std::move(text));
    }
    return serve(io, config.port());
}

int runInstances(asio::io_context &io, const po::variables_map &vm)
{
    FakeInstancesConfig config;
    config.port = vm["port"].as<std::uint16_t>();
    config.lag = millis(vm, "lag-ms");
    if (vm.contains("file")) {
        config.initial = Json::parse(readFile(vm["file"].as<std::string>()));
    }
    const FakeInstances instances(io, config);
    return serve(io, instances.port());
}

int run(const po::variables_map &vm)
{
    asio::io_context io;
    const auto kind = vm["kind"].as<std::string>();
    if (kind == "engine") {
        return runEngine(io, vm);
    }
    if (kind == "service") {
        return runService(io, vm);
    }
    if (kind == "config") {
        return runConfig(io, vm);
    }
    if (kind == "instances") {
        return runInstances(io, vm);
    }
    throw std::runtime_error("unknown kind " + kind);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto options = describeOptions();
        po::positional_options_description positional;
        positional.add("kind", 1);
        po::variables_map vm;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), vm);
        if (vm.contains("help")) {
            std::cout << "turmericline-fake engine|service|config|instances\n" << options;
            return 0;
        }
        po::notify(vm);
        return run(vm);
    } catch (const std::exception &e) {
        std::cerr << "turmericline-fake: " << e.what() << '\n';
        return 2;
    }
}
