#include "settings/JsonOutline.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    constexpr std::size_t c_megabyte = 1'000'000;

    TEST(JsonOutlineTest, membersAndElementsAreSplitWithoutDecoding)
    {
        const Outcome<std::vector<JsonMember>> members
            = splitJsonObject(" { \"a\" : {\"b\":[1,\"}\\\"]\"]} ,\n\"c\":-1e5, \"d\":\"x,y\",\"e\":null} ");
        ASSERT_TRUE(members.has_value()) << members.error().m_message;
        ASSERT_EQ(members.value().size(), 4u);
        EXPECT_EQ(members.value()[0].m_key, "a");
        EXPECT_EQ(members.value()[0].m_value, "{\"b\":[1,\"}\\\"]\"]}");
        EXPECT_EQ(members.value()[1].m_value, "-1e5");
        EXPECT_EQ(members.value()[2].m_value, "\"x,y\"");
        EXPECT_EQ(members.value()[3].m_value, "null");
        EXPECT_EQ(splitJsonArray("[1,[2,3],{}]").value(), (std::vector<std::string_view> { "1", "[2,3]", "{}" }));
        EXPECT_TRUE(splitJsonObject("{}").value().empty());
        EXPECT_TRUE(splitJsonArray(" [ ] ").value().empty());
    }

    TEST(JsonOutlineTest, textThatEndsEarlyOrIsOfAnotherKindIsRefused)
    {
        for (const char* const text : { "", " ", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":\"x", "{\"a\":\"x\\",
                 "[1]", "{\"a\":1,}", "{a:1}", "{\"a\":}", "{\"a\":[1}", "{\"a\":1}x", "{\"a\":1}{", "null" })
            EXPECT_FALSE(splitJsonObject(text).has_value()) << text;
        for (const char* const text : { "", "[", "[1", "[1,", "[1,]", "{}", "[[]", "[]]", "7", "[5{]", "[5\"]" })
            EXPECT_FALSE(splitJsonArray(text).has_value()) << text;
    }

    // A value that the library refuses must not make its neighbors unreadable, and a megabyte of brackets must not
    // exhaust the stack.
    TEST(JsonOutlineTest, neighborsOfAnUndecodableValueAreDecoded)
    {
        const std::string brackets = std::string(c_megabyte, '[') + std::string(c_megabyte, ']');
        for (const std::string& odd : { brackets, std::string { "1e99999999999" }, std::string { "\"\xff\xfe\"" },
                 std::string { "{\"a\":[}}" }, std::string { "nonsense" } }) {
            const std::string text = "[1," + odd + ",\"last\"]";
            const Outcome<std::vector<std::string_view>> elements = splitJsonArray(text);
            ASSERT_TRUE(elements.has_value()) << elements.error().m_message;
            ASSERT_EQ(elements.value().size(), 3u);
            EXPECT_FALSE(parseJsonValue(elements.value()[1]).has_value());
            EXPECT_EQ(parseJsonValue(elements.value()[2]).value(), "last");
        }
    }

    TEST(JsonOutlineTest, nestingIsLimited)
    {
        const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
        EXPECT_TRUE(parseJsonValue(nested(c_maxJsonNesting)).has_value());
        EXPECT_FALSE(parseJsonValue(nested(c_maxJsonNesting + 1)).has_value());
    }

    RC_GTEST_PROP(JsonOutlineTest, serializedMembersAreFoundAgain, (const std::map<std::string, std::string>& texts))
    {
        boost::json::object object;
        for (const auto& [key, text] : texts)
            object.emplace(key, boost::json::array { text, { { "nested", text } }, 1.5 });
        const std::string serialized = boost::json::serialize(object);
        const Outcome<std::vector<JsonMember>> members = splitJsonObject(serialized);
        RC_ASSERT(members.has_value());
        RC_ASSERT(members.value().size() == object.size());
        std::size_t index = 0;
        for (const boost::json::key_value_pair& pair : object)
            RC_ASSERT(members.value()[index++].m_value == boost::json::serialize(pair.value()));
    }

    RC_GTEST_PROP(JsonOutlineTest, arbitraryTextIsSplitOrRefused, (const std::string& text))
    {
        for (const std::string& framed : { text, "{\"a\":" + text + "}", "[" + text + "]" }) {
            static_cast<void>(splitJsonObject(framed));
            static_cast<void>(splitJsonArray(framed));
        }
    }

} // namespace
} // namespace cuminrelay
