#pragma once

#include "exchange/ExchangePeers.h"
#include "warmup/WarmupBudget.h"

#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace cuminrelay {

/// A deployment one of whose zones is cold, and what happens to it.
struct WarmupFleetPlan {
    std::size_t m_vms = 8;
    std::size_t m_zones = 3;
    std::size_t m_backends = 12; ///< of the cold zone
    std::size_t m_services = 2; ///< the backend servers are spread over them
    double m_rate = 10; ///< declared
    double m_demand = 1.3; ///< flows that arrive in the cold zone, as a multiple of the declared rates
    WarmupBounds m_bounds { 1.5, 5 }; ///< that are checked
    WarmupBounds m_usedBounds { 1.5, 5 }; ///< that the VMs use
    bool m_hasBudget = true;
    bool m_simulatesOtherZones = true; ///< otherwise, the VMs of the cold zone only
    double m_cutOffShare = 0; ///< share of the VMs that are cut off alone once, for 5 s or longer
    Duration m_longestCutOff = std::chrono::seconds { 60 };
    bool m_partitionsZone = false; ///< cuts the cold zone off the others for 60 s
    bool m_restartsHalf = false; ///< of the VMs, together
    std::size_t m_added = 0; ///< VMs added to the cold zone while others are cut off
    std::uint64_t m_seed = 1;
};

struct WarmupFleetResult {
    std::size_t m_maxInOneSecond = 0; ///< new flows at one backend server, at worst
    double m_steadyUse = 0; ///< flows opened before the first fault, as a share of the declared rate
    double m_useInFaults = 0; ///< the same during the faults
};

/// Plays entry VMs that open flows at the backend servers of a cold zone, on a virtual clock and with the exchange of
/// load messages by ExchangePeers. Time advances in steps of s_step. Messages take up to 20 ms, and one of 50 is lost.
class WarmupFleet {
public:
    explicit WarmupFleet(const WarmupFleetPlan& plan);

    WarmupFleetResult run();

private:
    static constexpr Duration s_step = std::chrono::milliseconds { 5 };

    struct Vm {
        Endpoint m_endpoint;
        ZoneHash m_zone;
        Deadline m_startsAt {}; ///< start, or start after the restart
        bool m_isUp = false;
        Instant m_cutOffFrom {};
        Deadline m_cutOffUntil {};
        std::unique_ptr<ExchangePeers> m_peers;
        std::unique_ptr<WarmupBudget> m_budget;
        std::vector<WarmupPermits> m_permits; ///< by backend server
        Deadline m_nextMessageAt {};
        Deadline m_nextMembersAt {};
        Deadline m_nextFlowAt {};
    };

    struct Delivery {
        Instant m_at {};
        std::size_t m_from = 0;
        std::size_t m_to = 0;
        LoadMessage m_message;

        friend bool operator>(const Delivery& left, const Delivery& right) { return left.m_at > right.m_at; }
    };

    void planFaults();
    void addVm(ZoneHash zone, Deadline startsAt);
    void start(Vm& vm, Instant now);
    void send(std::size_t from, std::span<const Endpoint> targets, std::span<const ExchangePeer> peers, Instant now);
    void deliver(Instant now);
    void exchange(std::size_t index, Instant now);
    void openFlows(Vm& vm, Instant now);
    bool isSeparated(const Vm& left, const Vm& right, Instant now) const;
    ZoneHash zoneOf(std::size_t index) const { return { static_cast<std::uint32_t>(index % m_plan.m_zones) }; }
    Duration uniform(Duration from, Duration to);
    WarmupFleetResult evaluate();

    WarmupFleetPlan m_plan;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::vector<Endpoint> m_seeds;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_deliveries;
    std::vector<ZoneMember> m_members; // reused
    std::vector<std::vector<Instant>> m_openings; ///< by backend server
    double m_flowsPerSecond = 0; ///< at each VM of the cold zone
};

} // namespace cuminrelay
