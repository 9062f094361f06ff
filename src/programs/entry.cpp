#include "admission/ShareAdmission.h"
#include "entry/EntryProcess.h"
#include "placement/BoundedLoadPlacement.h"
#include "settings/Program.h"

#include <fmt/format.h>
#include <span>

namespace cuminrelay {
namespace {

    ExitStatus runEntry(const EntrySettings& settings)
    {
        BoundedLoadPlacement placement;
        ShareAdmission admission;
        EntryProcess process { settings, placement, admission };
        const Outcome<void> opened = process.open();
        if (!opened) {
            fmt::print(stderr, "cuminrelay-entry: {}\n", opened.error().m_message);
            return ExitStatus::Failure;
        }
        return process.run();
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    cuminrelay::EntrySettings settings;
    return cuminrelay::runProgram(
        std::span<char* const> { argv, static_cast<std::size_t>(argc) }, "cuminrelay-entry",
        "Forwards callers' packets to backend servers on an entry VM.",
        [&settings](cuminrelay::SettingsReader& reader) { settings = cuminrelay::readEntrySettings(reader); },
        [&settings] { return cuminrelay::runEntry(settings); });
}
