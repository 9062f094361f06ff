#pragma once

#include "base/Time.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cuminrelay {

/// Decides which entry VMs are told of this VM's load and when. VMs of the own zone place flows at the same backend
/// servers and are told often; one VM of another zone is told each time, in turn. What is known of others comes from
/// the seeds and from what those pass on; it only helps placement, and a VM that nobody knows of serves all the same.
class ExchangePeers {
public:
    ExchangePeers(Endpoint self, ZoneHash zone, std::span<const Endpoint> seeds);

    /// A message has come from another VM.
    void noteMessage(Endpoint peer, const LoadMessage& message, Instant now);

    /// VMs that nobody had named before their first message, since the last call: each is to be told at once whom it
    /// shares its zone with, because its turn may come late.
    std::vector<ExchangePeer> takeNewcomers();

    /// The VMs of a zone that were heard from.
    std::vector<ExchangePeer> peersOf(ZoneHash zone) const;

    /// Whom to tell now: at most c_nearFanout of the own zone and one of another; from time to time seeds, too.
    std::vector<Endpoint> nextTargets(Instant now);

    /// All known VMs of the own zone: whom its reader tells at once that there is news.
    std::vector<Endpoint> nearPeers() const;

    /// How many there are of them.
    std::size_t nearCount() const;

    /// After how long without a word a VM of the own zone is taken for silent: longer in a large zone, where each VM is
    /// told more seldom.
    Duration silence() const;

    /// When to tell others again although nothing has changed, so that none of the own zone takes this VM for silent.
    Deadline repeatAt(Instant now) const;

    /// Whether this VM is to follow the store for its zone. One VM of each zone does, the one that ranks highest among
    /// those that are in contact with the store; the others learn what is new from it. A VM that has just started
    /// listens first whether somebody does. When the reader falls silent the next
    /// one takes over at once. When it loses contact the others try, too, one after the other, so that an outage of the
    /// store is not met by all of them while a store that refuses a few VMs is reached by others.
    bool shouldRead(Instant now);

    /// Whether a VM of the own zone that follows the store was heard of just now.
    bool hearsReader(Instant now) const;

    /// When a VM of the own zone that follows the store was last heard of; epoch: none is known.
    Instant readerHeardAt() const;

    /// Another VM that knows a newer state of the store, if there is one. One of another zone counts only after a
    /// while: the own zone's reader is about to hear of it, too.
    std::optional<Endpoint> newerPeer(const KnownState& own, Instant now);

    /// Some VMs that were heard of lately, in turn, for a message. Empty most of the time: they are passed on when
    /// somebody was heard of for the first time, and about once a second.
    std::vector<ExchangePeer> somePeers(Instant now);

    std::size_t size() const { return m_peers.size(); }

private:
    struct Known {
        ZoneHash m_zone;
        Instant m_heardAt {}; ///< from itself; epoch: never
        Deadline m_forgetAt {};
        bool m_isReading = false;
        KnownState m_state {};
    };

    void learn(const ExchangePeer& peer, Instant now);

    /// How many tellings it takes until each VM of the own zone was told once.
    std::int64_t tellingsOfARound() const;
    void appendInTurn(std::vector<Endpoint>& targets, bool near, std::size_t count);

    Endpoint m_self;
    ZoneHash m_zone;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, Known> m_peers;
    std::vector<ExchangePeer> m_newcomers;
    Deadline m_seedsAt {};
    Deadline m_passOnAt {}; ///< when peers are passed on next
    Deadline m_passOnUntil {}; ///< with each message until then
    Deadline m_listensUntil {}; ///< set when it is asked first; until then it does not follow the store by itself
    Instant m_readerlessSince {}; ///< since when nobody of the zone follows the store in contact; epoch: somebody does
    Instant m_behindSince {}; ///< since when only VMs of other zones know a newer state; epoch: not
    std::uint64_t m_asked = 0; ///< how often newerPeer named a VM of the own zone
    Endpoint m_lastNear;
    Endpoint m_lastFar;
    Endpoint m_lastPassedOn;
};

} // namespace cuminrelay
