#include "settings/Program.h"

#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    /// Runs a sample program and captures its output.
    class ProgramTest : public testing::Test {
    protected:
        int run(std::vector<std::string> arguments)
        {
            arguments.insert(arguments.begin(), "cuminrelay-sample");
            std::vector<char*> pointers;
            pointers.reserve(arguments.size());
            for (std::string& argument : arguments)
                pointers.push_back(argument.data());
            testing::internal::CaptureStdout();
            testing::internal::CaptureStderr();
            const int status = runProgram(
                pointers, "cuminrelay-sample", "a sample",
                [](SettingsReader& settings) { settings.requiredText("zone"); },
                [this] {
                    m_ran = true;
                    return ExitStatus::Failure;
                });
            m_output = testing::internal::GetCapturedStdout();
            m_errors = testing::internal::GetCapturedStderr();
            return status;
        }

        std::string writeFile(std::string_view name, std::string_view text)
        {
            std::string path = testing::TempDir() + "cuminrelay-" + std::string { name };
            std::ofstream { path } << text;
            return path;
        }

        bool m_ran = false;
        std::string m_output;
        std::string m_errors;
    };

    TEST_F(ProgramTest, validSettingsRunTheProgram)
    {
        EXPECT_EQ(run({ "--config", writeFile("good.json", "{\"zone\":\"a\"}") }), 1);
        EXPECT_TRUE(m_ran);
    }

    TEST_F(ProgramTest, checkPrintsAndDoesNotRun)
    {
        EXPECT_EQ(run({ "--check", "--config", writeFile("check.json", "{\"zone\":\"a\"}") }), 0);
        EXPECT_FALSE(m_ran);
        EXPECT_NE(m_output.find("\"zone\": \"a\""), std::string::npos) << m_output;
    }

    TEST_F(ProgramTest, invalidSettingsExitWithStatusTwo)
    {
        EXPECT_EQ(run({ "--config", writeFile("bad.json", "{\"zome\":\"a\"}") }), 2);
        EXPECT_FALSE(m_ran);
        EXPECT_NE(m_errors.find("did you mean \"zone\""), std::string::npos) << m_errors;
    }

    TEST_F(ProgramTest, invalidCommandLinesExitWithStatusTwo)
    {
        const std::vector<std::vector<std::string>> commandLines { {}, { "--confg", "x" }, { "--config" }, { "word" },
            { "--config", "/nonexistent/x.json" } };
        for (const std::vector<std::string>& arguments : commandLines) {
            EXPECT_EQ(run(arguments), 2);
            EXPECT_NE(m_errors, "");
        }
        EXPECT_FALSE(m_ran);
    }

    TEST_F(ProgramTest, versionAndHelpExitWithZero)
    {
        EXPECT_EQ(run({ "--version" }), 0);
        EXPECT_EQ(m_output.find("cuminrelay-sample 0."), 0U) << m_output;
        EXPECT_EQ(run({ "--help" }), 0);
        EXPECT_NE(m_output.find("Example: "), std::string::npos);
        EXPECT_FALSE(m_ran);
    }

} // namespace
} // namespace cuminrelay
