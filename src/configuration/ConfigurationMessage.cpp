#include "configuration/ConfigurationMessage.h"

#include "configuration/Check.h"
#include "configuration/Lookup.h"

#include <algorithm>
#include <capnp/list.h>
#include <fmt/format.h>
#include <kj/exception.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace cuminrelay {

namespace {

    std::string toString(capnp::Text::Reader text)
    {
        return { text.begin(), text.size() };
    }

    unsigned toSize(std::size_t size)
    {
        return static_cast<unsigned>(size);
    }

    void writeTexts(std::span<const std::string> texts, capnp::List<capnp::Text>::Builder out)
    {
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, capnp::Text::Reader { texts[i].c_str(), texts[i].size() });
    }

    std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader texts)
    {
        std::vector<std::string> result;
        result.reserve(texts.size());
        for (const capnp::Text::Reader text : texts)
            result.push_back(toString(text));
        return result;
    }

    void writeLabels(const Labels& labels, capnp::List<wire::Label>::Builder out)
    {
        unsigned i = 0;
        for (const auto& [key, value] : labels) {
            wire::Label::Builder label = out[i++];
            label.setKey(key);
            label.setValue(value);
        }
    }

    Labels readLabels(capnp::List<wire::Label>::Reader labels)
    {
        Labels result;
        for (const wire::Label::Reader label : labels)
            result[toString(label.getKey())] = toString(label.getValue());
        return result;
    }

    void writeElement(const BackendServer& backend, wire::BackendServer::Builder out)
    {
        out.setName(backend.m_name);
        out.setZone(backend.m_zone);
        out.setTunnel(backend.m_tunnel.packed());
        out.setReport(backend.m_report.packed());
        out.setSlots(backend.m_slots);
        out.setConnectionLimit(backend.m_connectionLimit);
        out.setDraining(backend.m_draining);
        writeLabels(backend.m_labels, out.initLabels(toSize(backend.m_labels.size())));
    }

    BackendServer readElement(wire::BackendServer::Reader backend)
    {
        return {
            .m_name = toString(backend.getName()),
            .m_zone = toString(backend.getZone()),
            .m_tunnel = Endpoint::fromPacked(backend.getTunnel()),
            .m_report = Endpoint::fromPacked(backend.getReport()),
            .m_connectionLimit = backend.getConnectionLimit(),
            .m_slots = backend.getSlots(),
            .m_draining = backend.getDraining(),
            .m_labels = readLabels(backend.getLabels()),
        };
    }

    void writeElement(const Service& service, wire::Service::Builder out)
    {
        out.setName(service.m_name);
        out.setAddress(service.m_address.packed());
        out.setProtocol(static_cast<std::uint8_t>(service.m_protocol));
        const std::vector<SelectorRequirement>& requirements = service.m_selector.m_requirements;
        capnp::List<wire::Requirement>::Builder list = out.initRequirements(toSize(requirements.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setKey(requirements[i].m_key);
            list[i].setOperator(static_cast<std::uint8_t>(requirements[i].m_operator));
            writeTexts(requirements[i].m_values, list[i].initValues(toSize(requirements[i].m_values.size())));
        }
        writeLabels(service.m_labels, out.initLabels(toSize(service.m_labels.size())));
    }

    Service readElement(wire::Service::Reader service)
    {
        Service result {
            .m_name = toString(service.getName()),
            .m_address = Endpoint::fromPacked(service.getAddress()),
            .m_protocol = static_cast<Protocol>(service.getProtocol()),
            .m_selector = {},
            .m_labels = readLabels(service.getLabels()),
        };
        for (const wire::Requirement::Reader requirement : service.getRequirements()) {
            result.m_selector.m_requirements.push_back({
                toString(requirement.getKey()),
                static_cast<SelectorOperator>(requirement.getOperator()),
                readTexts(requirement.getValues()),
            });
        }
        return result;
    }

    void writeElement(const EditRecord& edit, wire::Edit::Builder out)
    {
        out.setId(edit.m_id);
        out.setAuthor(edit.m_author);
        out.setSummary(edit.m_summary);
        out.setVersion(edit.m_version.m_number);
        out.setUnixSeconds(edit.m_unixSeconds);
        writeTexts(edit.m_touched, out.initTouched(toSize(edit.m_touched.size())));
    }

    EditRecord readElement(wire::Edit::Reader edit)
    {
        return {
            .m_id = toString(edit.getId()),
            .m_author = toString(edit.getAuthor()),
            .m_summary = toString(edit.getSummary()),
            .m_version = { edit.getVersion() },
            .m_unixSeconds = edit.getUnixSeconds(),
            .m_touched = readTexts(edit.getTouched()),
        };
    }

    /// Difference between two sequences that are sorted by name.
    template <typename Element> struct Difference {
        std::vector<const Element*> m_changed;
        std::vector<std::string> m_removed;
    };

    template <typename Element>
    Difference<Element> difference(std::span<const Element> base, std::span<const Element> target)
    {
        Difference<Element> result;
        auto baseElement = base.begin();
        for (const Element& element : target) {
            for (; baseElement != base.end() && baseElement->m_name < element.m_name; ++baseElement)
                result.m_removed.push_back(baseElement->m_name);
            const bool isInBase = baseElement != base.end() && baseElement->m_name == element.m_name;
            if (!isInBase || *baseElement != element)
                result.m_changed.push_back(&element);
            if (isInBase)
                ++baseElement;
        }
        for (; baseElement != base.end(); ++baseElement)
            result.m_removed.push_back(baseElement->m_name);
        return result;
    }

    template <typename Element, typename List> void writeElements(std::span<const Element* const> elements, List list)
    {
        for (unsigned i = 0; i < list.size(); ++i)
            writeElement(*elements[i], list[i]);
    }

    /// Applies a difference to a sequence; the result is sorted by name.
    template <typename Element, typename List>
    std::vector<Element> applyDifference(
        std::span<const Element> base, List changed, capnp::List<capnp::Text>::Reader removed)
    {
        std::map<std::string, Element, std::less<>> byName;
        for (const Element& element : base)
            byName.emplace(element.m_name, element);
        for (const capnp::Text::Reader name : removed)
            byName.erase(toString(name));
        for (const auto element : changed) {
            Element read = readElement(element);
            std::string name = read.m_name;
            byName.insert_or_assign(std::move(name), std::move(read));
        }
        std::vector<Element> result;
        result.reserve(byName.size());
        for (auto& [name, element] : byName)
            result.push_back(std::move(element));
        return result;
    }

    /// Number of edits in target that follow those of base; nullopt when target does not continue base.
    std::optional<std::size_t> newEditCount(std::span<const EditRecord> base, std::span<const EditRecord> target)
    {
        if (base.empty())
            return target.size();
        const auto last = std::ranges::find(target, base.back());
        if (last == target.end())
            return std::nullopt;
        const std::size_t common = static_cast<std::size_t>(last - target.begin()) + 1;
        const std::size_t added = target.size() - common;
        const std::size_t expected = std::min(c_maximumHistory - std::min(added, c_maximumHistory), base.size());
        if (common != expected || !std::ranges::equal(target.first(common), base.last(common)))
            return std::nullopt;
        return added;
    }

    std::vector<EditRecord> appendNewEdits(std::span<const EditRecord> base, capnp::List<wire::Edit>::Reader newEdits)
    {
        std::vector<EditRecord> result { base.begin(), base.end() };
        for (const wire::Edit::Reader edit : newEdits)
            result.push_back(readElement(edit));
        if (result.size() > c_maximumHistory)
            result.erase(result.begin(), result.end() - static_cast<std::ptrdiff_t>(c_maximumHistory));
        return result;
    }

    void writeDifference(const Configuration& base, const Configuration& target, std::size_t newEdits,
        wire::ConfigurationUpdate::Builder update)
    {
        update.setBase(base.m_version.m_number);
        update.setVersion(target.m_version.m_number);
        writeTexts(target.m_zones, update.initZones(toSize(target.m_zones.size())));

        const Difference<BackendServer> backends
            = difference<BackendServer>(base.m_backendServers, target.m_backendServers);
        writeElements<BackendServer>(
            backends.m_changed, update.initChangedBackendServers(toSize(backends.m_changed.size())));
        writeTexts(backends.m_removed, update.initRemovedBackendServers(toSize(backends.m_removed.size())));

        const Difference<Service> services = difference<Service>(base.m_services, target.m_services);
        writeElements<Service>(services.m_changed, update.initChangedServices(toSize(services.m_changed.size())));
        writeTexts(services.m_removed, update.initRemovedServices(toSize(services.m_removed.size())));

        const std::span<const EditRecord> added = std::span { target.m_history }.last(newEdits);
        capnp::List<wire::Edit>::Builder edits = update.initNewEdits(toSize(added.size()));
        for (unsigned i = 0; i < edits.size(); ++i)
            writeElement(added[i], edits[i]);
    }

    Configuration read(const Configuration& base, wire::ConfigurationUpdate::Reader update)
    {
        return {
            .m_version = { update.getVersion() },
            .m_zones = readTexts(update.getZones()),
            .m_backendServers = applyDifference<BackendServer>(
                base.m_backendServers, update.getChangedBackendServers(), update.getRemovedBackendServers()),
            .m_services
            = applyDifference<Service>(base.m_services, update.getChangedServices(), update.getRemovedServices()),
            .m_history = appendNewEdits(base.m_history, update.getNewEdits()),
        };
    }

} // namespace

void writeUpdate(const Configuration& base, const Configuration& target, wire::ConfigurationUpdate::Builder update)
{
    const std::optional<std::size_t> newEdits = newEditCount(base.m_history, target.m_history);
    const bool isComplete = base.m_version.m_number == 0 || !newEdits;
    const Configuration emptyConfiguration;
    writeDifference(
        isComplete ? emptyConfiguration : base, target, isComplete ? target.m_history.size() : *newEdits, update);
}

Outcome<Configuration> applyUpdate(const Configuration& base, wire::ConfigurationUpdate::Reader update)
{
    const bool isComplete = update.getBase() == 0;
    if (!isComplete && update.getBase() != base.m_version.m_number) {
        return Error { ErrorKind::Stale,
            fmt::format("update is against base configuration version {}, but version {} is held", update.getBase(),
                base.m_version.m_number) };
    }
    // Cap'n Proto throws on malformed messages.
    try {
        Configuration result = read(isComplete ? Configuration {} : base, update);
        if (const Outcome<void> checked = checkConfiguration(result); !checked)
            return checked.error();
        return result;
    } catch (const kj::Exception& failure) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("malformed configuration update: {}", failure.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
