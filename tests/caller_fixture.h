#pragma once

#include "child_process.h"
#include "document.h"
#include "fake_config.h"
#include "fake_engine.h"
#include "fake_service.h"
#include "raw_caller.h"
#include "scripted_server.h"

#include <set>
#include <unistd.h>
#include <vector>

/** Runs one real entry, and one agent each for a fake engine and a fake plain service. */
class CallerFixture
{
public:
    enum class Backend {
        Fake,
        Scripted, ///< Both agents have the scripted server as their backend server.
    };

    static constexpr const char *peerKey = "k:00112233445566778899aabbccddeeff";

    asio::io_context io;
    turmericline::fakes::FakeConfig config{io};
    turmericline::fakes::FakeEngine engine{io, engineConfig()};
    turmericline::fakes::FakeService service{io, {}};
    ServerScript script{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ServerEnd::Close, {}, true};
    std::vector<ServerScript> caseScripts; ///< For requests whose path ends in "/case/N".
    std::set<std::size_t> reachedCases;
    ScriptedServer scripted{io, [this](const std::string &head) {
                                return chooseScript(head);
                            }};
    ChildProcess modelAgent;
    ChildProcess serviceAgent;
    ChildProcess entry;

    /** Starts the processes and waits until they serve requests; @p flags are passed to the entry. */
    explicit CallerFixture(std::vector<std::string> flags, bool isTls = false, Backend backend = Backend::Fake)
        : modelAgent(io, "turmericline-agent", agentArguments(serverName("m"), urlOf(backend, engine)))
        , serviceAgent(io, "turmericline-agent", agentArguments(serverName("s"), urlOf(backend, service)))
        , entry(io, "turmericline-entry", entryArguments(std::move(flags)))
    {
        const auto text = document().dump();
        for (const auto &it : turmericline::parseDocument(text).errors) {
            throw std::runtime_error(it.path + ": " + it.message);
        }
        config.publish(1, text);
        while (ask(entry.port("ops_port"), "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").status != 200) {
        }
        if (isTls) {
            return;
        }
        // Each agent fetches the document by itself and refuses calls until it has one.
        for (const auto &it : {completion(false, 1), request("POST /services/confirm/ready")}) {
            while (ask(it).status != 200) {
            }
        }
    }

    RawAnswer ask(const std::string &port, const std::string &bytes)
    {
        RawCaller caller(io, port);
        caller.send(bytes);
        return caller.answer();
    }

    /** Sends the bytes to the entry on a connection of their own. */
    RawAnswer ask(const std::string &bytes)
    {
        return ask(entry.port(), bytes);
    }

    static std::string request(const std::string &line, const std::string &headers = {}, const std::string &body = {})
    {
        return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer lab-key\r\n" + headers
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string models()
    {
        return request("GET /v1/models");
    }

    static std::string completion(bool isStream, std::uint32_t tokens, const std::string &headers = {})
    {
        const nlohmann::json body{
            {"model", "assistant"}, {"prompt", "sweep"}, {"stream", isStream}, {"max_tokens", tokens}};
        return request("POST /v1/completions", headers, body.dump());
    }

private:
    /** Unique per test process: a host runs one agent per server name, and other tests run at the same time. */
    static std::string serverName(const char *prefix)
    {
        return prefix + std::to_string(::getpid());
    }

    static turmericline::fakes::FakeEngineConfig engineConfig()
    {
        turmericline::fakes::FakeEngineConfig config;
        config.batch.stepBase = std::chrono::microseconds(20);
        config.batch.stepPerRequest = std::chrono::microseconds(0);
        return config;
    }

    ServerScript chooseScript(const std::string &head)
    {
        constexpr std::string_view marker = "/case/";
        const auto at = head.find(marker);
        if (at == std::string::npos) {
            return script;
        }
        const auto n = std::stoul(head.substr(at + marker.size()));
        reachedCases.insert(n);
        return caseScripts.at(n);
    }

    template<typename Fake>
    std::string urlOf(Backend backend, const Fake &fake) const
    {
        return backend == Backend::Fake ? fake.url() : "http://127.0.0.1:" + std::to_string(scripted.port());
    }

    std::vector<std::string> agentArguments(const std::string &server, const std::string &backend) const
    {
        // The default of --backend-silence-ms would end the stalled requests of some tests.
        return {"--server",
                server,
                "--domain",
                "d1",
                "--peer-key",
                peerKey,
                "--backend-url",
                backend,
                "--config-url",
                config.url(),
                "--backend-silence-ms",
                "600000"};
    }

    std::vector<std::string> entryArguments(std::vector<std::string> flags) const
    {
        for (const auto &it :
             {"--name", "e1", "--domain", "d1", "--peer-key", peerKey, "--log-level", "error", "--config-url"}) {
            flags.emplace_back(it);
        }
        flags.push_back(config.url());
        return flags;
    }

    nlohmann::json server(const std::string &name, const char *ofService, ChildProcess &agent) const
    {
        return {{"name", name},
                {"service", ofService},
                {"domain", "d1"},
                {"agent", "127.0.0.1:" + agent.port()},
                {"state", "active"},
                {"slots", 16}};
    }

    nlohmann::json document()
    {
        using nlohmann::json;
        const auto plan = [](const char *name, const json &services) {
            return json{{"name", name}, {"requests_per_s", 10'000}, {"tokens_per_s", 1e9}, {"services", services}};
        };
        return {{"version", 1},
                {"services",
                 {{{"name", "assistant"}, {"kind", "model"}, {"model", "assistant"}, {"idempotent", true}},
                  {{"name", "confirm"}, {"kind", "plain"}, {"key_owners", {serverName("s")}}}}},
                {"backend_servers",
                 {server(serverName("m"), "assistant", modelAgent), server(serverName("s"), "confirm", serviceAgent)}},
                {"plans", {plan("all", json{"assistant", "confirm"}), plan("none", json::array())}},
                {"workspaces",
                 {{{"name", "lab"}, {"keys", {turmericline::keyDigest("lab-key")}}, {"plan", "all"}},
                  {{"name", "other"}, {"keys", {turmericline::keyDigest("other-key")}}, {"plan", "none"}}}}};
    }
};
