#pragma once

#include "base/Endpoint.h"
#include "configuration/Model.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// What the requests that a service's flows carry allow.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< flows are kept open for many requests
    NonIdempotent, ///< may run once at most; a flow for each
    Upload, ///< as NonIdempotent, with a large body
};

/// A selector that takes a part of a service's new flows.
struct WeightedSelector {
    Selector m_selector;
    std::uint32_t m_weight = 1;

    friend bool operator==(const WeightedSelector&, const WeightedSelector&) = default;
};

/// A service as operators declare it for callers: an address and which backend servers answer for it.
struct DeclaredService {
    std::string m_name;
    Endpoint m_address;
    RequestKind m_kind = RequestKind::NonIdempotent;
    std::vector<WeightedSelector> m_selectors; ///< not empty

    friend bool operator==(const DeclaredService&, const DeclaredService&) = default;
};

/// Where backend servers can be asked, over HTTP, whether they serve and who they are.
struct HealthCheck {
    Selector m_selector;
    std::string m_path;

    friend bool operator==(const HealthCheck&, const HealthCheck&) = default;
};

/// All declared services under one version.
struct ServiceDeclarations {
    ConfigVersion m_version;
    std::vector<DeclaredService> m_services;
    std::vector<HealthCheck> m_healthChecks; ///< the first that selects a backend server holds
    std::chrono::milliseconds m_idleTimeout { 0 }; ///< a flow that is silent for longer may be forgotten; 0: not told
};

/// Position of a distinct selector in a ServiceMap.
using SelectorIndex = std::uint16_t;

/// Finds the service of an address. Equal selectors of several services are kept once, so that which backend servers
/// they select is worked out once. Memory: O(services). Built from declarations, never changed.
class ServiceMap {
public:
    struct Target {
        SelectorIndex m_selector = 0;
        std::uint32_t m_weight = 1;
    };

    struct Entry {
        RequestKind m_kind = RequestKind::NonIdempotent;
        std::vector<Target> m_targets;
    };

    ServiceMap() = default;
    explicit ServiceMap(const ServiceDeclarations& declarations);

    ConfigVersion version() const { return m_version; }

    /// The service of an address, or nullptr.
    const Entry* find(Endpoint address) const;

    /// Where a backend server with these labels is asked for its health; empty when nobody said.
    std::string_view healthPath(const Labels& labels) const;

    std::span<const Selector> selectors() const { return m_selectors; }
    std::size_t size() const { return m_entries.size(); }

private:
    SelectorIndex indexOf(const Selector& selector);

    ConfigVersion m_version;
    std::vector<Selector> m_selectors;
    std::vector<HealthCheck> m_healthChecks;
    boost::unordered_flat_map<std::uint64_t, Entry> m_entries;
};

} // namespace cuminrelay
