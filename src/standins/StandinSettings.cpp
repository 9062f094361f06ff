#include "standins/StandinSettings.h"

#include <array>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace cuminrelay::standins {

namespace {

    constexpr std::uint64_t c_maximumMs = 3'600'000;
    constexpr std::uint64_t c_maximumCount = 1'000'000'000;
    constexpr double c_maximumRate = 100'000;

    Duration readMilliseconds(SettingsReader& reader, std::string_view key, std::uint64_t fallback)
    {
        return std::chrono::milliseconds { reader.integer(key, fallback, 0, c_maximumMs) };
    }

    Outcome<std::string> readFile(const std::string& path)
    {
        std::ifstream file { path };
        if (!file)
            return Error { ErrorKind::NotFound, fmt::format("{}: cannot be read", path) };
        return std::string { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
    }

    ServiceLoad readServiceLoad(SettingsReader& reader)
    {
        constexpr std::array<std::string_view, 2> protocols { "tcp", "udp" };
        ServiceLoad load;
        load.m_name = reader.requiredText("name");
        load.m_address = reader.requiredEndpoint("address");
        load.m_protocol = reader.choice("protocol", "tcp", protocols) == "udp" ? Protocol::Udp : Protocol::Tcp;
        load.m_feeds = reader.integer("feeds", 0, 0, c_maximumCount);
        load.m_formsPerSecond = reader.real("forms_per_second", 0, 0, c_maximumRate);
        load.m_bookingsPerSecond = reader.real("bookings_per_second", 0, 0, c_maximumRate);
        load.m_uploadsPerSecond = reader.real("uploads_per_second", 0, 0, c_maximumRate);
        load.m_surveysPerSecond = reader.real("surveys_per_second", 0, 0, c_maximumRate);
        load.m_uploadBytes = reader.integer("upload_bytes", load.m_uploadBytes, 0, c_maximumCount / 10);
        load.m_uploadWorkMs = reader.integer("upload_work_ms", load.m_uploadWorkMs, 0, c_maximumMs);
        load.m_shortWorkMs = reader.integer("short_work_ms", load.m_shortWorkMs, 0, c_maximumMs);
        return load;
    }

    HostOptions readHost(SettingsReader& reader)
    {
        HostOptions options;
        options.m_name = reader.requiredText("name");
        options.m_service = reader.requiredText("service");
        options.m_tunnel = reader.requiredEndpoint("tunnel");
        options.m_report = reader.requiredEndpoint("report");
        options.m_answers = reader.requiredEndpoint("answers");
        options.m_connectionLimit = reader.integer("connection_limit", options.m_connectionLimit, 0, c_maximumCount);
        options.m_coldStart = readMilliseconds(reader, "cold_start_ms", 0);
        options.m_work.m_slots = reader.integer("slots", options.m_work.m_slots, 1, c_maximumCount);
        options.m_work.m_queueLimit = reader.integer("queue_limit", options.m_work.m_queueLimit, 0, c_maximumCount);
        return options;
    }

} // namespace

FakePlatformSettings readPlatformSettings(SettingsReader& reader)
{
    FakePlatformSettings settings;
    settings.m_listen = reader.requiredEndpoint("listen");
    settings.m_tokenFile = reader.requiredText("token_file");
    settings.m_configurationFile = reader.text("configuration_file", "");
    PlatformOptions& options = settings.m_options;
    options.m_writesPerSecond = reader.integer("writes_per_second", options.m_writesPerSecond, 0, c_maximumCount);
    options.m_readsPerSecond = reader.integer("reads_per_second", options.m_readsPerSecond, 0, c_maximumCount);
    options.m_switches.m_vmListLag = readMilliseconds(reader, "vm_list_lag_ms", 0);
    options.m_switches.m_callDelay = readMilliseconds(reader, "slow_ms", 0);
    return settings;
}

std::vector<HostOptions> readHostSettings(SettingsReader& reader)
{
    std::vector<HostOptions> hosts;
    for (SettingsReader& host : reader.sections("hosts"))
        hosts.push_back(readHost(host));
    return hosts;
}

FabricOptions readFabricSettings(SettingsReader& reader)
{
    FabricOptions options;
    options.m_callers = reader.requiredEndpoint("callers");
    options.m_answers = reader.requiredEndpoint("answers");
    options.m_callersTunnel = reader.requiredEndpoint("callers_tunnel");
    options.m_admin = reader.requiredEndpoint("admin");
    options.m_entries = reader.endpoints("entries");
    options.m_seed = reader.integer("seed", options.m_seed, 0, std::numeric_limits<std::uint32_t>::max());
    options.m_switches.m_lossPercent = reader.integer("lose_percent", 0, 0, 100);
    options.m_switches.m_duplicatePercent = reader.integer("double_percent", 0, 0, 100);
    options.m_switches.m_reorderPercent = reader.integer("reorder_percent", 0, 0, 100);
    return options;
}

CallersOptions readCallersSettings(SettingsReader& reader)
{
    CallersOptions options;
    options.m_tunnel = reader.requiredEndpoint("tunnel");
    options.m_fabric = reader.requiredEndpoint("fabric");
    options.m_admin = reader.requiredEndpoint("admin");
    options.m_seed = reader.integer("seed", options.m_seed, 0, std::numeric_limits<std::uint32_t>::max());
    options.m_paused = reader.boolean("paused", false);
    options.m_hostReports = reader.endpoints("host_reports");
    for (SettingsReader& service : reader.sections("services"))
        options.m_services.push_back(readServiceLoad(service));
    return options;
}

Outcome<std::shared_ptr<FakePlatform>> startPlatform(
    boost::asio::io_context& context, const FakePlatformSettings& settings)
{
    Outcome<std::string> token = readFile(settings.m_tokenFile);
    if (!token)
        return token.error();
    PlatformOptions options = settings.m_options;
    options.m_token = token.value().substr(0, token.value().find_first_of("\r\n"));
    std::shared_ptr<FakePlatform> platform = std::make_shared<FakePlatform>(std::move(options));
    if (!settings.m_configurationFile.empty()) {
        Outcome<std::string> configuration = readFile(settings.m_configurationFile);
        if (!configuration)
            return configuration.error();
        platform->seedObject("config", "current", std::move(configuration.value()));
    }
    const Outcome<Endpoint> listen = serveHttp(context, settings.m_listen, platform);
    if (!listen)
        return listen.error();
    return platform;
}

} // namespace cuminrelay::standins
