#include "control/ControlProcess.h"
#include "control/ControlSettings.h"
#include "settings/Program.h"

#include <fmt/format.h>
#include <span>

namespace cuminrelay {
namespace {

    ExitStatus runControl(const ControlSettings& settings)
    {
        ControlProcess process { settings };
        const Outcome<void> opened = process.open();
        if (!opened) {
            fmt::print(stderr, "cuminrelay-control: {}\n", opened.error().m_message);
            return ExitStatus::Failure;
        }
        return process.run();
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    cuminrelay::ControlSettings settings;
    return cuminrelay::runProgram(
        std::span<char* const> { argv, static_cast<std::size_t>(argc) }, "cuminrelay-control",
        "Watches the platform, exchanges heartbeats with peers, probes backend servers and updates its VM's entry "
        "process.",
        [&settings](cuminrelay::SettingsReader& reader) { settings = cuminrelay::readControlSettings(reader); },
        [&settings] { return cuminrelay::runControl(settings); });
}
