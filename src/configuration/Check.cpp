#include "configuration/Check.h"

#include "configuration/Lookup.h"
#include "configuration/Selector.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <unordered_set>
#include <utility>

namespace cuminrelay {

namespace {

    Error invalid(std::string message)
    {
        return { ErrorKind::InvalidInput, std::move(message) };
    }

    Error withLocation(std::string_view location, const Error& error)
    {
        return { error.m_kind, fmt::format("{}: {}", location, error.m_message) };
    }

    Outcome<void> checkLabels(const Labels& labels)
    {
        for (const auto& [key, value] : labels) {
            if (Outcome<void> checked = checkLabelKey(key); !checked)
                return checked;
            if (Outcome<void> checked = checkLabelValue(value); !checked)
                return checked;
        }
        return boost::outcome_v2::success();
    }

    bool hasValidValueCount(const SelectorRequirement& requirement)
    {
        switch (requirement.m_operator) {
        case SelectorOperator::Equals:
        case SelectorOperator::NotEquals:
            return requirement.m_values.size() == 1;
        case SelectorOperator::In:
        case SelectorOperator::NotIn:
            return !requirement.m_values.empty();
        case SelectorOperator::Exists:
        case SelectorOperator::DoesNotExist:
            return requirement.m_values.empty();
        }
        return false;
    }

    Outcome<void> checkSelector(const Selector& selector)
    {
        if (selector.m_requirements.empty())
            return invalid("found an empty selector; allowed: at least one requirement");
        for (const SelectorRequirement& requirement : selector.m_requirements) {
            if (Outcome<void> checked = checkLabelKey(requirement.m_key); !checked)
                return checked;
            if (!hasValidValueCount(requirement))
                return invalid(fmt::format("selector: wrong number of values for label \"{}\"; allowed: 1 for "
                                           "equality, at least 1 for sets, otherwise 0",
                    requirement.m_key));
            for (const std::string& value : requirement.m_values) {
                if (Outcome<void> checked = checkLabelValue(value); !checked)
                    return checked;
            }
        }
        return boost::outcome_v2::success();
    }

    Outcome<void> checkBackendServer(const BackendServer& backend, const Configuration& configuration)
    {
        if (!std::ranges::binary_search(configuration.m_zones, backend.m_zone)) {
            return invalid(
                fmt::format("found zone \"{}\"; allowed: {}", backend.m_zone, fmt::join(configuration.m_zones, ", ")));
        }
        for (const Endpoint endpoint : { backend.m_tunnel, backend.m_report }) {
            if (endpoint.m_address == 0 || endpoint.m_port == 0)
                return invalid("found a tunnel or report endpoint with address or port 0; allowed: a.b.c.d:port");
        }
        if (backend.m_slots == 0 || backend.m_connectionLimit == 0)
            return invalid("found 0 slots or a connection limit of 0; allowed: at least 1");
        return checkLabels(backend.m_labels);
    }

    Outcome<void> checkService(const Service& service)
    {
        if (service.m_address.m_address == 0 || service.m_address.m_port == 0)
            return invalid("found address or port 0; allowed: a.b.c.d:port");
        if (service.m_protocol != Protocol::Tcp && service.m_protocol != Protocol::Udp)
            return invalid("found an unknown protocol; allowed: tcp, udp");
        if (Outcome<void> checked = checkSelector(service.m_selector); !checked)
            return checked;
        return checkLabels(service.m_labels);
    }

    /// Checks that names are valid, unique and sorted.
    template <typename Element> Outcome<void> checkNames(std::string_view kind, const std::vector<Element>& elements)
    {
        const std::string* previous = nullptr;
        for (const Element& element : elements) {
            if (Outcome<void> checked = checkName(element.m_name); !checked)
                return withLocation(kind, checked.error());
            if (previous && element.m_name == *previous)
                return invalid(fmt::format("{} \"{}\" is declared twice", kind, element.m_name));
            if (previous && element.m_name < *previous)
                return invalid(fmt::format("{} \"{}\" is out of order; allowed: sorted by name", kind, element.m_name));
            previous = &element.m_name;
        }
        return boost::outcome_v2::success();
    }

    Outcome<void> checkZones(const std::vector<std::string>& zones)
    {
        for (const std::string& zone : zones) {
            if (Outcome<void> checked = checkName(zone); !checked)
                return withLocation("zones", checked.error());
        }
        if (std::ranges::adjacent_find(zones, std::greater_equal<> {}) != zones.end())
            return invalid("zones: not sorted, or one occurs twice; allowed: sorted by name, each once");
        return boost::outcome_v2::success();
    }

    Outcome<void> checkUniqueTunnels(const std::vector<BackendServer>& backendServers)
    {
        std::unordered_set<std::uint64_t> tunnels;
        for (const BackendServer& backend : backendServers) {
            if (!tunnels.insert(backend.m_tunnel.packed()).second) {
                return invalid(fmt::format("host \"{}\": tunnel {} belongs to another host already", backend.m_name,
                    formatEndpoint(backend.m_tunnel)));
            }
        }
        return boost::outcome_v2::success();
    }

    bool hasBackendServerForNewFlows(const Service& service, const Configuration& configuration)
    {
        return std::ranges::any_of(configuration.m_backendServers, [&service](const BackendServer& backend) {
            return !backend.m_draining && matches(service.m_selector, backend.m_labels);
        });
    }

    Outcome<void> checkKeepsBackendServers(
        const Service& service, const Configuration& before, const Configuration& after)
    {
        if (hasBackendServerForNewFlows(service, after))
            return boost::outcome_v2::success();
        const Service* const previous = findService(before.m_services, service.m_name);
        if (previous && !hasBackendServerForNewFlows(*previous, before))
            return boost::outcome_v2::success();
        const std::size_t selected = selectBackends(service, after).size();
        if (selected == 0) {
            return invalid(fmt::format("service \"{}\": selector \"{}\" would match no host; change it, or use --force",
                service.m_name, formatSelector(service.m_selector)));
        }
        return invalid(fmt::format("service \"{}\": all {} hosts of selector \"{}\" would be draining; undrain one, or "
                                   "use --force",
            service.m_name, selected, formatSelector(service.m_selector)));
    }

    using ServiceNamesByAddress = std::map<Endpoint, std::vector<std::string_view>>;

    ServiceNamesByAddress namesByAddress(const Configuration& configuration)
    {
        ServiceNamesByAddress names;
        for (const Service& service : configuration.m_services)
            names[service.m_address].emplace_back(service.m_name);
        return names;
    }

} // namespace

Outcome<void> checkConfiguration(const Configuration& configuration)
{
    if (Outcome<void> checked = checkZones(configuration.m_zones); !checked)
        return checked;
    if (Outcome<void> checked = checkNames("host", configuration.m_backendServers); !checked)
        return checked;
    if (Outcome<void> checked = checkNames("service", configuration.m_services); !checked)
        return checked;
    for (const BackendServer& backend : configuration.m_backendServers) {
        if (Outcome<void> checked = checkBackendServer(backend, configuration); !checked)
            return withLocation(fmt::format("host \"{}\"", backend.m_name), checked.error());
    }
    for (const Service& service : configuration.m_services) {
        if (Outcome<void> checked = checkService(service); !checked)
            return withLocation(fmt::format("service \"{}\"", service.m_name), checked.error());
    }
    if (configuration.m_history.size() > c_maximumHistory)
        return invalid(fmt::format("history: too many edits; allowed: at most {}", c_maximumHistory));
    return checkUniqueTunnels(configuration.m_backendServers);
}

Outcome<void> checkChange(const Configuration& before, const Configuration& after)
{
    for (const Service& service : after.m_services) {
        if (Outcome<void> checked = checkKeepsBackendServers(service, before, after); !checked)
            return checked;
    }
    const ServiceNamesByAddress namesBefore = namesByAddress(before);
    for (const auto& [address, names] : namesByAddress(after)) {
        const auto previous = namesBefore.find(address);
        if (names.size() > 1 && (previous == namesBefore.end() || previous->second != names)) {
            return invalid(fmt::format("services \"{}\" would share address {}; change one, or use --force",
                fmt::join(names, "\", \""), formatEndpoint(address)));
        }
    }
    return boost::outcome_v2::success();
}

} // namespace cuminrelay
