#include "configuration/ConfigurationJson.h"

#include "configuration/Check.h"
#include "configuration/Selector.h"
#include "settings/JsonFields.h"
#include "settings/JsonText.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::string_view c_objectName = "config/current";
    constexpr std::uint64_t c_maximumSlots = std::numeric_limits<std::uint16_t>::max();
    constexpr std::uint64_t c_maximumConnections = std::numeric_limits<std::uint32_t>::max();
    constexpr std::uint64_t c_maximumVersion = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t c_maximumUnixSeconds = std::numeric_limits<std::int64_t>::max();

    Outcome<EditRecord> parseEditRecord(const boost::json::value& value, std::string_view location)
    {
        JsonFields fields { value, location, JsonFields::UnknownMembers::Refuse };
        EditRecord edit {
            .m_id = fields.requiredText("id"),
            .m_author = fields.text("author"),
            .m_summary = fields.text("summary"),
            .m_version = { fields.requiredInteger("version", 0, c_maximumVersion) },
            .m_unixSeconds = static_cast<std::int64_t>(fields.integer("unix_seconds", 0, 0, c_maximumUnixSeconds)),
            .m_touched = fields.texts("touched"),
        };
        if (const Outcome<void> finished = fields.finish(); !finished)
            return finished.error();
        return edit;
    }

    template <typename Element>
    Outcome<std::vector<Element>> parseElements(const boost::json::array& array, std::string_view key,
        Outcome<Element> (*parseElement)(const boost::json::value&, std::string_view))
    {
        std::vector<Element> elements;
        elements.reserve(array.size());
        for (const boost::json::value& value : array) {
            Outcome<Element> element
                = parseElement(value, fmt::format("{}: {}[{}]", c_objectName, key, elements.size()));
            if (!element)
                return element.error();
            elements.push_back(std::move(element.value()));
        }
        return elements;
    }

    boost::json::object labelsJson(const Labels& labels)
    {
        boost::json::object object;
        for (const auto& [key, value] : labels)
            object[key] = value;
        return object;
    }

    boost::json::array textsJson(const std::vector<std::string>& texts)
    {
        boost::json::array array;
        for (const std::string& text : texts)
            array.emplace_back(text);
        return array;
    }

} // namespace

Outcome<Configuration> parseConfiguration(std::string_view text, ConfigVersion version)
{
    if (text.size() > c_maximumConfigurationBytes) {
        return Error { ErrorKind::InvalidInput,
            fmt::format(
                "{}: found {} bytes; allowed: at most {}", c_objectName, text.size(), c_maximumConfigurationBytes) };
    }
    const Outcome<boost::json::value> parsed = parseJsonText(c_objectName, text);
    if (!parsed)
        return parsed.error();

    JsonFields fields { parsed.value(), c_objectName, JsonFields::UnknownMembers::Refuse };
    Configuration configuration;
    configuration.m_version = version;
    configuration.m_zones = fields.texts("zones");
    const boost::json::array& backendServers = fields.array("backend_servers");
    const boost::json::array& services = fields.array("services");
    const boost::json::array& history = fields.array("history");
    if (const Outcome<void> finished = fields.finish(); !finished)
        return finished.error();

    Outcome<std::vector<BackendServer>> parsedBackends
        = parseElements<BackendServer>(backendServers, "backend_servers", parseBackendServer);
    if (!parsedBackends)
        return parsedBackends.error();
    configuration.m_backendServers = std::move(parsedBackends.value());

    Outcome<std::vector<Service>> parsedServices = parseElements<Service>(services, "services", parseService);
    if (!parsedServices)
        return parsedServices.error();
    configuration.m_services = std::move(parsedServices.value());

    Outcome<std::vector<EditRecord>> parsedHistory = parseElements<EditRecord>(history, "history", parseEditRecord);
    if (!parsedHistory)
        return parsedHistory.error();
    configuration.m_history = std::move(parsedHistory.value());

    std::ranges::sort(configuration.m_zones);
    std::ranges::sort(configuration.m_backendServers, {}, &BackendServer::m_name);
    std::ranges::sort(configuration.m_services, {}, &Service::m_name);
    if (const Outcome<void> checked = checkConfiguration(configuration); !checked) {
        return Error { ErrorKind::InvalidInput, fmt::format("{}: {}", c_objectName, checked.error().m_message) };
    }
    return configuration;
}

std::string formatConfiguration(const Configuration& configuration)
{
    boost::json::array backendServers;
    for (const BackendServer& backend : configuration.m_backendServers)
        backendServers.emplace_back(backendServerJson(backend));
    boost::json::array services;
    for (const Service& service : configuration.m_services)
        services.emplace_back(serviceJson(service));
    boost::json::array history;
    for (const EditRecord& edit : configuration.m_history)
        history.emplace_back(editRecordJson(edit));

    boost::json::object object;
    object["zones"] = textsJson(configuration.m_zones);
    object["backend_servers"] = std::move(backendServers);
    object["services"] = std::move(services);
    object["history"] = std::move(history);
    return boost::json::serialize(object);
}

Outcome<BackendServer> parseBackendServer(const boost::json::value& value, std::string_view location)
{
    JsonFields fields { value, location, JsonFields::UnknownMembers::Refuse };
    BackendServer backend {
        .m_name = fields.requiredText("name"),
        .m_zone = fields.requiredText("zone"),
        .m_tunnel = fields.requiredEndpoint("tunnel"),
        .m_report = fields.requiredEndpoint("report"),
        .m_connectionLimit
        = static_cast<std::uint32_t>(fields.requiredInteger("connection_limit", 1, c_maximumConnections)),
        .m_slots = static_cast<std::uint16_t>(fields.requiredInteger("slots", 1, c_maximumSlots)),
        .m_draining = fields.boolean("draining", false),
        .m_labels = fields.textMap("labels"),
    };
    if (const Outcome<void> finished = fields.finish(); !finished)
        return finished.error();
    return backend;
}

Outcome<Service> parseService(const boost::json::value& value, std::string_view location)
{
    JsonFields fields { value, location, JsonFields::UnknownMembers::Refuse };
    Service service {
        .m_name = fields.requiredText("name"),
        .m_address = fields.requiredEndpoint("address"),
        .m_protocol = Protocol::Tcp,
        .m_selector = {},
        .m_labels = fields.textMap("labels"),
    };
    const std::string protocol = fields.has("protocol") ? fields.requiredText("protocol") : fields.text("protocol");
    const std::string selector = fields.requiredText("selector");
    if (const Outcome<void> finished = fields.finish(); !finished)
        return finished.error();

    if (!protocol.empty()) {
        const Outcome<Protocol> parsed = parseProtocol(protocol);
        if (!parsed)
            return Error { ErrorKind::InvalidInput, fmt::format("{}: {}", location, parsed.error().m_message) };
        service.m_protocol = parsed.value();
    }
    Outcome<Selector> parsedSelector = parseSelector(selector);
    if (!parsedSelector)
        return Error { ErrorKind::InvalidInput, fmt::format("{}: {}", location, parsedSelector.error().m_message) };
    service.m_selector = std::move(parsedSelector.value());
    return service;
}

boost::json::object backendServerJson(const BackendServer& backend)
{
    boost::json::object object;
    object["name"] = backend.m_name;
    object["zone"] = backend.m_zone;
    object["tunnel"] = formatEndpoint(backend.m_tunnel);
    object["report"] = formatEndpoint(backend.m_report);
    object["slots"] = backend.m_slots;
    object["connection_limit"] = backend.m_connectionLimit;
    if (backend.m_draining)
        object["draining"] = true;
    if (!backend.m_labels.empty())
        object["labels"] = labelsJson(backend.m_labels);
    return object;
}

boost::json::object serviceJson(const Service& service)
{
    boost::json::object object;
    object["name"] = service.m_name;
    object["address"] = formatEndpoint(service.m_address);
    object["protocol"] = protocolName(service.m_protocol);
    object["selector"] = formatSelector(service.m_selector);
    if (!service.m_labels.empty())
        object["labels"] = labelsJson(service.m_labels);
    return object;
}

boost::json::object editRecordJson(const EditRecord& edit)
{
    boost::json::object object;
    object["id"] = edit.m_id;
    object["author"] = edit.m_author;
    object["summary"] = edit.m_summary;
    object["version"] = edit.m_version.m_number;
    object["unix_seconds"] = edit.m_unixSeconds;
    object["touched"] = textsJson(edit.m_touched);
    return object;
}

std::string_view protocolName(Protocol protocol)
{
    return protocol == Protocol::Udp ? "udp" : "tcp";
}

Outcome<Protocol> parseProtocol(std::string_view name)
{
    if (name == "tcp")
        return Protocol::Tcp;
    if (name == "udp")
        return Protocol::Udp;
    return Error { ErrorKind::InvalidInput, fmt::format("found protocol \"{}\"; allowed: tcp, udp", name) };
}

} // namespace cuminrelay
