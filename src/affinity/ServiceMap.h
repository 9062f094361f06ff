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

enum class RequestKind : std::uint8_t {
    Idempotent, ///< flows stay open for many requests
    NonIdempotent, ///< run at most once; one flow for each
    Upload, ///< as NonIdempotent, with a large body
};

/// Selector with its share of a service's new flows.
struct WeightedSelector {
    Selector m_selector;
    std::uint32_t m_weight = 1;

    friend bool operator==(const WeightedSelector&, const WeightedSelector&) = default;
};

/// Service declared by operators: an address and the backend servers that serve it.
struct DeclaredService {
    std::string m_name;
    Endpoint m_address;
    RequestKind m_kind = RequestKind::NonIdempotent;
    std::vector<WeightedSelector> m_selectors; ///< not empty

    friend bool operator==(const DeclaredService&, const DeclaredService&) = default;
};

/// HTTP path at which the selected backend servers report their readiness and identity.
struct HealthCheck {
    Selector m_selector;
    std::string m_path;

    friend bool operator==(const HealthCheck&, const HealthCheck&) = default;
};

/// Maximum of WarmupDeclaration::m_requestsPerSecond: more than any backend server handles.
inline constexpr double c_maxWarmupRate = 1e6;

/// What the selected backend servers can take while they are cold.
struct WarmupDeclaration {
    Selector m_selector;
    std::chrono::milliseconds m_duration { 0 }; ///< of the warm-up after a start; 0: not declared
    double m_requestsPerSecond = 0; ///< that a cold backend server can handle; 0: not declared

    friend bool operator==(const WarmupDeclaration&, const WarmupDeclaration&) = default;
};

/// All declared services under one version.
struct ServiceDeclarations {
    ConfigVersion m_version;
    std::vector<DeclaredService> m_services;
    std::vector<HealthCheck> m_healthChecks; ///< the first match for a backend server applies
    std::vector<WarmupDeclaration> m_warmups; ///< the first match for a backend server applies
    std::size_t m_unknownKinds = 0; ///< services that were declared with an unknown kind; not sent to other VMs
    std::chrono::milliseconds m_idleTimeout { 0 }; ///< flows idle for longer may be removed; 0: not declared
};

/// Index of a distinct selector in a ServiceMap.
using SelectorIndex = std::uint16_t;

/// Finds the service of an address. Equal selectors of several services are stored once, so that their backend servers
/// are determined once. Immutable after construction. Memory: O(services).
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

    /// Returns the service of an address, or nullptr.
    const Entry* find(Endpoint address) const;

    /// Returns the health check path of a backend server with these labels; empty if none is declared.
    std::string_view healthPath(const Labels& labels) const;

    /// Returns the requests per second that a backend server with these labels can handle while it is cold; 0 if not
    /// declared. Cost: O(declarations of warm-ups).
    double warmupRate(const Labels& labels) const;

    /// Whether any rate is declared that warmupRate may return.
    bool hasWarmupRates() const { return m_hasWarmupRates; }

    /// Whether the declarations name the service of a backend server with these labels: a selector or a health check
    /// matches it.
    bool names(const Labels& labels) const;

    std::span<const Selector> selectors() const { return m_selectors; }
    std::size_t size() const { return m_entries.size(); }

private:
    SelectorIndex indexOf(const Selector& selector);

    ConfigVersion m_version;
    std::vector<Selector> m_selectors;
    std::vector<HealthCheck> m_healthChecks;
    std::vector<WarmupDeclaration> m_warmups;
    bool m_hasWarmupRates = false;
    boost::unordered_flat_map<std::uint64_t, Entry> m_entries;
};

} // namespace cuminrelay
