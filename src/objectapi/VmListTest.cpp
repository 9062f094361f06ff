#include "objectapi/VmList.h"

#include <gtest/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    std::string vm(const std::string& name)
    {
        return R"({"name":")" + name
            + R"(","zone":"a","peers":"10.1.0.1:7001","replica":"10.1.0.1:7002","control":"10.1.0.1:7003","state":"active"})";
    }

    // One entry that the JSON library refuses must not hide the other VMs.
    TEST(VmListTest, oddEntriesAreCountedAndTheOthersHold)
    {
        const std::string brackets = std::string(100'000, '[') + std::string(100'000, ']');
        for (const std::string& odd :
            { brackets, std::string { R"({"name":1e99999999999})" }, std::string { "\"\xff\"" },
                std::string { R"({"name":"b","zone":"a","peers":"10.1.0.1:70000"})" }, std::string { "null" } }) {
            const Outcome<VmList> list = parseVmList("[" + vm("a") + "," + odd + "," + vm("c") + "]");
            ASSERT_TRUE(list.has_value()) << list.error().m_message;
            EXPECT_EQ(list.value().m_members.size(), 2u);
            EXPECT_EQ(list.value().m_malformed, 1u);
        }
    }

    TEST(VmListTest, textThatIsNoArrayIsRefused)
    {
        for (const char* const text : { "", "{}", "null", "[", "[]x" })
            EXPECT_FALSE(parseVmList(text).has_value()) << text;
    }

} // namespace
} // namespace cuminrelay
