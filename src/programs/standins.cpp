#include "observe/Log.h"
#include "settings/Program.h"
#include "standins/StandinSettings.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace {

using namespace cuminrelay;
using namespace cuminrelay::standins;

/// Stand-ins that a subcommand starts.
struct Subcommand {
    std::string_view m_name;
    bool m_platform = false;
    bool m_hosts = false;
    bool m_fabric = false;
    bool m_callers = false;
};

constexpr std::array<Subcommand, 5> c_subcommands { {
    { "platform", true, false, false, false },
    { "host", false, true, false, false },
    { "fabric", false, false, true, false },
    { "callers", false, false, false, true },
    { "all", true, true, true, true },
} };

/// Logs the error if a stand-in has not started.
template <typename Started> bool hasStarted(std::string_view name, const Outcome<Started>& started, Log& log)
{
    if (!started)
        log.error("standins", "not_started", { { "standin", name }, { "reason", started.error().m_message } });
    return started.has_value();
}

/// Starts the configured stand-ins and serves until SIGTERM or SIGINT.
ExitStatus serve(const StandinSettings& settings)
{
    Log log;
    boost::asio::io_context context { 1 };
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });

    std::vector<std::shared_ptr<HttpHandler>> running;
    if (settings.m_platform) {
        const Outcome<std::shared_ptr<FakePlatform>> platform = startPlatform(context, *settings.m_platform);
        if (!hasStarted("platform", platform, log))
            return ExitStatus::Failure;
        running.push_back(platform.value());
    }
    for (const HostOptions& options : settings.m_hosts) {
        const Outcome<std::shared_ptr<FakeHost>> host = FakeHost::start(context, options);
        if (!hasStarted(options.m_name, host, log))
            return ExitStatus::Failure;
        running.push_back(host.value());
    }
    if (settings.m_fabric) {
        const Outcome<std::shared_ptr<FakeFabric>> fabric = FakeFabric::start(context, *settings.m_fabric);
        if (!hasStarted("fabric", fabric, log))
            return ExitStatus::Failure;
        running.push_back(fabric.value());
    }
    if (settings.m_callers) {
        const Outcome<std::shared_ptr<FakeCallers>> callers = FakeCallers::start(context, *settings.m_callers);
        if (!hasStarted("callers", callers, log))
            return ExitStatus::Failure;
        running.push_back(callers.value());
    }
    log.info("standins", "serving", { { "standins", running.size() } });
    context.run();
    return ExitStatus::Success;
}

} // namespace

int main(int argumentCount, char** argumentValues)
{
    const std::span<char* const> arguments { argumentValues, static_cast<std::size_t>(argumentCount) };
    const std::string_view requested = arguments.size() > 1 ? arguments[1] : "";
    for (const Subcommand& subcommand : c_subcommands) {
        if (subcommand.m_name != requested)
            continue;
        StandinSettings settings;
        const auto read = [&](SettingsReader& reader) {
            if (subcommand.m_platform)
                settings.m_platform = readPlatformSettings(reader.section("platform"));
            if (subcommand.m_hosts)
                settings.m_hosts = readHostSettings(reader);
            if (subcommand.m_fabric)
                settings.m_fabric = readFabricSettings(reader.section("fabric"));
            if (subcommand.m_callers)
                settings.m_callers = readCallersSettings(reader.section("callers"));
        };
        return runProgram(arguments.subspan(1), "cuminrelay-standin", "stand-ins for tests and the demo", read,
            [&] { return serve(settings); });
    }
    fmt::print(stderr, "usage: cuminrelay-standin platform|host|fabric|callers|all --config FILE\n");
    return requested == "--help" ? 0 : static_cast<int>(ExitStatus::BadInput);
}
