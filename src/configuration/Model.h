#pragma once

#include "base/Endpoint.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The platform's version of the configuration object: it grows by one with each accepted change and totally orders
/// all configurations. Zero means that none has been seen yet.
struct ConfigVersion {
    std::uint64_t m_number = 0;

    friend constexpr auto operator<=>(ConfigVersion, ConfigVersion) = default;
};

using Labels = std::map<std::string, std::string, std::less<>>;

enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/// How one requirement of a selector compares a label.
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

/// A backend server as the operators declare it. It is identified by m_tunnel on the packet path and by m_name in the
/// object API.
struct BackendServer {
    std::string m_name;
    std::string m_zone;
    Endpoint m_tunnel; ///< where encapsulated packets for it go (foo-over-UDP)
    Endpoint m_report; ///< its HTTP health and load endpoint
    std::uint32_t m_connectionLimit = 0;
    std::uint16_t m_slots = 0;
    bool m_draining = false; ///< gets no new flow; its established flows stay
    Labels m_labels;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// A service: an address that callers use, and the selector that says which backend servers answer for it.
struct Service {
    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol = Protocol::Tcp;
    Selector m_selector;
    Labels m_labels; ///< labels of the traffic itself, for operators; the selector looks at those of backend servers

    friend bool operator==(const Service&, const Service&) = default;
};

/// One accepted edit, kept in the object so that an edit whose answer was lost is recognised and not applied twice.
struct EditRecord {
    std::string m_id; ///< chosen by the editor, unique
    std::string m_author;
    std::string m_summary;
    ConfigVersion m_version; ///< the version that the edit made
    std::int64_t m_unixSeconds = 0;
    std::vector<std::string> m_touched; ///< paths of what it changed, such as "host/k-03/label/tier"; "*": very many

    friend bool operator==(const EditRecord&, const EditRecord&) = default;
};

/// Records kept in a configuration's history; older ones are dropped.
inline constexpr std::size_t c_maximumHistory = 256;

/// The whole declared state: one object in the platform's store, at most one megabyte, changed only by conditional
/// updates. Tables are computed from it alone, so that two entry VMs at the same version agree.
struct Configuration {
    ConfigVersion m_version;
    std::vector<std::string> m_zones; ///< zones that have entry VMs, sorted
    std::vector<BackendServer> m_backendServers; ///< sorted by name
    std::vector<Service> m_services; ///< sorted by name
    std::vector<EditRecord> m_history; ///< newest last, bounded

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace cuminrelay
