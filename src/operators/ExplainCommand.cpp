#include "operators/ExplainCommand.h"

#include "configuration/ConfigurationJson.h"
#include "configuration/Edit.h"
#include "configuration/Lookup.h"
#include "configuration/Selector.h"
#include "flows/OwnerMap.h"
#include "flows/ServiceTables.h"
#include "operators/Fleet.h"
#include "packets/Packet.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view c_arrow = "->";

    std::string trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(' ');
        const std::size_t last = text.find_last_not_of(' ');
        return first == std::string_view::npos ? std::string {} : std::string { text.substr(first, last - first + 1) };
    }

    /// Parses "caller -> service".
    Outcome<FlowKey> parseFlow(const std::vector<std::string>& arguments, std::string_view protocol)
    {
        const std::string text = fmt::format("{}", fmt::join(arguments, " "));
        const std::size_t arrow = text.find(c_arrow);
        const Outcome<Endpoint> caller = parseEndpoint(trimmed(std::string_view { text }.substr(0, arrow)));
        if (!caller)
            return caller.error();
        const Outcome<Endpoint> service
            = parseEndpoint(trimmed(std::string_view { text }.substr(arrow + c_arrow.size())));
        if (!service)
            return service.error();
        const Outcome<Protocol> parsed = parseProtocol(protocol);
        if (!parsed)
            return parsed.error();
        return FlowKey { caller.value(), service.value(), parsed.value() };
    }

    std::string requirementText(const SelectorRequirement& requirement)
    {
        return formatSelector(Selector { { requirement } });
    }

    std::string labelText(const Labels& labels, const std::string& key)
    {
        const auto label = labels.find(key);
        return label == labels.end() ? fmt::format("no label {}", key) : fmt::format("{}={}", key, label->second);
    }

    /// "matches", or the first unmet requirement and the label of the host.
    std::string matchText(const Selector& selector, const Labels& labels)
    {
        for (const SelectorRequirement& requirement : selector.m_requirements) {
            if (!matches(requirement, labels)) {
                return fmt::format("does not match: \"{}\" is not met, the host has {}", requirementText(requirement),
                    labelText(labels, requirement.m_key));
            }
        }
        return "matches";
    }

    std::string loadText(const BackendServer& host, const HostStatus* status)
    {
        if (!status)
            return "health and load: not reported yet";
        return fmt::format("health: {}; load: {} of {} connections, {} of {} slots busy, {} queued", status->m_health,
            status->m_connections, host.m_connectionLimit, status->m_busySlots, host.m_slots, status->m_queued);
    }

    /// Reasons why the host gets no new flows; empty if it gets them.
    std::vector<std::string> reasonsForNoNewFlows(const BackendServer& host, const HostStatus* status, bool selected)
    {
        std::vector<std::string> reasons;
        if (!selected)
            reasons.emplace_back("no service selects it");
        if (host.m_draining)
            reasons.emplace_back("it is draining");
        if (status && status->m_health != "healthy")
            reasons.push_back(fmt::format("it is {}", status->m_health));
        if (status && status->m_connections >= host.m_connectionLimit)
            reasons.emplace_back("its connection limit is reached");
        return reasons;
    }

    CommandResult explainHost(const Fleet& fleet, const BackendServer& host)
    {
        const Configuration& configuration = fleet.m_configuration;
        const HostStatus* const status = findHostStatus(fleet.m_zones, host.m_tunnel);
        boost::json::array services;
        std::string text;
        bool selected = false;
        for (const Service& service : configuration.m_services) {
            const std::string result = matchText(service.m_selector, host.m_labels);
            const bool match = matches(service.m_selector, host.m_labels);
            selected = selected || match;
            services.emplace_back(boost::json::object { { "service", service.m_name },
                { "selector", formatSelector(service.m_selector) }, { "selected", match }, { "reason", result } });
            text += fmt::format(
                "service {}: selector \"{}\" {}\n", service.m_name, formatSelector(service.m_selector), result);
        }
        text += loadText(host, status) + '\n';
        const std::vector<std::string> reasons = reasonsForNoNewFlows(host, status, selected);
        const EditRecord* const last = lastEditTouching(configuration, fmt::format("host/{}", host.m_name), {});
        if (last) {
            text += fmt::format(
                "last changed by {} at version {} ({})\n", last->m_author, last->m_version.m_number, last->m_summary);
        }
        text += reasons.empty() ? fmt::format("host {} gets new flows\n", host.m_name)
                                : fmt::format("host {} gets no new flows: {}\n", host.m_name, fmt::join(reasons, "; "));
        boost::json::object object { { "host", backendServerJson(host) }, { "services", std::move(services) },
            { "gets_new_flows", reasons.empty() }, { "reasons", boost::json::array(reasons.begin(), reasons.end()) },
            { "health", status ? boost::json::value(status->m_health) : boost::json::value() } };
        return { CommandStatus::Success, std::move(object), std::move(text) };
    }

    std::string memberName(const Fleet& fleet, const OwnerMap& map, MemberIndex index)
    {
        if (index == c_noMember)
            return "none";
        const Endpoint peers = map.member(index);
        const auto vm = std::ranges::find(fleet.m_vms, peers, &Member::m_peers);
        return vm != fleet.m_vms.end() ? vm->m_name : formatEndpoint(peers);
    }

    std::string hostNameAt(const Configuration& configuration, Endpoint tunnel)
    {
        const auto host = std::ranges::find(configuration.m_backendServers, tunnel, &BackendServer::m_tunnel);
        return host != configuration.m_backendServers.end() ? host->m_name : "none";
    }

    CommandResult explainFlow(const Fleet& fleet, const FlowKey& key)
    {
        const Configuration& configuration = fleet.m_configuration;
        const FlowHash hash = hashFlow(key);
        const Bucket bucket = bucketOf(hash);
        const OwnerMap owners { fleet.m_vms };
        const ServiceTables tables { configuration };
        const ServiceTable* const service = tables.find(key.m_service, key.m_protocol);
        if (!service) {
            boost::json::object object { { "service", nullptr }, { "reason", "unknown_service" } };
            return { CommandStatus::NotAchieved, std::move(object),
                fmt::format("no service has address {}/{}; packets to it are dropped\n", formatEndpoint(key.m_service),
                    protocolName(key.m_protocol)) };
        }
        const std::string zone
            = configuration.m_zones.empty() ? "none" : configuration.m_zones[tables.homeZone(bucket)];
        const std::string owner = memberName(fleet, owners, owners.owners(bucket).m_owner);
        const std::string successor = memberName(fleet, owners, owners.owners(bucket).m_successor);
        const std::string host = hostNameAt(configuration, tables.defaultBackend(key, hash));
        boost::json::object object { { "service", service->name() }, { "hash", fmt::format("{:016x}", hash.m_value) },
            { "bucket", bucket }, { "home_zone", zone }, { "owner", owner }, { "successor", successor },
            { "default_host", host }, { "version", configuration.m_version.m_number } };
        std::string text = fmt::format("flow {} -> {}/{} of service {}\n", formatEndpoint(key.m_caller),
            formatEndpoint(key.m_service), protocolName(key.m_protocol), service->name());
        text += fmt::format("hash {:016x}, bucket {}, home zone {}\n", hash.m_value, bucket, zone);
        text += fmt::format("owner {}, successor {}\n", owner, successor);
        text += fmt::format("default host {} under version {}\n", host, configuration.m_version.m_number);
        text += "the owner may have placed the flow on another host, or the flow may be older than this version\n";
        return { CommandStatus::Success, std::move(object), std::move(text) };
    }

} // namespace

VerbHelp ExplainCommand::help() const
{
    return { "explain", "HOST | 'CALLER -> SERVICE'",
        "show why a host gets new flows or not, or the owner and the default host of a flow",
        "cuminrelayctl explain '10.1.2.3:40000 -> 10.9.0.1:443' --protocol tcp", { VerbOption::Protocol } };
}

asio::awaitable<Outcome<CommandResult>> ExplainCommand::run(CommandContext& context) const
{
    const std::vector<std::string>& arguments = context.m_options.m_arguments;
    const bool isFlow = std::ranges::any_of(
        arguments, [](const std::string& argument) { return argument.find(c_arrow) != std::string::npos; });
    if (arguments.empty() || (!isFlow && arguments.size() != 1))
        co_return Error { ErrorKind::InvalidInput, "explain: expected a host, or 'a.b.c.d:port -> a.b.c.d:port'" };
    std::optional<FlowKey> flow;
    if (isFlow) {
        const Outcome<FlowKey> parsed = parseFlow(arguments, context.m_options.m_protocol);
        if (!parsed)
            co_return parsed.error();
        flow = parsed.value();
    }
    const Outcome<Fleet> fleet = co_await readFleet(context.m_platform, context.m_deadline);
    if (!fleet)
        co_return fleet.error();
    if (flow)
        co_return explainFlow(fleet.value(), *flow);
    const BackendServer* const host
        = findBackendServer(fleet.value().m_configuration.m_backendServers, arguments.front());
    if (!host)
        co_return Error { ErrorKind::NotFound, fmt::format("there is no host \"{}\"", arguments.front()) };
    co_return explainHost(fleet.value(), *host);
}

} // namespace cuminrelay::operators
