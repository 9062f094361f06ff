#include "operators/Declarations.h"

#include "configuration/ConfigurationJson.h"
#include "configuration/Lookup.h"
#include "settings/JsonFields.h"
#include "settings/JsonText.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <utility>

namespace cuminrelay::operators {

namespace {

    constexpr std::size_t c_maximumFileBytes = 4'000'000;

    Outcome<void> parseHosts(std::string_view file, const boost::json::array& values, Declarations& declarations)
    {
        for (const boost::json::value& value : values) {
            const std::string location = fmt::format("{}: hosts[{}]", file, declarations.m_hosts.size());
            Outcome<BackendServer> host = parseBackendServer(value, location);
            if (!host)
                return host.error();
            const bool setsDraining = value.get_object().contains("draining");
            declarations.m_hosts.push_back({ std::move(host.value()), setsDraining });
        }
        return boost::outcome_v2::success();
    }

    Outcome<void> parseServices(std::string_view file, const boost::json::array& values, Declarations& declarations)
    {
        for (const boost::json::value& value : values) {
            const std::string location = fmt::format("{}: services[{}]", file, declarations.m_services.size());
            Outcome<Service> service = parseService(value, location);
            if (!service)
                return service.error();
            declarations.m_services.push_back(std::move(service.value()));
        }
        return boost::outcome_v2::success();
    }

    Outcome<void> parseAbsent(std::string_view file, const boost::json::value& value, Declarations& declarations)
    {
        const std::string location = fmt::format("{}: absent", file);
        JsonFields fields { value, location, JsonFields::UnknownMembers::Refuse };
        declarations.m_absentZones = fields.texts("zones");
        declarations.m_absentHosts = fields.texts("hosts");
        declarations.m_absentServices = fields.texts("services");
        return fields.finish();
    }

    std::optional<std::string> labelOf(const Labels& labels, std::string_view key)
    {
        const auto found = labels.find(key);
        return found != labels.end() ? std::optional { found->second } : std::nullopt;
    }

    void addLabelChanges(
        ChangeList& changes, LabelTarget target, const std::string& name, const Labels& current, const Labels& declared)
    {
        for (const auto& [key, value] : declared) {
            const std::optional<std::string> before = labelOf(current, key);
            if (before != value)
                changes.push_back(std::make_shared<LabelChange>(target, name, key, before, value));
        }
    }

    /// The declared host with the current labels and draining state, which have separate Change classes.
    BackendServer withCurrentLabelsAndDraining(const BackendServer& declared, const BackendServer& current)
    {
        BackendServer merged = declared;
        merged.m_labels = current.m_labels;
        merged.m_draining = current.m_draining;
        return merged;
    }

    void addHostChanges(ChangeList& changes, const DeclaredHost& declared, const Configuration& configuration)
    {
        const BackendServer& host = declared.m_host;
        const BackendServer* const current = findBackendServer(configuration.m_backendServers, host.m_name);
        if (!current) {
            changes.push_back(std::make_shared<HostAddition>(host));
            return;
        }
        if (withCurrentLabelsAndDraining(host, *current) != *current)
            changes.push_back(std::make_shared<HostFieldsChange>(*current, host));
        if (declared.m_setsDraining && host.m_draining != current->m_draining)
            changes.push_back(std::make_shared<DrainingChange>(host.m_name, current->m_draining, host.m_draining));
        addLabelChanges(changes, LabelTarget::Host, host.m_name, current->m_labels, host.m_labels);
    }

    void addServiceChanges(ChangeList& changes, const Service& service, const Configuration& configuration)
    {
        const Service* const current = findService(configuration.m_services, service.m_name);
        if (!current) {
            changes.push_back(std::make_shared<ServiceAddition>(service));
            return;
        }
        if (service.m_address != current->m_address || service.m_protocol != current->m_protocol)
            changes.push_back(std::make_shared<ServiceAddressChange>(*current, service));
        if (service.m_selector != current->m_selector) {
            changes.push_back(
                std::make_shared<SelectorChange>(service.m_name, current->m_selector, service.m_selector));
        }
        addLabelChanges(changes, LabelTarget::Service, service.m_name, current->m_labels, service.m_labels);
    }

} // namespace

Outcome<Declarations> loadDeclarations(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    std::string text(c_maximumFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.eof() && file.gcount() == 0)
        return Error { ErrorKind::NotFound, fmt::format("{}: cannot be read", path) };
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > c_maximumFileBytes) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("{}: larger than the allowed {} bytes", path, c_maximumFileBytes) };
    }
    return parseDeclarations(path, text);
}

Outcome<Declarations> parseDeclarations(std::string_view name, std::string_view text)
{
    const Outcome<boost::json::value> parsed = parseJsonText(name, text);
    if (!parsed)
        return parsed.error();
    JsonFields fields { parsed.value(), name, JsonFields::UnknownMembers::Refuse };
    Declarations declarations;
    declarations.m_zones = fields.texts("zones");
    const boost::json::array& hosts = fields.array("hosts");
    const boost::json::array& services = fields.array("services");
    const boost::json::value* const absent = fields.value("absent");
    if (const Outcome<void> finished = fields.finish(); !finished)
        return finished.error();
    if (const Outcome<void> done = parseHosts(name, hosts, declarations); !done)
        return done.error();
    if (const Outcome<void> done = parseServices(name, services, declarations); !done)
        return done.error();
    if (absent) {
        if (const Outcome<void> done = parseAbsent(name, *absent, declarations); !done)
            return done.error();
    }
    return declarations;
}

ChangeList changesTo(const Declarations& declarations, const Configuration& configuration)
{
    ChangeList changes;
    for (const std::string& zone : declarations.m_zones) {
        if (!std::ranges::binary_search(configuration.m_zones, zone))
            changes.push_back(std::make_shared<ZoneChange>(zone, true));
    }
    for (const DeclaredHost& host : declarations.m_hosts)
        addHostChanges(changes, host, configuration);
    for (const Service& service : declarations.m_services)
        addServiceChanges(changes, service, configuration);
    for (const std::string& name : declarations.m_absentServices) {
        if (const Service* const service = findService(configuration.m_services, name))
            changes.push_back(std::make_shared<ServiceRemoval>(*service));
    }
    for (const std::string& name : declarations.m_absentHosts) {
        if (const BackendServer* const host = findBackendServer(configuration.m_backendServers, name))
            changes.push_back(std::make_shared<HostRemoval>(*host));
    }
    for (const std::string& zone : declarations.m_absentZones) {
        if (std::ranges::binary_search(configuration.m_zones, zone))
            changes.push_back(std::make_shared<ZoneChange>(zone, false));
    }
    return changes;
}

} // namespace cuminrelay::operators
