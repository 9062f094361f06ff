#include "settings/JsonFields.h"

#include "settings/JsonText.h"

#include <boost/json/array.hpp>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using enum JsonFields::UnknownMembers;

    boost::json::value parsed(std::string_view text)
    {
        return parseJsonText("test", text).value();
    }

    TEST(JsonFields, firstErrorIsReported)
    {
        const boost::json::value value = parsed(R"({"slots": "two", "tunnel": 5})");
        JsonFields fields { value, "hosts[3]", Refuse };
        EXPECT_EQ(fields.integer("slots", 2, 1, 9), 2U);
        fields.requiredEndpoint("tunnel");
        fields.requiredText("name");
        const Outcome<void> finished = fields.finish();
        ASSERT_FALSE(finished.has_value());
        EXPECT_EQ(finished.error().m_message, "hosts[3]: \"slots\": found \"two\"; allowed: an integer from 1 to 9");
    }

    TEST(JsonFields, unknownMembersAreRefusedOrIgnored)
    {
        const boost::json::value value = parsed(R"({"name": "a", "later": 1})");
        JsonFields strict { value, "test", Refuse };
        EXPECT_EQ(strict.requiredText("name"), "a");
        EXPECT_FALSE(strict.finish().has_value());
        JsonFields lenient { value, "test", Ignore };
        EXPECT_EQ(lenient.requiredText("name"), "a");
        EXPECT_TRUE(lenient.finish().has_value());
    }

    TEST(JsonFields, aNumberMayHaveAFractionAndIsLimited)
    {
        const boost::json::value value
            = parsed(R"({"whole": 2, "part": 2.5, "huge": 1e300, "negative": -0.1, "text": "2", "bool": true})");
        JsonFields fields { value, "test", Ignore };
        EXPECT_EQ(fields.number("whole", 0, 0, 9), 2);
        EXPECT_EQ(fields.number("part", 0, 0, 9), 2.5);
        EXPECT_EQ(fields.number("absent", 7, 0, 9), 7);
        EXPECT_TRUE(fields.finish().has_value());
        for (const char* const key : { "huge", "negative", "text", "bool" }) {
            JsonFields odd { value, "test", Ignore };
            EXPECT_EQ(odd.number(key, 7, 0, 9), 7) << key;
            EXPECT_FALSE(odd.finish().has_value()) << key;
        }
    }

    TEST(JsonFields, aValueOtherThanAnObjectIsAnError)
    {
        for (const char* const text : { "1", "[]", "null", "\"x\"" }) {
            const boost::json::value value = parsed(text);
            JsonFields fields { value, "test", Ignore };
            EXPECT_EQ(fields.text("name"), "");
            EXPECT_TRUE(fields.array("list").empty());
            EXPECT_FALSE(fields.finish().has_value()) << text;
        }
    }

} // namespace
} // namespace cuminrelay
