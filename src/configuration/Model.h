#pragma once

#include "base/Endpoint.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Version of the configuration object in the platform's store. Each accepted change increments it by one, so versions
/// totally order all configurations. 0: no configuration received yet.
struct ConfigVersion {
    std::uint64_t m_number = 0;

    friend constexpr auto operator<=>(ConfigVersion, ConfigVersion) = default;
};

using Labels = std::map<std::string, std::string, std::less<>>;

enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

enum class SelectorOperator : std::uint8_t {
    Equals,
    NotEquals,
    In,
    NotIn,
    Exists,
    DoesNotExist,
};

/// One comma-separated part of a selector.
struct SelectorRequirement {
    std::string m_key;
    SelectorOperator m_operator = SelectorOperator::Exists;
    std::vector<std::string> m_values;

    friend bool operator==(const SelectorRequirement&, const SelectorRequirement&) = default;
};

/// A conjunction of requirements over labels, in the equality and set form of Kubernetes:
/// "app=kanteisha,tier in (gold,silver),!canary". An empty selector matches nothing.
struct Selector {
    std::vector<SelectorRequirement> m_requirements;

    friend bool operator==(const Selector&, const Selector&) = default;
};

/// A backend server as declared by the operators, who call it a host. m_tunnel identifies it on the packet path, m_name
/// in the object API.
struct BackendServer {
    std::string m_name;
    std::string m_zone;
    Endpoint m_tunnel; ///< destination of encapsulated packets (foo-over-UDP)
    Endpoint m_report; ///< HTTP endpoint for health and load
    std::uint32_t m_connectionLimit = 0; ///< concurrent connections
    std::uint16_t m_slots = 0; ///< requests processed concurrently
    bool m_draining = false; ///< gets no new flows; established flows stay
    Labels m_labels;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// An address that callers connect to, and its backend servers.
struct Service {
    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol = Protocol::Tcp;
    Selector m_selector;
    Labels m_labels; ///< for operators; selectors match labels of backend servers

    friend bool operator==(const Service&, const Service&) = default;
};

/// One accepted edit, stored in the configuration so that a retry after a lost answer is not applied twice.
struct EditRecord {
    std::string m_id; ///< unique, chosen by the client
    std::string m_author;
    std::string m_summary;
    ConfigVersion m_version; ///< the version that the edit created
    std::int64_t m_unixSeconds = 0;
    std::vector<std::string> m_touched; ///< changed paths, such as "host/k-03/label/tier"; "*": any path

    friend bool operator==(const EditRecord&, const EditRecord&) = default;
};

/// Maximum number of records in a configuration's history; the oldest are removed.
inline constexpr std::size_t c_maximumHistory = 256;

/// The complete declared state: one object in the platform's store, at most one megabyte, changed only by conditional
/// updates. Tables are computed from it alone, so that entry VMs at the same version have identical tables.
struct Configuration {
    ConfigVersion m_version;
    std::vector<std::string> m_zones; ///< zones that have entry VMs, sorted
    std::vector<BackendServer> m_backendServers; ///< sorted by name
    std::vector<Service> m_services; ///< sorted by name
    std::vector<EditRecord> m_history; ///< newest last, bounded

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace cuminrelay
