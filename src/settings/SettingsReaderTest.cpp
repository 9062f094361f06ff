#include "settings/SettingsReader.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    SettingsReader parsed(std::string_view text)
    {
        Outcome<SettingsReader> reader = SettingsReader::parse("test.json", text);
        EXPECT_TRUE(reader.has_value()) << reader.error().m_message;
        return std::move(reader.value());
    }

    std::string problemsOf(SettingsReader& reader)
    {
        const Outcome<void> finished = reader.finish();
        return finished ? std::string {} : finished.error().m_message;
    }

    TEST(SettingsReader, valuesAndDefaultsAreRead)
    {
        SettingsReader reader = parsed("// a comment\n{\"zone\": \"nayoro-b\", \"flows\": 7, /* here too */\n"
                                       "\"ratio\": 1, \"quiet\": true, \"peers\": \"10.0.0.1:40\"}");
        EXPECT_EQ(reader.requiredText("zone"), "nayoro-b");
        EXPECT_EQ(reader.integer("flows", 1, 1, 10), 7U);
        EXPECT_EQ(reader.integer("batch", 64, 1, 1000), 64U);
        EXPECT_EQ(reader.real("ratio", 0.5, 0, 2), 1.0);
        EXPECT_TRUE(reader.boolean("quiet", false));
        EXPECT_EQ(formatEndpoint(reader.requiredEndpoint("peers")), "10.0.0.1:40");
        EXPECT_EQ(problemsOf(reader), "");
        EXPECT_NE(reader.effectiveText().find("\"batch\": 64"), std::string::npos);
    }

    TEST(SettingsReader, parseErrorNamesFileAndLine)
    {
        const Outcome<SettingsReader> reader = SettingsReader::parse("entry.json", "{\n\"a\": 1,\n\"b\" 2\n}");
        ASSERT_FALSE(reader.has_value());
        EXPECT_EQ(reader.error().m_kind, ErrorKind::InvalidInput);
        EXPECT_EQ(reader.error().m_message.find("entry.json: line 3: "), 0U) << reader.error().m_message;
    }

    TEST(SettingsReader, truncatedAndTrailingTextIsRefused)
    {
        for (const char* const text : { "", "{", "{\"a\":1} x", "[1]", "3", "{\"a\":\"\\ud800\"}" })
            EXPECT_FALSE(SettingsReader::parse("entry.json", text).has_value()) << text;
    }

    TEST(SettingsReader, oversizedFileIsRefused)
    {
        const std::string text = "{\"a\":\"" + std::string(1'000'000, 'x') + "\"}";
        EXPECT_FALSE(SettingsReader::parse("entry.json", text).has_value());
    }

    TEST(SettingsReader, missingFileIsNotFound)
    {
        const Outcome<SettingsReader> reader = SettingsReader::load("/nonexistent/entry.json");
        ASSERT_FALSE(reader.has_value());
        EXPECT_EQ(reader.error().m_kind, ErrorKind::NotFound);
    }

    TEST(SettingsReader, anUnknownKeySuggestsTheNearestKey)
    {
        SettingsReader reader = parsed("{\"zoen\": \"a\", \"entirely_else\": 1}");
        reader.text("zone", "b");
        reader.text("name", "c");
        const std::string problems = problemsOf(reader);
        EXPECT_NE(problems.find("test.json: \"zoen\": unknown key; allowed: did you mean \"zone\"?"), std::string::npos)
            << problems;
        EXPECT_NE(problems.find("test.json: \"entirely_else\": unknown key; allowed: name, zone"), std::string::npos)
            << problems;
    }

    TEST(SettingsReader, eachProblemNamesTheFoundAndTheAllowedValue)
    {
        SettingsReader reader = parsed("{\"flows\": 11, \"ratio\": \"x\", \"quiet\": 1, \"peers\": \"10.0.0.1\", "
                                       "\"list\": [1], \"level\": \"x\"}");
        reader.integer("flows", 1, 1, 10);
        reader.real("ratio", 0.5, 0, 2);
        reader.boolean("quiet", false);
        reader.requiredEndpoint("peers");
        reader.texts("list");
        reader.requiredText("zone");
        const std::string_view levels[] { "info", "debug" }; // NOLINT(modernize-avoid-c-arrays)
        reader.choice("level", "info", levels);
        const std::string problems = problemsOf(reader);
        for (const char* const line : { "\"flows\": found 11; allowed: an integer from 1 to 10",
                 "\"ratio\": found \"x\"; allowed: a number from 0 to 2", "\"quiet\": found 1; allowed: true or false",
                 "\"peers\": found \"10.0.0.1\"; allowed: an endpoint", "\"list[0]\": found 1; allowed: a text",
                 "\"zone\": is missing; allowed: a text",
                 "\"level\": found \"x\"; allowed: one of \"info\", \"debug\"" })
            EXPECT_NE(problems.find(line), std::string::npos) << line << " not in\n" << problems;
    }

    TEST(SettingsReader, numbersOtherThanIntegersInRangeAreRefused)
    {
        for (const char* const text :
            { "{\"n\":-1}", "{\"n\":1.5}", "{\"n\":1e3}", "{\"n\":\"1\"}", "{\"n\":18446744073709551616}" }) {
            SettingsReader reader = parsed(text);
            EXPECT_EQ(reader.integer("n", 5, 0, 10000), 5U) << text;
            EXPECT_NE(problemsOf(reader), "") << text;
        }
    }

    TEST(SettingsReader, logLevelsAreReadByName)
    {
        SettingsReader reader = SettingsReader::parse("f.json", "{\"a\": \"debug\", \"c\": \"loud\"}").value();
        EXPECT_EQ(reader.logLevel("a"), LogLevel::Debug);
        EXPECT_EQ(reader.logLevel("b"), LogLevel::Info);
        EXPECT_EQ(reader.logLevel("c"), LogLevel::Info);
        const Outcome<void> finished = reader.finish();
        ASSERT_FALSE(finished.has_value());
        EXPECT_NE(finished.error().m_message.find("\"debug\", \"info\", \"warning\", \"error\""), std::string::npos);
    }

    TEST(SettingsReader, problemsInSectionsNameTheirPath)
    {
        SettingsReader reader
            = parsed("{\"hosts\": [{\"name\": \"a\"}, {\"nam\": \"b\"}], \"platform\": {\"rate\": 0}}");
        for (SettingsReader& host : reader.sections("hosts"))
            host.requiredText("name");
        SettingsReader moved = std::move(reader);
        moved.section("platform").integer("rate", 5, 1, 9);
        EXPECT_EQ(moved.section("fabric").integer("delay", 3, 1, 9), 3U);
        const std::string problems = problemsOf(moved);
        EXPECT_NE(problems.find("\"hosts[1].name\": is missing"), std::string::npos) << problems;
        EXPECT_NE(problems.find("\"hosts[1].nam\": unknown key; allowed: did you mean \"name\""), std::string::npos);
        EXPECT_NE(problems.find("\"platform.rate\": found 0"), std::string::npos) << problems;
        EXPECT_NE(moved.effectiveText().find("\"fabric\": {\"delay\":3}"), std::string::npos) << moved.effectiveText();
    }

    RC_GTEST_PROP(SettingsReader, arbitraryTextNeverCrashes, (const std::string& text))
    {
        Outcome<SettingsReader> reader = SettingsReader::parse("any", text);
        if (reader) {
            reader.value().requiredText("zone");
            problemsOf(reader.value());
        }
    }

    RC_GTEST_PROP(
        SettingsReader, effectiveTextParsesToTheSameSettings, (std::uint16_t number, bool flag, std::uint8_t length))
    {
        const std::string text(length, 'z');
        SettingsReader first { "first", {} };
        first.integer("number", number, 0, 65535);
        first.boolean("flag", flag);
        first.text("text", text);
        Outcome<SettingsReader> second = SettingsReader::parse("second", first.effectiveText());
        RC_ASSERT(second.has_value());
        RC_ASSERT(second.value().integer("number", 0, 0, 65535) == number);
        RC_ASSERT(second.value().boolean("flag", !flag) == flag);
        RC_ASSERT(second.value().text("text", "other") == text);
        RC_ASSERT(second.value().finish().has_value());
    }

} // namespace
} // namespace cuminrelay
