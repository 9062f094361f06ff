#include "configuration/Selector.h"

#include "configuration/GeneratorsTest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    bool selects(std::string_view selector, const Labels& labels)
    {
        const Outcome<Selector> parsed = parseSelector(selector);
        EXPECT_TRUE(parsed.has_value()) << selector;
        return parsed && matches(parsed.value(), labels);
    }

    TEST(Selector, operatorsMatchAsInKubernetes)
    {
        const Labels labels { { "app", "kanteisha" }, { "tier", "gold" } };
        EXPECT_TRUE(selects("app=kanteisha", labels));
        EXPECT_TRUE(selects("app==kanteisha", labels));
        EXPECT_FALSE(selects("app=agenda", labels));
        EXPECT_FALSE(selects("app!=kanteisha", labels));
        EXPECT_TRUE(selects("zone!=a", labels)) << "an absent key is unequal to every value";
        EXPECT_TRUE(selects("tier in (silver, gold)", labels));
        EXPECT_FALSE(selects("tier notin (silver,gold)", labels));
        EXPECT_TRUE(selects("zone notin (a)", labels)) << "an absent key is in no set";
        EXPECT_FALSE(selects("zone in (a)", labels));
        EXPECT_TRUE(selects("tier", labels));
        EXPECT_FALSE(selects("!tier", labels));
        EXPECT_TRUE(selects("!canary", labels));
        EXPECT_TRUE(selects(" app = kanteisha , tier in ( gold ) , ! canary ", labels));
        EXPECT_FALSE(selects("app=kanteisha,tier=silver", labels));
    }

    TEST(Selector, emptySelectorMatchesNothing)
    {
        EXPECT_FALSE(matches(Selector {}, { { "app", "kanteisha" } }));
    }

    TEST(Selector, malformedTextIsRefused)
    {
        for (const char* const text :
            { "", ",", "app=kanteisha,", "app=", "app in", "app in ()x", "app in (a", "app in a", "-app=x", "app=-x",
                "app=a b", "!", "!app=x", "a/b/c=x", "app=x;tier=y", "app>3", "app=\xc3\xa4" }) {
            const Outcome<Selector> parsed = parseSelector(text);
            if (std::string_view { text } == "app=") // an empty value is allowed, as in Kubernetes
                EXPECT_TRUE(parsed.has_value());
            else
                EXPECT_FALSE(parsed.has_value()) << text;
        }
    }

    TEST(Selector, errorQuotesTheUnexpectedText)
    {
        const Outcome<Selector> parsed = parseSelector("app=kanteisha tier=gold");
        ASSERT_FALSE(parsed.has_value());
        EXPECT_NE(parsed.error().m_message.find("found \"tier=gold\" at position 14"), std::string::npos)
            << parsed.error().m_message;
    }

    TEST(Selector, keysAndValuesAreBounded)
    {
        EXPECT_TRUE(checkLabelKey(std::string(63, 'a')).has_value());
        EXPECT_FALSE(checkLabelKey(std::string(64, 'a')).has_value());
        EXPECT_TRUE(checkLabelKey(std::string(253, 'p') + "/a").has_value());
        EXPECT_FALSE(checkLabelKey(std::string(254, 'p') + "/a").has_value());
        EXPECT_FALSE(checkLabelValue(std::string(64, 'a')).has_value());
        EXPECT_FALSE(checkName("").has_value());
    }

    RC_GTEST_PROP(Selector, formattedSelectorParsesToTheSame, ())
    {
        const Selector selector = test::someSelector();
        const Outcome<Selector> parsed = parseSelector(formatSelector(selector));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == selector);
    }

    RC_GTEST_PROP(Selector, arbitraryTextNeverCrashes, (const std::string& text))
    {
        const Outcome<Selector> parsed = parseSelector(text);
        if (parsed)
            RC_ASSERT(parseSelector(formatSelector(parsed.value())).value() == parsed.value());
    }

} // namespace
} // namespace cuminrelay
