#include "configuration/Lookup.h"

#include "configuration/Selector.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    template <typename Element> const Element* findByName(std::span<const Element> elements, std::string_view name)
    {
        const auto found = std::ranges::lower_bound(elements, name, std::ranges::less {}, &Element::m_name);
        return found != elements.end() && found->m_name == name ? &*found : nullptr;
    }

} // namespace

std::vector<const BackendServer*> selectBackends(const Service& service, const Configuration& configuration)
{
    std::vector<const BackendServer*> selected;
    for (const BackendServer& backend : configuration.m_backendServers) {
        if (matches(service.m_selector, backend.m_labels))
            selected.push_back(&backend);
    }
    return selected;
}

const BackendServer* findBackendServer(std::span<const BackendServer> backendServers, std::string_view name)
{
    return findByName(backendServers, name);
}

const Service* findService(std::span<const Service> services, std::string_view name)
{
    return findByName(services, name);
}

const EditRecord* findEdit(std::span<const EditRecord> history, std::string_view id)
{
    const auto found = std::ranges::find(history, id, &EditRecord::m_id);
    return found != history.end() ? &*found : nullptr;
}

} // namespace cuminrelay
