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

    /// The versions of the changes that the store accepted up to a time.
    StoreVersions versionsAt(Instant time) const;

    std::vector<std::unique_ptr<Vm>> m_vms;
    Instant m_now { std::chrono::seconds { 100 } };

private:
    struct Change {
        std::uint64_t m_revision = 0;
        Instant m_acceptedAt {};
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
    void advance(Vm& vm, const StoreVersions& versions);
    std::uint64_t revisionAt(std::size_t kind, Instant time) const;
    static std::uint64_t heldRevision(const Vm& vm, std::size_t kind);
    Instant confirmedAt(Vm& vm) const;
    bool happens(double probability);

    std::array<std::vector<Change>, s_kinds> m_changes;
    std::uint64_t m_revision = 10;
    std::deque<Message> m_messages;
    std::mt19937 m_random;
    double m_messageLoss;
};

} // namespace cuminrelay
