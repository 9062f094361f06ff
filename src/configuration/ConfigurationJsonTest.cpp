#include "configuration/ConfigurationJson.h"

#include "configuration/Check.h"
#include "configuration/GeneratorsTest.h"
#include "configuration/Lookup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::string_view c_sample = R"({
        "zones": ["khomas-a", "khomas-b"],
        "backend_servers": [
            {"name": "agenda-2", "zone": "khomas-b", "tunnel": "10.0.0.2:5555", "report": "10.0.0.2:80", "slots": 2,
             "connection_limit": 2000, "draining": true, "labels": {"app": "agenda"}},
            {"name": "agenda-1", "zone": "khomas-a", "tunnel": "10.0.0.1:5555", "report": "10.0.0.1:80", "slots": 2,
             "connection_limit": 2000, "labels": {"app": "agenda"}}],
        "services": [{"name": "agenda", "address": "10.9.0.1:443", "selector": "app=agenda"}]
    })";

    TEST(ConfigurationJson, sampleIsParsedAndSorted)
    {
        const Outcome<Configuration> parsed = parseConfiguration(c_sample, { 7 });
        ASSERT_TRUE(parsed.has_value()) << parsed.error().m_message;
        const Configuration& configuration = parsed.value();
        EXPECT_EQ(configuration.m_version.m_number, 7U);
        ASSERT_EQ(configuration.m_backendServers.size(), 2U);
        EXPECT_EQ(configuration.m_backendServers[0].m_name, "agenda-1");
        EXPECT_TRUE(configuration.m_backendServers[1].m_draining);
        EXPECT_EQ(configuration.m_services[0].m_protocol, Protocol::Tcp);
        EXPECT_EQ(selectBackends(configuration.m_services[0], configuration).size(), 2U);
        EXPECT_EQ(findBackendServer(configuration.m_backendServers, "agenda-2")->m_zone, "khomas-b");
        EXPECT_EQ(findBackendServer(configuration.m_backendServers, "agenda-3"), nullptr);
    }

    /// A replacement in the sample and the expected part of the error; empty: no error.
    struct Fault {
        std::string_view m_from;
        std::string_view m_to;
        std::string_view m_expected;
    };

    TEST(ConfigurationJson, errorsNameTheLocation)
    {
        const std::vector<Fault> faults {
            { "\"slots\": 2", "\"slots\": 0", "backend_servers[0]: \"slots\": found 0; allowed: an integer from 1" },
            { "\"slots\": 2,", "", "backend_servers[0]: \"slots\": is missing" },
            { "10.0.0.2:5555", "10.0.0.2", "\"tunnel\": \"10.0.0.2\" is no endpoint" },
            { "10.0.0.2:5555", "10.0.0.1:5555", "host \"agenda-2\": tunnel 10.0.0.1:5555 belongs to another host" },
            { "agenda-2", "agenda-1", "host \"agenda-1\" is declared twice" },
            { "\"zone\": \"khomas-b\"", "\"zone\": \"khomas-x\"",
                "found zone \"khomas-x\"; allowed: khomas-a, khomas-b" },
            { "app=agenda", "app=", "" },
            { "app=agenda", "app in", "services[0]: selector: found \"\" at position 6" },
            { "\"draining\"", "\"drainin\"", "unknown key; allowed: did you mean \"draining\"" },
            { "\"draining\": true", "\"draining\": 1", "found 1; allowed: true or false" },
            { "\"name\": \"agenda-2\"", "\"name\": \"agenda 2\"", "found name \"agenda 2\"" },
            { "{\"app\": \"agenda\"}", "[1]", "\"labels\": found [1]; allowed: an object of texts" },
            { "{\"app\": \"agenda\"}", "{\"app\": \"a b\"}", "found label value \"a b\"" },
            { "\"selector\"", "\"protocol\": \"sctp\", \"selector\"", "found protocol \"sctp\"; allowed: tcp, udp" },
            { "\"zones\"", "\"zone\"", "unknown key; allowed: did you mean \"zones\"" },
            { "]\n    }", "", "line 8: incomplete" },
        };
        for (const Fault& fault : faults) {
            std::string text { c_sample };
            const std::size_t position = text.find(fault.m_from);
            ASSERT_NE(position, std::string::npos) << fault.m_from;
            text.replace(position, fault.m_from.size(), fault.m_to);
            const Outcome<Configuration> parsed = parseConfiguration(text, { 1 });
            if (fault.m_expected.empty()) {
                EXPECT_TRUE(parsed.has_value()) << fault.m_to;
                continue;
            }
            ASSERT_FALSE(parsed.has_value()) << fault.m_to;
            EXPECT_EQ(parsed.error().m_kind, ErrorKind::InvalidInput);
            EXPECT_NE(parsed.error().m_message.find(fault.m_expected), std::string::npos) << parsed.error().m_message;
        }
    }

    TEST(ConfigurationJson, oversizedTextIsRefused)
    {
        const std::string text = std::string { c_sample } + std::string(c_maximumConfigurationBytes, ' ');
        EXPECT_FALSE(parseConfiguration(text, { 1 }).has_value());
    }

    RC_GTEST_PROP(ConfigurationJson, formattedConfigurationParsesToTheSame, ())
    {
        const Configuration configuration = test::someConfiguration(9);
        RC_ASSERT(checkConfiguration(configuration).has_value());
        const Outcome<Configuration> parsed = parseConfiguration(formatConfiguration(configuration), { 9 });
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == configuration);
    }

    RC_GTEST_PROP(ConfigurationJson, arbitraryTextNeverCrashes, (const std::string& text))
    {
        RC_ASSERT(!parseConfiguration("[" + text, { 1 }).has_value());
    }

} // namespace
} // namespace cuminrelay
