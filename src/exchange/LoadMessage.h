#pragma once

#include "affinity/CarriedRouter.h"
#include "affinity/ZoneHash.h"
#include "base/Endpoint.h"
#include "base/Error.h"
#include "discovery/Discovery.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// Another entry VM.
struct ExchangePeer {
    Endpoint m_exchange;
    ZoneHash m_zone;

    friend constexpr bool operator==(const ExchangePeer&, const ExchangePeer&) = default;
};

/// How new what an entry VM knows of the store is.
struct KnownState {
    StoreRevision m_backends;
    ConfigVersion m_declarations;

    friend constexpr bool operator==(const KnownState&, const KnownState&) = default;
};

/// What one entry VM tells another.
struct LoadMessage {
    ZoneHash m_zone; ///< of the sender
    bool m_leaving = false; ///< the sender is about to end
    bool m_isReading = false; ///< the sender follows the store and is in contact with it
    KnownState m_known;
    std::vector<BackendLoadReport> m_loads;
    std::vector<BackendToken> m_dead; ///< backend servers that the sender found dead
    std::vector<ExchangePeer> m_peers; ///< some that the sender hears of

    friend bool operator==(const LoadMessage&, const LoadMessage&) = default;
};

/// The most bytes of an encoded message: it fits into one datagram that is not fragmented.
inline constexpr std::size_t c_loadMessageBytes = 1'400;

/// The most loads, dead backend servers and peers in one message.
inline constexpr std::size_t c_mostLoads = 120;
inline constexpr std::size_t c_mostDead = 24;
inline constexpr std::size_t c_mostPeers = 8;

/// Encodes a message to the front of out and returns the part that it wrote. Precondition: at most c_mostLoads,
/// c_mostDead and c_mostPeers; out has c_loadMessageBytes and is aligned to 8 bytes.
std::span<const std::byte> encodeLoadMessage(const LoadMessage& message, std::span<std::byte> out);

/// Decodes a datagram, which must be aligned to 8 bytes. Errors: InvalidInput.
Outcome<LoadMessage> decodeLoadMessage(std::span<const std::byte> datagram);

} // namespace cuminrelay
