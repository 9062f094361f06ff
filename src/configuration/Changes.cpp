#include "configuration/Changes.h"

#include "configuration/Lookup.h"
#include "configuration/Selector.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace cuminrelay {

namespace {

    Error conflict(std::string message)
    {
        return { ErrorKind::Conflict, std::move(message) };
    }

    Error notFound(std::string_view kind, std::string_view name)
    {
        return { ErrorKind::NotFound, fmt::format("there is no {} \"{}\"", kind, name) };
    }

    BackendServer* findHost(Configuration& configuration, std::string_view name)
    {
        return const_cast<BackendServer*>(findBackendServer(configuration.m_backendServers, name));
    }

    Service* findService(Configuration& configuration, std::string_view name)
    {
        return const_cast<Service*>(cuminrelay::findService(configuration.m_services, name));
    }

    std::string labelText(const std::optional<std::string>& value)
    {
        return value ? fmt::format("\"{}\"", *value) : "absent";
    }

    std::string_view drainingText(bool draining)
    {
        return draining ? "draining" : "not draining";
    }

    bool sameFields(const BackendServer& left, const BackendServer& right)
    {
        return left.m_zone == right.m_zone && left.m_tunnel == right.m_tunnel && left.m_report == right.m_report
            && left.m_slots == right.m_slots && left.m_connectionLimit == right.m_connectionLimit;
    }

    std::string fieldsText(const BackendServer& backend)
    {
        return fmt::format("zone {}, tunnel {}, report {}, {} slots, {} connections", backend.m_zone,
            formatEndpoint(backend.m_tunnel), formatEndpoint(backend.m_report), backend.m_slots,
            backend.m_connectionLimit);
    }

    bool sameAddress(const Service& left, const Service& right)
    {
        return left.m_address == right.m_address && left.m_protocol == right.m_protocol;
    }

    std::string addressText(const Service& service)
    {
        return fmt::format(
            "{}/{}", formatEndpoint(service.m_address), service.m_protocol == Protocol::Udp ? "udp" : "tcp");
    }

    /// Inserts into a sequence sorted by name. False when an equal element exists. Errors: Conflict.
    template <typename Element>
    Outcome<bool> insertNamed(std::vector<Element>& elements, const Element& value, std::string_view kind)
    {
        const auto position = std::ranges::lower_bound(elements, value.m_name, {}, &Element::m_name);
        if (position == elements.end() || position->m_name != value.m_name) {
            elements.insert(position, value);
            return true;
        }
        if (*position == value)
            return false;
        return conflict(fmt::format("{} \"{}\" already exists with different content", kind, value.m_name));
    }

    /// Erases from a sequence sorted by name. False when no element has the name. Errors: Conflict.
    template <typename Element>
    Outcome<bool> eraseNamed(std::vector<Element>& elements, const Element& expected, std::string_view kind)
    {
        const auto position = std::ranges::lower_bound(elements, expected.m_name, {}, &Element::m_name);
        if (position == elements.end() || position->m_name != expected.m_name)
            return false;
        if (*position != expected)
            return conflict(fmt::format("{} \"{}\" has changed since it was read", kind, expected.m_name));
        elements.erase(position);
        return true;
    }

} // namespace

LabelChange::LabelChange(LabelTarget target, std::string name, std::string key, std::optional<std::string> expected,
    std::optional<std::string> value)
    : m_target(target)
    , m_name(std::move(name))
    , m_key(std::move(key))
    , m_expected(std::move(expected))
    , m_value(std::move(value))
{
}

std::string LabelChange::targetPath() const
{
    return fmt::format("{}/{}", m_target == LabelTarget::Host ? "host" : "service", m_name);
}

std::string LabelChange::path() const
{
    return fmt::format("{}/label/{}", targetPath(), m_key);
}

std::string LabelChange::describe() const
{
    return fmt::format("{}: label {}: {} -> {}", targetPath(), m_key, labelText(m_expected), labelText(m_value));
}

Outcome<bool> LabelChange::apply(Configuration& configuration) const
{
    Labels* labels = nullptr;
    if (m_target == LabelTarget::Host) {
        BackendServer* const host = findHost(configuration, m_name);
        if (!host)
            return notFound("host", m_name);
        labels = &host->m_labels;
    } else {
        Service* const service = findService(configuration, m_name);
        if (!service)
            return notFound("service", m_name);
        labels = &service->m_labels;
    }

    const auto found = labels->find(m_key);
    const std::optional<std::string> current = found != labels->end() ? std::optional { found->second } : std::nullopt;
    if (current == m_value)
        return false;
    if (current != m_expected) {
        return conflict(fmt::format("label \"{}\" of {} is {}, not {} as this edit expects", m_key, targetPath(),
            labelText(current), labelText(m_expected)));
    }
    if (m_value)
        labels->insert_or_assign(m_key, *m_value);
    else
        labels->erase(m_key);
    return true;
}

SelectorChange::SelectorChange(std::string service, Selector expected, Selector value)
    : m_service(std::move(service))
    , m_expected(std::move(expected))
    , m_value(std::move(value))
{
}

std::string SelectorChange::path() const
{
    return fmt::format("service/{}/selector", m_service);
}

std::string SelectorChange::describe() const
{
    return fmt::format(
        "service/{}: selector: \"{}\" -> \"{}\"", m_service, formatSelector(m_expected), formatSelector(m_value));
}

Outcome<bool> SelectorChange::apply(Configuration& configuration) const
{
    Service* const service = findService(configuration, m_service);
    if (!service)
        return notFound("service", m_service);
    if (service->m_selector == m_value)
        return false;
    if (service->m_selector != m_expected) {
        return conflict(fmt::format("selector of service/{} is \"{}\", not \"{}\" as this edit expects", m_service,
            formatSelector(service->m_selector), formatSelector(m_expected)));
    }
    service->m_selector = m_value;
    return true;
}

DrainingChange::DrainingChange(std::string host, bool expected, bool value)
    : m_host(std::move(host))
    , m_expected(expected)
    , m_value(value)
{
}

std::string DrainingChange::path() const
{
    return fmt::format("host/{}/draining", m_host);
}

std::string DrainingChange::describe() const
{
    return fmt::format("host/{}: {} -> {}", m_host, drainingText(m_expected), drainingText(m_value));
}

Outcome<bool> DrainingChange::apply(Configuration& configuration) const
{
    BackendServer* const host = findHost(configuration, m_host);
    if (!host)
        return notFound("host", m_host);
    if (host->m_draining == m_value)
        return false;
    if (host->m_draining != m_expected) {
        return conflict(fmt::format("host/{} is {}, not {} as this edit expects", m_host,
            drainingText(host->m_draining), drainingText(m_expected)));
    }
    host->m_draining = m_value;
    return true;
}

HostFieldsChange::HostFieldsChange(BackendServer expected, BackendServer value)
    : m_expected(std::move(expected))
    , m_value(std::move(value))
{
}

std::string HostFieldsChange::path() const
{
    return fmt::format("host/{}/fields", m_value.m_name);
}

std::string HostFieldsChange::describe() const
{
    return fmt::format("host/{}: {} -> {}", m_value.m_name, fieldsText(m_expected), fieldsText(m_value));
}

Outcome<bool> HostFieldsChange::apply(Configuration& configuration) const
{
    BackendServer* const host = findHost(configuration, m_value.m_name);
    if (!host)
        return notFound("host", m_value.m_name);
    if (sameFields(*host, m_value))
        return false;
    if (!sameFields(*host, m_expected)) {
        return conflict(fmt::format(
            "host/{} has {}, not {} as this edit expects", m_value.m_name, fieldsText(*host), fieldsText(m_expected)));
    }
    host->m_zone = m_value.m_zone;
    host->m_tunnel = m_value.m_tunnel;
    host->m_report = m_value.m_report;
    host->m_slots = m_value.m_slots;
    host->m_connectionLimit = m_value.m_connectionLimit;
    return true;
}

ServiceAddressChange::ServiceAddressChange(Service expected, Service value)
    : m_expected(std::move(expected))
    , m_value(std::move(value))
{
}

std::string ServiceAddressChange::path() const
{
    return fmt::format("service/{}/address", m_value.m_name);
}

std::string ServiceAddressChange::describe() const
{
    return fmt::format("service/{}: address: {} -> {}", m_value.m_name, addressText(m_expected), addressText(m_value));
}

Outcome<bool> ServiceAddressChange::apply(Configuration& configuration) const
{
    Service* const service = findService(configuration, m_value.m_name);
    if (!service)
        return notFound("service", m_value.m_name);
    if (sameAddress(*service, m_value))
        return false;
    if (!sameAddress(*service, m_expected)) {
        return conflict(fmt::format("address of service/{} is {}, not {} as this edit expects", m_value.m_name,
            addressText(*service), addressText(m_expected)));
    }
    service->m_address = m_value.m_address;
    service->m_protocol = m_value.m_protocol;
    return true;
}

HostAddition::HostAddition(BackendServer value)
    : m_value(std::move(value))
{
}

std::string HostAddition::path() const
{
    return fmt::format("host/{}", m_value.m_name);
}

std::string HostAddition::describe() const
{
    return fmt::format("host/{}: added: {}", m_value.m_name, fieldsText(m_value));
}

Outcome<bool> HostAddition::apply(Configuration& configuration) const
{
    return insertNamed(configuration.m_backendServers, m_value, "host");
}

HostRemoval::HostRemoval(BackendServer expected)
    : m_expected(std::move(expected))
{
}

std::string HostRemoval::path() const
{
    return fmt::format("host/{}", m_expected.m_name);
}

std::string HostRemoval::describe() const
{
    return fmt::format("host/{}: removed", m_expected.m_name);
}

Outcome<bool> HostRemoval::apply(Configuration& configuration) const
{
    return eraseNamed(configuration.m_backendServers, m_expected, "host");
}

ServiceAddition::ServiceAddition(Service value)
    : m_value(std::move(value))
{
}

std::string ServiceAddition::path() const
{
    return fmt::format("service/{}", m_value.m_name);
}

std::string ServiceAddition::describe() const
{
    return fmt::format(
        "service/{}: added: {}, \"{}\"", m_value.m_name, addressText(m_value), formatSelector(m_value.m_selector));
}

Outcome<bool> ServiceAddition::apply(Configuration& configuration) const
{
    return insertNamed(configuration.m_services, m_value, "service");
}

ServiceRemoval::ServiceRemoval(Service expected)
    : m_expected(std::move(expected))
{
}

std::string ServiceRemoval::path() const
{
    return fmt::format("service/{}", m_expected.m_name);
}

std::string ServiceRemoval::describe() const
{
    return fmt::format("service/{}: removed", m_expected.m_name);
}

Outcome<bool> ServiceRemoval::apply(Configuration& configuration) const
{
    return eraseNamed(configuration.m_services, m_expected, "service");
}

ZoneChange::ZoneChange(std::string zone, bool present)
    : m_zone(std::move(zone))
    , m_present(present)
{
}

std::string ZoneChange::path() const
{
    return fmt::format("zone/{}", m_zone);
}

std::string ZoneChange::describe() const
{
    return fmt::format("zone/{}: {}", m_zone, m_present ? "added" : "removed");
}

Outcome<bool> ZoneChange::apply(Configuration& configuration) const
{
    const auto position = std::ranges::lower_bound(configuration.m_zones, m_zone);
    const bool present = position != configuration.m_zones.end() && *position == m_zone;
    if (present == m_present)
        return false;
    if (m_present)
        configuration.m_zones.insert(position, m_zone);
    else
        configuration.m_zones.erase(position);
    return true;
}

} // namespace cuminrelay
