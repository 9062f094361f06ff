#pragma once

#include "affinity/TokenRouter.h"
#include "affinity/ZoneHash.h"
#include "base/Endpoint.h"
#include "base/Error.h"
#include "discovery/Discovery.h"
#include "evacuation/EvacuatedZones.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cuminrelay {

/// An entry VM as listed in load messages.
struct ExchangePeer {
    Endpoint m_exchange; ///< UDP: load messages; TCP: store updates
    ZoneHash m_zone;

    friend constexpr bool operator==(const ExchangePeer&, const ExchangePeer&) = default;
};

/// Versions of the store data that an entry VM has. Declarations are ordered by the version that operators give them.
struct StoreVersions {
    StoreRevision m_backends;
    ConfigVersion m_declarations;
    StoreRevision m_evacuations {}; ///< 0: unknown, or not followed

    friend constexpr bool operator==(const StoreVersions&, const StoreVersions&) = default;
};

/// Load and store versions that one entry VM sends to another.
struct LoadMessage {
    ZoneHash m_zone; ///< of the sender
    bool m_leaving = false; ///< the sender is shutting down
    bool m_isReading = false; ///< the sender follows the store and is in contact with it
    StoreVersions m_storeVersions;
    /// Time since the store is known to have held these versions and no later ones; rounded up to milliseconds on the
    /// wire. Empty: unknown.
    std::optional<Duration> m_stateAge;
    std::vector<BackendLoadReport> m_loads;
    std::vector<BackendToken> m_dead; ///< backend servers that the sender found dead
    std::vector<ExchangePeer> m_peers; ///< some peers of the sender
    std::vector<ContestedFlowReport> m_contestedFlows; ///< some that the sender knows
    std::vector<FlowHash> m_questions; ///< flows that the sender cannot locate
    bool m_isNotice = false; ///< sent outside the schedule, without loads: those of the sender's last message hold
    /// The sender knows all contested flows that were opened within this time, up to their maximum lifetime.
    std::chrono::milliseconds m_contestedKnownFor {};
    EvacuatedZones m_evacuated; ///< all, as of m_storeVersions.m_evacuations

    friend bool operator==(const LoadMessage&, const LoadMessage&) = default;
};

/// Maximum size of an encoded message, in bytes; fits into one unfragmented datagram.
inline constexpr std::size_t c_maxLoadMessageBytes = 1'400;

/// Maximum numbers of entries in one message.
inline constexpr std::size_t c_maxLoads = 114;
inline constexpr std::size_t c_maxDead = 24;
inline constexpr std::size_t c_maxPeers = 8;
inline constexpr std::size_t c_maxContestedFlows = 6;

/// In a notice.
inline constexpr std::size_t c_maxNoticedFlows = 36;
inline constexpr std::size_t c_maxQuestions = 16;

/// The number of loads that fit into a message that names these evacuated zones.
std::size_t maxLoadsBeside(const EvacuatedZones& evacuated);

/// Whether a message fits into c_maxLoadMessageBytes: at most maxLoadsBeside, c_maxDead, c_maxPeers and
/// c_maxContestedFlows entries, or in a notice no loads, dead or peers, and at most c_maxNoticedFlows and
/// c_maxQuestions; at most s_maxZones evacuated zones.
bool fitsIntoDatagram(const LoadMessage& message);

/// Encodes a message to the front of out and returns the written part. Precondition: the message fits into a datagram;
/// out has c_maxLoadMessageBytes and is aligned to 8 bytes.
std::span<const std::byte> encodeLoadMessage(const LoadMessage& message, std::span<std::byte> out);

/// Decodes a datagram, which must be aligned to 8 bytes. Errors: InvalidInput.
Outcome<LoadMessage> decodeLoadMessage(std::span<const std::byte> datagram);

} // namespace cuminrelay
