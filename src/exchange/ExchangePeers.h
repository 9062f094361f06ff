#pragma once

#include "base/Time.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace cuminrelay {

/// Decides which entry VMs are told of this VM's load and when. VMs of the own zone place flows at the same backend
/// servers and are told often; one VM of another zone is told each time, in turn. What is known of others comes from the
/// seeds and from what those pass on; it only helps placement, and a VM that nobody knows of serves all the same.
class ExchangePeers {
public:
    ExchangePeers(Endpoint self, ZoneHash zone, std::span<const Endpoint> seeds);

    /// A message has come from another VM.
    void noteMessage(Endpoint peer, const LoadMessage& message, Instant now);

    /// Whom to tell now: at most c_nearFanout of the own zone and one of another; from time to time seeds, too.
    std::vector<Endpoint> nextTargets(Instant now);

    /// Some VMs that were heard of lately, in turn, for a message.
    std::vector<ExchangePeer> somePeers(Instant now);

    std::size_t size() const { return m_peers.size(); }

private:
    struct Known {
        ZoneHash m_zone;
        Instant m_heardAt {}; ///< from itself; epoch: never
        Deadline m_forgetAt {};
    };

    void learn(const ExchangePeer& peer, Instant now);
    void appendInTurn(std::vector<Endpoint>& targets, bool near, std::size_t count);

    Endpoint m_self;
    ZoneHash m_zone;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, Known> m_peers;
    Deadline m_seedsAt {};
    Endpoint m_lastNear;
    Endpoint m_lastFar;
    Endpoint m_lastPassedOn;
};

} // namespace cuminrelay
