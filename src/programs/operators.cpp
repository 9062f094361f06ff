#include "operators/CommandLine.h"

#include <cstdio>
#include <string>
#include <vector>

/// cuminrelayctl: the operators' command line.
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments { argv + 1, argv + argc };
    const cuminrelay::operators::CommandLineResult result = cuminrelay::operators::runCommandLine(arguments);
    std::fwrite(result.m_output.data(), 1, result.m_output.size(), stdout);
    std::fwrite(result.m_errors.data(), 1, result.m_errors.size(), stderr);
    return result.m_status;
}
