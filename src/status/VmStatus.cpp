#include "status/VmStatus.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>
#include <utility>

namespace cuminrelay {

namespace {

    std::uint64_t gaugeValue(const MetricsPage& page, std::string_view name, std::string_view label = {})
    {
        return static_cast<std::uint64_t>(std::max(0.0, page.find(name, label).value_or(0)));
    }

    ConfigVersion highestVersion(std::span<const VmStatus> vms)
    {
        ConfigVersion highest;
        for (const VmStatus& vm : vms)
            highest = std::max(highest, vm.m_configVersion);
        return highest;
    }

    std::vector<std::string> vmsWith(std::span<const VmStatus> vms, bool VmStatus::*condition)
    {
        std::vector<std::string> names;
        for (const VmStatus& vm : vms) {
            if (vm.*condition)
                names.push_back(formatEndpoint(vm.m_metrics));
        }
        return names;
    }

    /// The evacuated zones, with the VMs where each is evacuated and the longest time of it.
    std::string evacuationLines(std::span<const VmStatus> vms)
    {
        std::map<std::string, std::pair<std::size_t, double>> zones;
        std::size_t answering = 0;
        for (const VmStatus& vm : vms) {
            answering += vm.m_problem.empty() ? 1 : 0;
            for (const auto& [zone, age] : vm.m_evacuationAges) {
                std::pair<std::size_t, double>& seen = zones[zone];
                ++seen.first;
                seen.second = std::max(seen.second, age);
            }
        }
        std::string text;
        for (const auto& [zone, seen] : zones)
            text += fmt::format(
                "zone {} is evacuated on {} of {} VMs, for {:.1f} s\n", zone, seen.first, answering, seen.second);
        return text;
    }

    std::vector<std::string> vmsOfEarlierEra(std::span<const VmStatus> vms)
    {
        std::uint64_t latest = 0;
        for (const VmStatus& vm : vms)
            latest = std::max(latest, vm.m_storeEra);
        std::vector<std::string> names;
        for (const VmStatus& vm : vms) {
            if (vm.m_problem.empty() && vm.m_storeEra < latest)
                names.push_back(formatEndpoint(vm.m_metrics));
        }
        return names;
    }

    std::vector<std::string> vmsWithoutVersion(std::span<const VmStatus> vms, ConfigVersion version)
    {
        std::vector<std::string> names;
        for (const VmStatus& vm : vms) {
            if (!vm.m_problem.empty() || vm.m_configVersion < version)
                names.push_back(formatEndpoint(vm.m_metrics));
        }
        return names;
    }

} // namespace

VmStatus statusFrom(Endpoint metrics, const MetricsPage& page)
{
    VmStatus status;
    status.m_metrics = metrics;
    const std::optional<double> version = page.find("cuminrelay_config_version");
    if (!version) {
        status.m_problem = "not a relay: its metrics page has no cuminrelay_config_version";
        return status;
    }
    status.m_configVersion = { static_cast<std::uint64_t>(*version) };
    status.m_isReady = page.find("cuminrelay_ready") == 1;
    status.m_followsStore = page.find("cuminrelay_follows_store") == 1;
    status.m_storeContactAgeSeconds = page.find("cuminrelay_knowledge_age_seconds").value_or(-1);
    status.m_backendsReady = gaugeValue(page, "cuminrelay_backends", "ready");
    for (const std::string_view state : { "draining", "lapsed", "silent", "dead" })
        status.m_backendsOther += gaugeValue(page, "cuminrelay_backends", state);
    status.m_peers = gaugeValue(page, "cuminrelay_peers", "all");
    status.m_flows = gaugeValue(page, "cuminrelay_tracked_flows");
    status.m_isStoredConfigUnreadable = page.find("cuminrelay_config_unreadable") == 1;
    status.m_isSettingsFileUnusable = page.find("cuminrelay_settings_unusable") == 1;
    status.m_storeEra = gaugeValue(page, "cuminrelay_store_era");
    for (const auto& [zone, age] : page.findAll("cuminrelay_evacuation_age_seconds")) {
        if (age >= 0)
            status.m_evacuationAges.emplace(zone, age);
    }
    return status;
}

bool isInForce(std::span<const VmStatus> vms, ConfigVersion version)
{
    return std::ranges::all_of(vms, [version](const VmStatus& vm) {
        return vm.m_problem.empty() && vm.m_isReady && vm.m_configVersion >= version;
    });
}

std::string statusTable(std::span<const VmStatus> vms)
{
    std::string text = fmt::format("{:<22} {:>9} {:<6} {:<8} {:>8} {:>6} {:>6} {:>6} {:>8}\n", "vm", "version", "ready",
        "source", "age s", "ready", "other", "peers", "flows");
    for (const VmStatus& vm : vms) {
        if (!vm.m_problem.empty()) {
            text += fmt::format("{:<22} {}\n", formatEndpoint(vm.m_metrics), vm.m_problem);
            continue;
        }
        text += fmt::format("{:<22} {:>9} {:<6} {:<8} {:>8.1f} {:>6} {:>6} {:>6} {:>8}\n", formatEndpoint(vm.m_metrics),
            vm.m_configVersion.m_number, vm.m_isReady ? "yes" : "no", vm.m_followsStore ? "store" : "peer",
            vm.m_storeContactAgeSeconds, vm.m_backendsReady, vm.m_backendsOther, vm.m_peers, vm.m_flows);
    }
    const std::vector<std::string> lagging = vmsWithoutVersion(vms, highestVersion(vms));
    if (!lagging.empty())
        text += fmt::format("without version {}: {}\n", highestVersion(vms).m_number, fmt::join(lagging, ", "));
    const std::vector<std::string> unreadable = vmsWith(vms, &VmStatus::m_isStoredConfigUnreadable);
    if (!unreadable.empty())
        text += fmt::format("the store's latest configuration cannot be read by: {}\n", fmt::join(unreadable, ", "));
    const std::vector<std::string> unusable = vmsWith(vms, &VmStatus::m_isSettingsFileUnusable);
    if (!unusable.empty())
        text += fmt::format("would not start again with their settings file: {}\n", fmt::join(unusable, ", "));
    const std::vector<std::string> earlierEra = vmsOfEarlierEra(vms);
    if (!earlierEra.empty())
        text += fmt::format("with the state of before the store was restored: {}\n", fmt::join(earlierEra, ", "));
    text += evacuationLines(vms);
    return text;
}

std::string statusJson(std::span<const VmStatus> vms)
{
    boost::json::array rows;
    for (const VmStatus& vm : vms) {
        boost::json::object row { { "vm", formatEndpoint(vm.m_metrics) } };
        if (!vm.m_problem.empty()) {
            row["problem"] = vm.m_problem;
        } else {
            row["config_version"] = vm.m_configVersion.m_number;
            row["ready"] = vm.m_isReady;
            row["follows_store"] = vm.m_followsStore;
            row["knowledge_age_s"] = vm.m_storeContactAgeSeconds;
            row["backends_ready"] = vm.m_backendsReady;
            row["backends_other"] = vm.m_backendsOther;
            row["peers"] = vm.m_peers;
            row["flows"] = vm.m_flows;
            row["stored_config_unreadable"] = vm.m_isStoredConfigUnreadable;
            row["settings_file_unusable"] = vm.m_isSettingsFileUnusable;
            row["store_era"] = vm.m_storeEra;
            boost::json::object evacuations;
            for (const auto& [zone, age] : vm.m_evacuationAges)
                evacuations[zone] = age;
            row["evacuation_age_s"] = std::move(evacuations);
        }
        rows.push_back(std::move(row));
    }
    return boost::json::serialize(
               boost::json::object { { "highest_version", highestVersion(vms).m_number }, { "vms", std::move(rows) } })
        + '\n';
}

} // namespace cuminrelay
