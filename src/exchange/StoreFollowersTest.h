#pragma once

#include "discovery/WatchSchedule.h"
#include "exchange/ExchangePeers.h"
#include "exchange/FetchSchedule.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace cuminrelay {

/// Entry VMs that follow a store and exchange messages, on a virtual clock: the decisions are the product's
/// (WatchSchedule, ExchangePeers, FetchSchedule), the network and the store are models. A message takes up to two steps
/// and may be lost. Faults are set on the VMs.
class StoreFollowers {
public:
    static constexpr Duration s_step = std::chrono::milliseconds { 5 };
    static constexpr std::size_t s_kinds = 2; ///< backend servers, declarations

    /// After a fault, a VM counts as undisturbed again after this time (StableWindowMs).
    static constexpr Duration s_stableWindow = std::chrono::milliseconds { 4'000 };

    /// The connections that a VM keeps.
    enum class Connection : std::uint8_t {
        BackendsWatch, ///< to the store
        DeclarationsWatch, ///< to the store
        StoreUpdates, ///< to the VM from which it fetched last
    };
    static constexpr std::array s_allConnections { Connection::BackendsWatch, Connection::DeclarationsWatch,
        Connection::StoreUpdates };

    enum class StorePath : std::uint8_t {
        Works,
        Silent, ///< nothing arrives, no error is reported
        Refused, ///< each call fails at once
    };

    struct Vm {
        bool isInTouch(Instant now) const { return now - m_disturbedAt >= s_stableWindow; }

        Endpoint m_self;
        ZoneHash m_zone;
        StorePath m_storePath = StorePath::Works;
        bool m_isRunning = true;
        bool m_isFrozen = false;
        bool m_canFetch = true; ///< false: connections to other VMs fail, while messages still arrive
        Instant m_disturbedAt {}; ///< last time that it was not running undisturbed; see disturb()
        StoreVersions m_versions {};
        StoreRevision m_declarationsRevision {}; ///< at which m_versions.m_declarations were stored
        Instant m_confirmedAt {};
        std::uint64_t m_calls = 0; ///< to the store

    private:
        friend class StoreFollowers;

        struct Watch {
            explicit Watch(std::uint64_t seed, Instant now)
                : m_schedule(seed, now)
                , m_nextCallAt(now)
            {
            }

            WatchSchedule m_schedule;
            std::optional<WatchSchedule::Call> m_call;
            Instant m_calledAt {};
            StoreRevision m_callRevision {};
            bool m_isConnectionSilent = false; ///< the call's connection went silent
            Deadline m_nextCallAt {};
        };

        struct Fetch {
            Endpoint m_peer;
            FetchSchedule::Attempt m_attempt;
            Deadline m_endsAt {};
            bool m_isAnswered = false;
        };

        std::unique_ptr<ExchangePeers> m_peers;
        std::vector<Watch> m_watches;
        FetchSchedule m_fetchSchedule;
        bool m_hasKeptConnection = false; ///< to the VM from which it fetched last
        bool m_isKeptConnectionSilent = false;
        std::optional<Fetch> m_fetch;
        Deadline m_nextSendAt {};
        Deadline m_nextTickAt {};
        bool m_hasUpdate = false;
    };

    /// zones: number of VMs in each.
    StoreFollowers(const std::vector<std::size_t>& zones, std::uint32_t seed, double messageLoss = 0);

    void run(Duration duration);

    /// Adds a change of a kind, which the store accepts now.
    void change(std::size_t kind);

    /// The store comes back from a copy of this age: later changes are missing, and their revisions are given out
    /// again. endsWaits: calls that wait are answered at once, otherwise at the end of their wait.
    void restoreStore(Duration copyAge, bool endsWaits);

    void kill(std::size_t vm);
    void restart(std::size_t vm);
    void leave(std::size_t vm);

    /// Records that a fault of the VM begins, lasts or ends now.
    void disturb(std::size_t vm) { m_vms[vm]->m_disturbedAt = m_now; }

    /// The open connections of these kinds go silent on all VMs, each with this probability; new ones work.
    void silenceConnections(std::span<const Connection> kinds, double probability = 1);

    /// Whether a VM of the zone follows the store and is in contact with it.
    std::optional<std::size_t> readerOf(ZoneHash zone) const;

    /// When the VM's watch of a kind began to wait, if it waits.
    std::optional<Instant> waitingSince(std::size_t vm, std::size_t kind) const;

    /// The versions of the changes that the store held at a time, except for declarations that a later restore lost:
    /// a VM need not have got them.
    StoreVersions versionsAt(Instant time) const;

    std::vector<std::unique_ptr<Vm>> m_vms;
    Instant m_now { std::chrono::seconds { 100 } };

private:
    struct Change {
        StoreRevision m_revision;
        ConfigVersion m_version; ///< of the declarations
        Instant m_acceptedAt {};
    };

    /// The changes that the store holds in one era, by kind.
    struct Content {
        std::array<std::vector<Change>, s_kinds> m_changes;
        std::uint32_t m_era = 0;
        Instant m_beganAt {};
        bool m_endsWaits = false; ///< of the era before
    };

    struct Message {
        std::size_t m_receiver = 0;
        Endpoint m_sender;
        LoadMessage m_content;
        Deadline m_arrivesAt {};
    };

    void start(Vm& vm);
    void step(Vm& vm);
    void stepWatch(Vm& vm, std::size_t kind);
    void stepFetch(Vm& vm);
    void startAttempt(Vm& vm, Endpoint peer, FetchSchedule::Attempt attempt);
    Vm& find(Endpoint vm);
    void tick(Vm& vm);
    void send(Vm& vm, const std::vector<Endpoint>& targets, bool isLeaving = false);
    void deliverMessages();
    void advance(Vm& vm, const StoreVersions& versions, StoreRevision declarationsRevision);
    const Content& contentAt(Instant time) const;

    /// The last change of a kind that the store held at a time; {} if there was none.
    Change lastChangeAt(std::size_t kind, Instant time) const;
    Instant confirmedAt(Vm& vm) const;
    bool happens(double probability);

    std::vector<Content> m_contents { Content {} }; ///< by era
    std::uint64_t m_revision = 10;
    std::uint64_t m_declarationsVersion = 10;
    std::deque<Message> m_messages;
    std::mt19937 m_random;
    double m_messageLoss;
};

} // namespace cuminrelay
