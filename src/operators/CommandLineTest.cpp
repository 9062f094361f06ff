#include "operators/CommandLine.h"

#include "configuration/ConfigurationJson.h"
#include "standins/FakePlatform.h"
#include "standins/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>

namespace cuminrelay::operators {
namespace {

    namespace asio = boost::asio;

    constexpr std::string_view c_declarations = R"({
        // two services of one deployment
        "zones": ["furano-c", "nayoro-b"],
        "hosts": [
            {"name": "c-1", "zone": "furano-c", "tunnel": "10.0.0.1:5555", "report": "10.0.0.1:80", "slots": 2,
             "connection_limit": 2000, "labels": {"app": "chosa-bako"}},
            {"name": "k-1", "zone": "furano-c", "tunnel": "10.0.0.2:5555", "report": "10.0.0.2:80", "slots": 2,
             "connection_limit": 2000, "labels": {"app": "kanteisha"}},
            {"name": "k-2", "zone": "nayoro-b", "tunnel": "10.0.0.3:5555", "report": "10.0.0.3:80", "slots": 2,
             "connection_limit": 2000, "labels": {"app": "kanteisha"}}],
        "services": [
            {"name": "chosa-bako", "address": "10.9.0.2:443", "selector": "app=chosa-bako"},
            {"name": "kanteisha", "address": "10.9.0.1:443", "selector": "app=kanteisha"}]
    })";

    /// Runs cuminrelayctl in this process, against a stand-in platform on a separate thread.
    class CommandLineTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_platform = std::make_shared<standins::FakePlatform>(standins::PlatformOptions { .m_token = "secret" });
            const Endpoint endpoint = standins::serveHttp(m_context, { 0x7f000001, 0 }, m_platform).value();
            m_thread = std::thread { [this] { m_context.run(); } };
            writeFile("token", "secret\n");
            m_config = writeFile("ctl.json",
                fmt::format(R"({{"platform": {{"endpoint": "{}", "token_file": "{}"}}, "author": "aiko"}})",
                    formatEndpoint(endpoint), path("token")));
            m_file = writeFile("declarations.json", c_declarations);
        }

        void TearDown() override
        {
            m_context.stop();
            m_thread.join();
        }

        static std::string path(std::string_view name)
        {
            const testing::TestInfo* const test = testing::UnitTest::GetInstance()->current_test_info();
            return fmt::format("{}cuminrelayctl-{}-{}", testing::TempDir(), test->name(), name);
        }

        static std::string writeFile(std::string_view name, std::string_view text)
        {
            std::ofstream { path(name) } << text;
            return path(name);
        }

        int run(std::vector<std::string> arguments)
        {
            arguments.insert(arguments.end(), { "--config", m_config });
            m_result = runCommandLine(arguments);
            return m_result.m_status;
        }

        int apply() { return run({ "apply", "-f", m_file }); }

        boost::json::object json() const { return boost::json::parse(m_result.m_output).as_object(); }

        bool prints(std::string_view part) const
        {
            return (m_result.m_output + m_result.m_errors).find(part) != std::string::npos;
        }

        std::string allOutput() const { return m_result.m_output + m_result.m_errors; }

        /// Runs an admin call or a write on the platform's thread.
        void call(boost::beast::http::verb method, const std::string& target, std::string body,
            const std::string& version = {})
        {
            standins::HttpRequest request { method, target, 11 };
            request.set(boost::beast::http::field::authorization, "Bearer secret");
            if (!version.empty())
                request.set("If-Version", version);
            request.body() = std::move(body);
            asio::co_spawn(
                m_context, [&]() -> asio::awaitable<void> { co_await m_platform->handle(request); }, asio::use_future)
                .get();
        }

        void setSwitches(std::string body)
        {
            call(boost::beast::http::verb::post, "/standin/switches", std::move(body));
        }

        void addVm(const std::string& name, const std::string& zone, int number)
        {
            call(boost::beast::http::verb::put, "/standin/vms/" + name,
                fmt::format(R"({{"zone":"{}","state":"active","peers":"10.1.0.{}:1","replica":"10.1.0.{}:2",
                    "control":"10.1.0.{}:3","packets":"10.1.0.{}:4"}})",
                    zone, number, number, number, number));
        }

        void writeStatus(const std::string& zone, const std::string& member, int version, std::uint64_t objectVersion)
        {
            call(boost::beast::http::verb::put, "/v1/objects/status/" + zone,
                fmt::format(R"({{"reader":"{0}","members":[{{"name":"{0}","state":"active","config_version":{1},
                    "flows":7,"exceptions":1,"incarnation":3}}],"backend_servers":[{{"tunnel":"10.0.0.2:5555",
                    "health":"unhealthy","connections":12,"busy_slots":2,"queued":1}}],"cut_off_zones":["x"],
                    "unix_ms":1}})",
                    member, version),
                std::to_string(objectVersion));
        }

        asio::io_context m_context;
        std::shared_ptr<standins::FakePlatform> m_platform;
        std::thread m_thread;
        std::string m_config;
        std::string m_file;
        CommandLineResult m_result;
    };

    TEST_F(CommandLineTest, applyIsIdempotentAndKeepsOtherEdits)
    {
        EXPECT_EQ(run({ "diff", "-f", m_file }), 1) << allOutput();
        EXPECT_EQ(apply(), 0) << allOutput();
        EXPECT_TRUE(prints("accepted as version 1")) << allOutput();
        EXPECT_EQ(apply(), 0);
        EXPECT_TRUE(prints("nothing to change")) << allOutput();
        EXPECT_EQ(run({ "diff", "-f", m_file }), 0) << allOutput();
        ASSERT_EQ(run({ "drain", "k-1" }), 0) << allOutput();
        ASSERT_EQ(run({ "label", "host", "k-1", "tier=gold" }), 0) << allOutput();
        EXPECT_EQ(apply(), 0);
        EXPECT_TRUE(prints("nothing to change; version 3"))
            << "labels and draining from other edits stay: " << allOutput();
    }

    TEST_F(CommandLineTest, editsAppearInGetAndHistory)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        ASSERT_EQ(run({ "label", "host", "k-1", "tier=gold", "app-", "--force" }), 0) << allOutput();
        ASSERT_EQ(run({ "select", "kanteisha", "app=kanteisha,tier notin (gold)" }), 0) << allOutput();
        ASSERT_EQ(run({ "label", "service", "kanteisha", "season=first" }), 0) << allOutput();
        ASSERT_EQ(run({ "get", "host", "k-1" }), 0) << allOutput();
        EXPECT_TRUE(prints("tier=gold")) << allOutput();
        EXPECT_FALSE(prints("app=")) << allOutput();
        ASSERT_EQ(run({ "get", "services", "-l", "season=first", "--output", "json" }), 0) << allOutput();
        EXPECT_EQ(json()["services"].as_array().size(), 1U);
        ASSERT_EQ(run({ "history", "--output", "json" }), 0);
        EXPECT_EQ(json()["edits"].as_array().size(), 4U);
        EXPECT_EQ(json()["edits"].as_array()[0].as_object()["author"], "aiko");
        ASSERT_EQ(run({ "get", "zones" }), 0) << allOutput();
        ASSERT_EQ(run({ "get", "hosts" }), 0) << allOutput();
    }

    TEST_F(CommandLineTest, editWithALostAnswerIsAppliedOnce)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        setSwitches(R"({"lose_answers":1})");
        EXPECT_EQ(run({ "drain", "k-1", "--output", "json" }), 0) << allOutput();
        EXPECT_EQ(json()["version"], 2) << allOutput();
        EXPECT_TRUE(json()["changed"].as_bool());
        ASSERT_EQ(run({ "history", "--output", "json" }), 0);
        EXPECT_EQ(json()["edits"].as_array().size(), 2U) << "applied once";
    }

    TEST_F(CommandLineTest, changeAfterTheBaseIsAConflict)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        ASSERT_EQ(run({ "label", "host", "k-1", "tier=gold" }), 0) << allOutput();
        EXPECT_EQ(run({ "label", "host", "k-1", "tier=silver", "--base", "1" }), 3) << allOutput();
        EXPECT_TRUE(prints("changed by aiko at version 2")) << allOutput();
        EXPECT_TRUE(prints("cuminrelayctl get host k-1")) << allOutput();
        EXPECT_EQ(run({ "label", "host", "k-2", "tier=silver", "--base", "1" }), 0) << allOutput();
    }

    TEST_F(CommandLineTest, concurrentDisjointEditsOfTwoOperatorsAreAllKept)
    {
        constexpr int edits = 10;
        ASSERT_EQ(apply(), 0) << allOutput();
        const auto labelRepeatedly = [this](const std::string& host) {
            for (int i = 0; i < edits; ++i) {
                const std::vector<std::string> arguments { "label", "host", host, fmt::format("key-{}=x", i),
                    "--timeout", "60", "--config", m_config };
                const CommandLineResult result = runCommandLine(arguments);
                EXPECT_EQ(result.m_status, 0) << result.m_errors;
            }
        };
        std::thread other { labelRepeatedly, "k-1" };
        labelRepeatedly("k-2");
        other.join();
        for (const char* const host : { "k-1", "k-2" }) {
            ASSERT_EQ(run({ "get", "host", host, "--output", "json" }), 0) << allOutput();
            const boost::json::object labels = json()["hosts"].as_array()[0].as_object()["labels"].as_object();
            EXPECT_EQ(labels.size(), edits + 1U) << allOutput();
        }
        EXPECT_TRUE(prints(fmt::format("\"version\": {}", 1 + 2 * edits))) << allOutput();
    }

    TEST_F(CommandLineTest, harmfulEditsAreRefusedUnlessForced)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        EXPECT_EQ(run({ "select", "kanteisha", "app=kantiesha" }), 2) << allOutput();
        EXPECT_TRUE(prints("would match no host")) << allOutput();
        EXPECT_EQ(run({ "drain", "c-1" }), 2) << allOutput();
        EXPECT_EQ(run({ "drain", "c-1", "--force" }), 0) << allOutput();
        EXPECT_EQ(run({ "undrain", "c-1" }), 0) << allOutput();
    }

    TEST_F(CommandLineTest, badInputGivesOneErrorAndChangesNothing)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        const std::vector<std::vector<std::string>> commandLines { { "label", "host", "k-1" },
            { "label", "host", "k-1", "tier" }, { "label", "zone", "k-1", "a=b" }, { "label", "host", "k-9", "a=b" },
            { "label", "host", "k-1", "a=b c" }, { "select", "kanteisha" }, { "select", "kanteisha", "app in" },
            { "select", "kantiesha", "app=x" }, { "drain" }, { "drain", "k-9" }, { "apply" },
            { "apply", "-f", "/nonexistent" }, { "get" }, { "get", "host" }, { "get", "host", "k-9" },
            { "get", "hosts", "-l", "=" }, { "wait", "x" }, { "explain" }, { "explain", "k-9" },
            { "explain", "1.2.3.4:5 -> x" }, { "status", "--output", "xml" }, { "status", "--timeout", "0" },
            { "status", "--unknown" }, { "unknown" }, { "--check", "extra" } };
        for (const std::vector<std::string>& commandLine : commandLines) {
            EXPECT_EQ(run(commandLine), 2) << fmt::format("{}: {}", fmt::join(commandLine, " "), allOutput());
            EXPECT_EQ(m_result.m_output, "");
            EXPECT_NE(m_result.m_errors, "");
        }
        ASSERT_EQ(run({ "history", "--output", "json" }), 0);
        EXPECT_EQ(json()["version"], 1);
    }

    TEST_F(CommandLineTest, oversizedConfigurationIsRefused)
    {
        std::string hosts;
        for (int i = 0; i < 9000; ++i) {
            hosts += fmt::format(R"({}{{"name":"host-{:05}","zone":"furano-c","tunnel":"10.{}.{}.1:5555",
                "report":"10.0.0.1:80","slots":2,"connection_limit":2000,"labels":{{"app":"kanteisha"}}}})",
                i == 0 ? "" : ",", i, i / 250, i % 250);
        }
        const std::string file
            = writeFile("large.json", fmt::format(R"({{"zones":["furano-c"],"hosts":[{}]}})", hosts));
        EXPECT_EQ(run({ "apply", "-f", file }), 2) << allOutput();
        EXPECT_TRUE(prints("allowed: at most 1000000")) << allOutput();
    }

    TEST_F(CommandLineTest, outageIsStatusFour)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        setSwitches(R"({"outage":true})");
        EXPECT_EQ(run({ "get", "hosts", "--timeout", "1" }), 4) << allOutput();
        EXPECT_EQ(run({ "drain", "k-1", "--timeout", "1" }), 4) << allOutput();
        EXPECT_TRUE(prints("unavailable")) << allOutput();
    }

    TEST_F(CommandLineTest, wrongTokenIsRefused)
    {
        writeFile("token", "mistaken-value\n");
        EXPECT_EQ(run({ "get", "hosts" }), 2) << allOutput();
        EXPECT_TRUE(prints("unauthorized")) << allOutput();
        EXPECT_FALSE(prints("mistaken-value")) << "the message contains the token";
    }

    TEST_F(CommandLineTest, waitListsMissingVmsAndEndsWhenNoneIsLeft)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        EXPECT_EQ(run({ "wait", "--timeout", "1" }), 1) << "no entry VM at all";
        addVm("entry-1", "furano-c", 1);
        addVm("entry-2", "nayoro-b", 2);
        writeStatus("furano-c", "entry-1", 1, 0);
        writeStatus("nayoro-b", "entry-2", 0, 0);
        EXPECT_EQ(run({ "wait", "1", "--timeout", "1", "--output", "json" }), 1) << allOutput();
        ASSERT_EQ(json()["missing"].as_array().size(), 1U) << allOutput();
        EXPECT_EQ(json()["missing"].as_array()[0].as_object()["name"], "entry-2");
        std::thread writer { [this] { writeStatus("nayoro-b", "entry-2", 1, 1); } };
        EXPECT_EQ(run({ "wait", "--timeout", "30" }), 0) << allOutput();
        writer.join();
        EXPECT_TRUE(prints("in force on all 2 live entry VMs")) << allOutput();
    }

    TEST_F(CommandLineTest, versionAboveTheStoredOneIsNotInForce)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        addVm("entry-1", "furano-c", 1);
        writeStatus("furano-c", "entry-1", 9, 0); // as after the store was restored from a backup
        EXPECT_EQ(run({ "wait", "1", "--timeout", "1" }), 1) << allOutput();
        EXPECT_TRUE(prints("at version 9, but the store has only 1: it went back")) << allOutput();
    }

    TEST_F(CommandLineTest, editOfARestoredStoreIsRefusedUnlessForced)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        addVm("entry-1", "furano-c", 1);
        writeStatus("furano-c", "entry-1", 1, 0);
        EXPECT_EQ(run({ "label", "host", "k-1", "tier=gold" }), 0) << allOutput();
        writeStatus("furano-c", "entry-1", 9, 1);
        EXPECT_EQ(run({ "label", "host", "k-1", "tier=silver" }), 3) << allOutput();
        EXPECT_TRUE(prints("the store holds version 2, but entry-1 has 9 in force")) << allOutput();
        EXPECT_EQ(run({ "get", "host", "k-1", "--output", "json" }), 0) << allOutput();
        EXPECT_TRUE(prints("\"tier\":\"gold\"")) << allOutput();
        EXPECT_EQ(run({ "label", "host", "k-1", "tier=silver", "--force" }), 0) << allOutput();
    }

    TEST_F(CommandLineTest, laggingReadsAreNotReportedAsAConflict)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        ASSERT_EQ(run({ "label", "host", "k-1", "tier=gold" }), 0) << allOutput();
        setSwitches(R"({"stale_reads": true})");
        EXPECT_EQ(run({ "label", "host", "k-2", "tier=gold" }), 4) << allOutput();
        EXPECT_TRUE(prints("its reads lag")) << allOutput();
        setSwitches(R"({"stale_reads": false})");
        EXPECT_EQ(run({ "label", "host", "k-2", "tier=gold" }), 0) << allOutput();
    }

    TEST_F(CommandLineTest, statusAndExplainShowTheReportedState)
    {
        ASSERT_EQ(apply(), 0) << allOutput();
        addVm("entry-1", "furano-c", 1);
        addVm("entry-2", "nayoro-b", 2);
        writeStatus("furano-c", "entry-1", 1, 0);
        EXPECT_EQ(run({ "status" }), 0) << allOutput();
        for (const char* const part :
            { "version 1, not in force on 1 of 2", "entry-1", "never", "12/2000", "unhealthy" })
            EXPECT_TRUE(prints(part)) << part << allOutput();
        EXPECT_EQ(run({ "status", "--output", "json" }), 0);
        EXPECT_EQ(json()["members"].as_array()[0].as_object()["flows"], 7);

        EXPECT_EQ(run({ "explain", "k-1" }), 0) << allOutput();
        EXPECT_TRUE(prints("gets no new flows: it is unhealthy")) << allOutput();
        EXPECT_TRUE(prints("service chosa-bako: selector \"app=chosa-bako\" does not match: \"app=chosa-bako\" is not "
                           "met, the host has app=kanteisha\n"))
            << allOutput();
        EXPECT_EQ(run({ "explain", "k-2" }), 0) << allOutput();
        EXPECT_TRUE(prints("host k-2 gets new flows")) << allOutput();

        EXPECT_EQ(run({ "explain", "10.8.0.1:4000 -> 10.9.0.1:443", "--output", "json" }), 0) << allOutput();
        EXPECT_EQ(json()["service"], "kanteisha");
        EXPECT_NE(json()["owner"], json()["successor"]);
        EXPECT_TRUE(json()["default_host"] == "k-1" || json()["default_host"] == "k-2") << allOutput();
        EXPECT_EQ(run({ "explain", "10.8.0.1:4000->10.9.0.9:443" }), 1) << allOutput();
    }

    TEST_F(CommandLineTest, checkNeedsOnlyTheDeclarationsFile)
    {
        EXPECT_EQ(run({ "check", "-f", m_file }), 0) << allOutput();
        EXPECT_TRUE(prints("3 hosts, 2 services")) << allOutput();
        const std::string file = writeFile("unselected.json",
            R"({"services": [{"name": "agenda", "address": "10.9.0.1:443", "selector": "app=agenda"}]})");
        EXPECT_EQ(run({ "check", "-f", file }), 2) << allOutput();
        EXPECT_TRUE(prints("would match no host")) << allOutput();
        EXPECT_EQ(m_platform->calls().m_reads, 0U);
    }

    TEST_F(CommandLineTest, helpVersionAndCheckNeedNoPlatform)
    {
        for (const Command* const command : allCommands()) {
            EXPECT_EQ(run({ std::string { command->help().m_name }, "--help" }), 0) << allOutput();
            EXPECT_TRUE(prints("Example: cuminrelayctl")) << allOutput();
        }
        const std::vector<std::string> version { "--version" };
        EXPECT_EQ(runCommandLine(version).m_status, 0);
        EXPECT_EQ(run({ "--check" }), 0) << allOutput();
        EXPECT_TRUE(prints("\"author\": \"aiko\"")) << allOutput();
        m_config = writeFile("bad.json", R"({"platform": {"endpoint": "x"}, "authro": "aiko"})");
        EXPECT_EQ(run({ "--check" }), 2) << allOutput();
        EXPECT_TRUE(prints("did you mean \"author\"")) << allOutput();
    }

} // namespace
} // namespace cuminrelay::operators
