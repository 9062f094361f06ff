#include "bench/MembersExperiment.h"

#include "bench/Random.h"
#include "control/ControlState.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <kj/io.h>
#include <map>
#include <memory>
#include <oneapi/tbb/parallel_for.h>
#include <optional>
#include <set>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr Instant c_begin { std::chrono::seconds { 1000 } };
    constexpr Duration c_step = std::chrono::milliseconds { 50 };
    constexpr Duration c_heartbeatInterval = std::chrono::milliseconds { 500 };
    constexpr Duration c_tickInterval = std::chrono::milliseconds { 250 };
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_listInterval = std::chrono::seconds { 2 };

    /// From the fetch of a configuration until it is in force in the entry process.
    constexpr Duration c_installTime = std::chrono::milliseconds { 100 };

    /// Interval at which views are searched for false alarms.
    constexpr Duration c_alarmInterval = std::chrono::milliseconds { 500 };

    constexpr Duration c_warmUp = std::chrono::seconds { 20 };
    constexpr Duration c_steadyTime = std::chrono::seconds { 20 };
    constexpr Duration c_detectionTimeout = std::chrono::seconds { 15 };

    constexpr std::size_t c_probersPerBackend = 2;
    constexpr std::size_t c_backendsPerVm = 5;

    /// Packed size of Cap'n Proto's RPC messages without their content, including the length of each message.
    constexpr std::uint64_t c_callBytes = 22;
    constexpr std::uint64_t c_returnBytes = 14;
    constexpr std::uint64_t c_finishBytes = 10;

    /// Opening and closing a connection: three TCP segments of 40 bytes, the request for the peer's interface, its
    /// answer and the release.
    constexpr std::uint64_t c_connectionBytes = 300;

    struct FleetShape {
        std::string_view m_name;
        std::size_t m_vms = 0;
        std::size_t m_zones = 0;
        std::size_t m_fullMeshLimit = 16;
    };

    /// Bytes of heartbeats. Reports and summaries count the bytes by which the message is shorter without them.
    struct HeartbeatBytes {
        std::uint64_t m_heartbeats = 0; ///< sender, call and connections
        std::uint64_t m_reports = 0;
        std::uint64_t m_summaries = 0;

        std::uint64_t total() const { return m_heartbeats + m_reports + m_summaries; }

        HeartbeatBytes& operator+=(const HeartbeatBytes& other)
        {
            m_heartbeats += other.m_heartbeats;
            m_reports += other.m_reports;
            m_summaries += other.m_summaries;
            return *this;
        }
    };

    struct Link {
        PeerCursor m_openerCursor;
        PeerCursor m_otherCursor;
        std::string m_openerZone; ///< as stored at the other end; empty until the first heartbeat
        std::string m_otherZone;
        Deadline m_nextHeartbeat {};
    };

    struct Vm {
        Member m_member;
        std::unique_ptr<ControlState> m_state;
        std::map<std::size_t, Link> m_links; ///< opened by this VM; key: index of the other VM
        std::vector<Endpoint> m_backends; ///< probed by this VM
        std::optional<Configuration> m_fetched;
        Deadline m_inForceAt {};
        Deadline m_nextTick {};
        Deadline m_nextProbe {};
        Deadline m_nextList {};
        bool m_isRunning = true;
        std::vector<Member> m_peers; ///< heartbeat targets
        HeartbeatBytes m_bytes; ///< sent and received
    };

    /// A fleet on a virtual clock. Single-threaded.
    class MembersFleet {
    public:
        MembersFleet(const FleetShape& shape, std::uint64_t seed);

        void runFor(Duration time);
        Instant now() const { return m_now; }
        std::vector<Vm>& vms() { return m_vms; }
        std::vector<std::size_t> membersOf(std::string_view zone) const;

        void setLoss(double loss) { m_loss = loss; }
        void partitionZone(std::string_view zone) { m_partitionedZone = zone; }
        void countBytes(bool counts) { m_countsBytes = counts; }

        /// Publishes a configuration on the platform; readers fetch it.
        void publish(std::uint64_t version);

        /// Seconds until each running observer detects the event; empty if one takes over c_detectionTimeout.
        std::vector<double> secondsUntil(
            const std::function<bool(const Vm&)>& isObserver, const std::function<bool(const Vm&)>& detects);

        /// Number of times that a view showed a running VM as Unreachable.
        std::uint64_t falseAlarms() const { return m_falseAlarms; }
        void countFalseAlarms() { m_countsFalseAlarms = true; }

    private:
        void step();
        void stepVm(std::size_t index);
        void probe(Vm& vm);
        void sendHeartbeats(std::size_t index);
        bool exchangeHeartbeats(std::size_t from, std::size_t to, Link& link, bool closing);
        bool canReach(const Vm& from, const Vm& to) const;
        bool deliver(const Heartbeat& heartbeat, Vm& from, Vm& to, std::uint64_t callBytes, Heartbeat& received);
        void countBytes(const Heartbeat& heartbeat, std::uint64_t callBytes, Vm& from, Vm& to) const;
        void fetchConfiguration(Vm& vm, const Vm& from);
        void recordFalseAlarms();

        Random m_random;
        Instant m_now = c_begin;
        std::vector<Vm> m_vms;
        std::map<Endpoint, std::size_t> m_byControl;
        std::vector<Member> m_list;
        std::string m_partitionedZone;
        double m_loss = 0;
        bool m_countsFalseAlarms = false;
        bool m_countsBytes = false;
        std::uint64_t m_falseAlarms = 0;
        std::set<std::pair<std::size_t, Endpoint>> m_activeFalseAlarms;
    };

    Configuration configurationAt(std::uint64_t version)
    {
        Configuration configuration;
        configuration.m_version = ConfigVersion { version };
        return configuration;
    }

    std::uint64_t packedBytes(const Heartbeat& heartbeat, Instant now)
    {
        capnp::MallocMessageBuilder message;
        writeHeartbeat(heartbeat, now, message.initRoot<wire::Heartbeat>());
        kj::VectorOutputStream out;
        capnp::writePackedMessage(out, message);
        return out.getArray().size();
    }

    MembersFleet::MembersFleet(const FleetShape& shape, std::uint64_t seed)
        : m_random(seed)
    {
        m_vms.resize(shape.m_vms);
        for (std::size_t i = 0; i < shape.m_vms; ++i) {
            Member member;
            member.m_peers = Endpoint { static_cast<std::uint32_t>(0x0a000000 + i), 4001 };
            member.m_replica = Endpoint { member.m_peers.m_address, 4002 };
            member.m_control = Endpoint { member.m_peers.m_address, 4003 };
            member.m_name = fmt::format("entry-{:03}", i);
            member.m_zone = fmt::format("zone-{}", i % shape.m_zones);
            member.m_incarnation = 1'700'000'000'000'000 + i;
            Vm& vm = m_vms[i];
            vm.m_member = member;
            vm.m_state = std::make_unique<ControlState>(
                member, shape.m_fullMeshLimit, 1'700'000'000'000'000 + m_random.below(1'000'000'000), m_now);
            (void)vm.m_state->offerConfiguration(configurationAt(1));
            vm.m_nextTick = m_now + Duration { static_cast<std::int64_t>(m_random.below(250'000)) };
            vm.m_nextProbe = m_now + Duration { static_cast<std::int64_t>(m_random.below(1'000'000)) };
            m_byControl[member.m_control] = i;
            m_list.push_back(member);
        }
        for (std::size_t backend = 0; backend < shape.m_vms * c_backendsPerVm; ++backend) {
            const Endpoint tunnel { static_cast<std::uint32_t>(0x0a100000 + backend), 5555 };
            const std::vector<std::size_t> zone = membersOf(fmt::format("zone-{}", backend % shape.m_zones));
            const std::size_t first = m_random.below(zone.size());
            for (std::size_t prober = 0; prober < std::min(c_probersPerBackend, zone.size()); ++prober)
                m_vms[zone[(first + prober) % zone.size()]].m_backends.push_back(tunnel);
        }
    }

    std::vector<std::size_t> MembersFleet::membersOf(std::string_view zone) const
    {
        std::vector<std::size_t> members;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (m_vms[i].m_member.m_zone == zone)
                members.push_back(i);
        }
        return members;
    }

    void MembersFleet::runFor(Duration time)
    {
        const Instant end = m_now + time;
        while (m_now < end)
            step();
    }

    std::vector<double> MembersFleet::secondsUntil(
        const std::function<bool(const Vm&)>& isObserver, const std::function<bool(const Vm&)>& detects)
    {
        const Instant from = m_now;
        std::vector<std::size_t> waiting;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (m_vms[i].m_isRunning && isObserver(m_vms[i]))
                waiting.push_back(i);
        }
        std::vector<double> seconds;
        while (!waiting.empty() && m_now < from + c_detectionTimeout) {
            step();
            const std::size_t seen = std::erase_if(waiting, [&](std::size_t index) { return detects(m_vms[index]); });
            seconds.insert(seconds.end(), seen, static_cast<double>((m_now - from).count()) / 1e6);
        }
        return waiting.empty() ? seconds : std::vector<double> {};
    }

    void MembersFleet::publish(std::uint64_t version)
    {
        for (Vm& vm : m_vms) {
            if (vm.m_isRunning && vm.m_state->membership().mustReadPlatform()) {
                vm.m_fetched = configurationAt(version);
                vm.m_inForceAt = m_now + c_installTime;
            }
        }
    }

    void MembersFleet::step()
    {
        m_now += c_step;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (m_vms[i].m_isRunning)
                stepVm(i);
        }
        if (m_countsFalseAlarms && (m_now - c_begin) % c_alarmInterval == Duration { 0 })
            recordFalseAlarms();
    }

    void MembersFleet::stepVm(std::size_t index)
    {
        Vm& vm = m_vms[index];
        if (vm.m_fetched && m_now >= vm.m_inForceAt) {
            const ConfigVersion version = vm.m_fetched->m_version;
            (void)vm.m_state->offerConfiguration(std::move(*vm.m_fetched));
            vm.m_fetched.reset();
            vm.m_state->applyEntryStatus(
                EntryProcessStatus { vm.m_member.m_incarnation, false, true, { version, 6000, 1800 } }, m_now);
        }
        if (m_now >= vm.m_nextTick) {
            vm.m_nextTick += c_tickInterval;
            const ConfigVersion version = vm.m_state->configuration().version();
            vm.m_state->applyEntryStatus(EntryProcessStatus { vm.m_member.m_incarnation, false, true,
                                             { version, 6000 + m_random.below(200), 1800 + m_random.below(50) } },
                m_now);
            vm.m_state->tick(m_now);
        }
        if (m_now >= vm.m_nextList && vm.m_state->membership().mustReadPlatform()) {
            vm.m_nextList = m_now + c_listInterval;
            vm.m_state->applyList(m_list, m_now);
        }
        if (m_now >= vm.m_nextProbe) {
            vm.m_nextProbe += c_probeInterval;
            probe(vm);
        }
        sendHeartbeats(index);
    }

    void MembersFleet::probe(Vm& vm)
    {
        std::vector<BackendReport> reports;
        for (const Endpoint backend : vm.m_backends) {
            BackendReport report { backend, BackendHealth::Healthy, false, 0, 0, 0, m_now };
            report.m_connections = static_cast<std::uint32_t>(1200 + m_random.below(60));
            report.m_busySlots = static_cast<std::uint16_t>(m_random.below(3));
            report.m_queued = static_cast<std::uint16_t>(m_random.below(3));
            reports.push_back(report);
        }
        vm.m_state->applyOwnReports(reports, m_now);
    }

    void MembersFleet::sendHeartbeats(std::size_t index)
    {
        Vm& vm = m_vms[index];
        const ControlChanges changes = vm.m_state->takeChanges();
        const bool urgent = changes.m_urgent;
        if (changes.m_peers)
            vm.m_peers = vm.m_state->membership().heartbeatTargets();
        std::set<std::size_t> requiredPeers;
        for (const Member& peer : vm.m_peers) {
            const std::size_t other = m_byControl.at(peer.m_control);
            const bool isGossipPeer = vm.m_state->membership().usesGossip() && peer.m_zone == vm.m_member.m_zone;
            const bool otherOpens
                = isGossipPeer ? m_vms[other].m_links.contains(index) : peer.m_control < vm.m_member.m_control;
            if (!otherOpens || (!isGossipPeer && !m_vms[other].m_isRunning))
                requiredPeers.insert(other);
        }
        for (const std::size_t other : requiredPeers) {
            const auto [found, added] = vm.m_links.try_emplace(other);
            if (added)
                found->second.m_nextHeartbeat = m_now + Duration { static_cast<std::int64_t>(m_random.below(50'000)) };
        }
        for (auto entry = vm.m_links.begin(); entry != vm.m_links.end();) {
            Link& link = entry->second;
            const bool closing = !requiredPeers.contains(entry->first);
            const bool due = m_now >= link.m_nextHeartbeat || urgent;
            bool connected = true;
            if (due) {
                connected = exchangeHeartbeats(index, entry->first, link, closing);
                link.m_nextHeartbeat = m_now + c_heartbeatInterval;
            }
            if (closing && due && connected)
                vm.m_state->membership().stopMonitoring(m_vms[entry->first].m_member.m_peers, m_now);
            entry = (closing && due) || !connected ? vm.m_links.erase(entry) : std::next(entry);
        }
        // Urgent changes are also sent at once over the links that other VMs opened.
        for (std::size_t other = 0; urgent && other < m_vms.size(); ++other) {
            const auto link = m_vms[other].m_links.find(index);
            if (m_vms[other].m_isRunning && link != m_vms[other].m_links.end())
                (void)exchangeHeartbeats(other, index, link->second, false);
        }
    }

    bool MembersFleet::canReach(const Vm& from, const Vm& to) const
    {
        const bool crosses = from.m_member.m_zone != to.m_member.m_zone;
        const bool partitioned
            = crosses && (from.m_member.m_zone == m_partitionedZone || to.m_member.m_zone == m_partitionedZone);
        return from.m_isRunning && to.m_isRunning && !partitioned;
    }

    bool MembersFleet::deliver(
        const Heartbeat& heartbeat, Vm& from, Vm& to, std::uint64_t callBytes, Heartbeat& received)
    {
        capnp::MallocMessageBuilder message;
        writeHeartbeat(heartbeat, m_now, message.initRoot<wire::Heartbeat>());
        if (m_countsBytes)
            countBytes(heartbeat, callBytes, from, to);
        Outcome<Heartbeat> read = readHeartbeat(message.getRoot<wire::Heartbeat>().asReader(), m_now);
        received = std::move(read).value();
        return !m_random.chance(m_loss);
    }

    void MembersFleet::countBytes(const Heartbeat& heartbeat, std::uint64_t callBytes, Vm& from, Vm& to) const
    {
        Heartbeat stripped = heartbeat;
        stripped.m_reports.clear();
        stripped.m_forwardedReports.clear();
        const std::uint64_t totalBytes = packedBytes(heartbeat, m_now);
        const std::uint64_t withoutReports = packedBytes(stripped, m_now);
        stripped.m_summaries.clear();
        const std::uint64_t baseBytes = packedBytes(stripped, m_now);
        const HeartbeatBytes bytes { baseBytes + callBytes, totalBytes - withoutReports, withoutReports - baseBytes };
        from.m_bytes += bytes;
        to.m_bytes += bytes;
    }

    bool MembersFleet::exchangeHeartbeats(std::size_t from, std::size_t to, Link& link, bool closing)
    {
        Vm& opener = m_vms[from];
        Vm& other = m_vms[to];
        if (!canReach(opener, other))
            return false;
        if (link.m_otherZone.empty()) {
            opener.m_bytes.m_heartbeats += c_connectionBytes;
            other.m_bytes.m_heartbeats += c_connectionBytes;
        }
        Heartbeat sent = opener.m_state->heartbeatFor(link.m_otherZone, link.m_openerCursor, m_now);
        sent.m_closing = closing;
        Heartbeat received;
        // TCP retransmits a lost message. Simulated by restoring the cursor: the next heartbeat has its content.
        const PeerCursor openerBefore = link.m_openerCursor;
        if (!deliver(sent, opener, other, c_callBytes + c_finishBytes, received)) {
            link.m_openerCursor = openerBefore;
            return true;
        }
        link.m_openerZone = opener.m_member.m_zone;
        link.m_otherCursor.m_accepted = true;
        other.m_state->initializeCursor(received, link.m_otherCursor);
        other.m_state->applyHeartbeat(received, m_now);
        fetchConfiguration(other, opener);
        const PeerCursor otherBefore = link.m_otherCursor;
        const Heartbeat answer = other.m_state->heartbeatFor(link.m_openerZone, link.m_otherCursor, m_now);
        if (!deliver(answer, other, opener, c_returnBytes, received)) {
            link.m_otherCursor = otherBefore;
            return true;
        }
        link.m_otherZone = other.m_member.m_zone;
        opener.m_state->initializeCursor(received, link.m_openerCursor);
        opener.m_state->applyHeartbeat(received, m_now);
        fetchConfiguration(opener, other);
        return true;
    }

    void MembersFleet::fetchConfiguration(Vm& vm, const Vm& from)
    {
        const ConfigVersion offered = from.m_state->configuration().version();
        if (vm.m_fetched || !vm.m_state->startFetch(offered, m_now))
            return;
        vm.m_state->fetchEnded();
        vm.m_fetched = configurationAt(offered.m_number);
        vm.m_inForceAt = m_now + c_installTime;
    }

    void MembersFleet::recordFalseAlarms()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            for (const Member& member : m_vms[i].m_state->membership().view().m_members) {
                const bool isFalseAlarm
                    = member.m_state == MemberState::Unreachable && m_vms[m_byControl.at(member.m_control)].m_isRunning;
                if (!isFalseAlarm)
                    m_activeFalseAlarms.erase({ i, member.m_peers });
                else if (m_activeFalseAlarms.insert({ i, member.m_peers }).second)
                    ++m_falseAlarms;
            }
        }
    }

    /// Results of one fleet. Times: seconds for each observer.
    struct Row {
        std::string m_fleet;
        std::string m_topology;
        HeartbeatBytes m_mean;
        double m_meanBytes = 0;
        double m_maxBytes = 0;
        std::size_t m_links = 0; ///< maximum per VM
        std::vector<double> m_failureDetected; ///< by the members of the zone
        std::vector<double> m_readerFailureDetected;
        std::vector<double> m_version; ///< until a VM has a new version
        std::vector<double> m_health; ///< until a member of the zone has a backend server's failure
        std::vector<double> m_partitionDetected; ///< by VMs of the other zones; empty with one zone
        std::uint64_t m_falseAlarms = 0;
        double m_processor = 0; ///< processor seconds per second and VM
    };

    bool detects(const Vm& vm, Endpoint peers, MemberState state)
    {
        const std::vector<Member>& members = vm.m_state->membership().view().m_members;
        const auto found = std::ranges::find(members, peers, &Member::m_peers);
        return found == members.end() ? state == MemberState::Unreachable : found->m_state == state;
    }

    double threadSeconds()
    {
        timespec spent {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
    }

    void measureSteadyState(MembersFleet& fleet, Row& row)
    {
        fleet.countFalseAlarms();
        const double before = threadSeconds();
        fleet.runFor(c_steadyTime);
        const double spent = threadSeconds() - before;
        fleet.countBytes(true);
        fleet.runFor(c_steadyTime);
        fleet.countBytes(false);
        const double seconds = static_cast<double>(c_steadyTime.count()) / 1e6;
        const double count = static_cast<double>(fleet.vms().size());
        row.m_processor = spent / seconds / count;
        std::vector<std::size_t> links(fleet.vms().size());
        for (std::size_t i = 0; i < fleet.vms().size(); ++i) {
            const Vm& vm = fleet.vms()[i];
            row.m_mean += vm.m_bytes;
            row.m_maxBytes = std::max(row.m_maxBytes, static_cast<double>(vm.m_bytes.total()) / seconds);
            links[i] += vm.m_links.size();
            for (const auto& [other, link] : vm.m_links)
                ++links[other];
        }
        row.m_links = *std::ranges::max_element(links);
        row.m_meanBytes = static_cast<double>(row.m_mean.total()) / seconds / count;
        const std::uint64_t divisor = static_cast<std::uint64_t>(seconds * count);
        row.m_mean
            = { row.m_mean.m_heartbeats / divisor, row.m_mean.m_reports / divisor, row.m_mean.m_summaries / divisor };
    }

    std::vector<double> kill(MembersFleet& fleet, std::size_t victim)
    {
        Vm& vm = fleet.vms()[victim];
        vm.m_isRunning = false;
        const Endpoint peers = vm.m_member.m_peers;
        const std::string zone = vm.m_member.m_zone;
        return fleet.secondsUntil([&](const Vm& other) { return other.m_member.m_zone == zone; },
            [&](const Vm& other) { return detects(other, peers, MemberState::Unreachable); });
    }

    std::vector<double> failBackend(MembersFleet& fleet)
    {
        const Endpoint backend = fleet.vms().front().m_backends.front();
        const std::string zone = fleet.vms().front().m_member.m_zone;
        for (Vm& vm : fleet.vms()) {
            if (!vm.m_isRunning || std::erase(vm.m_backends, backend) == 0)
                continue;
            const std::vector<BackendReport> reports { BackendReport {
                backend, BackendHealth::Unhealthy, false, 0, 0, 0, fleet.now() } };
            vm.m_state->applyOwnReports(reports, fleet.now());
        }
        return fleet.secondsUntil([&](const Vm& vm) { return vm.m_member.m_zone == zone; },
            [&](const Vm& vm) {
                const std::vector<BackendReport> reports = vm.m_state->reports(fleet.now());
                const auto found = std::ranges::find(reports, backend, &BackendReport::m_backend);
                return found != reports.end() && found->m_health == BackendHealth::Unhealthy;
            });
    }

    Row runFleet(const FleetShape& shape, std::uint64_t seed)
    {
        Row row;
        row.m_fleet = fmt::format("{} in {}", shape.m_vms, shape.m_zones);
        row.m_topology = shape.m_name;
        MembersFleet fleet { shape, seed };
        fleet.runFor(c_warmUp);
        measureSteadyState(fleet, row);
        fleet.publish(2);
        row.m_version = fleet.secondsUntil([](const Vm&) { return true; },
            [](const Vm& vm) { return vm.m_state->configuration().version() == ConfigVersion { 2 }; });
        row.m_health = failBackend(fleet);
        fleet.runFor(std::chrono::seconds { 5 });
        const std::vector<std::size_t> zone = fleet.membersOf("zone-0");
        const auto reader = std::ranges::find_if(
            zone, [&](std::size_t index) { return fleet.vms()[index].m_state->membership().isFirstReader(); });
        row.m_readerFailureDetected = kill(fleet, *reader);
        const auto other = std::ranges::find_if(zone, [&](std::size_t index) {
            return fleet.vms()[index].m_isRunning && !fleet.vms()[index].m_state->membership().isReader();
        });
        if (other != zone.end())
            row.m_failureDetected = kill(fleet, *other);
        fleet.runFor(std::chrono::seconds { 5 });
        fleet.setLoss(0.05);
        fleet.runFor(c_steadyTime);
        fleet.setLoss(0);
        row.m_falseAlarms = fleet.falseAlarms();
        if (shape.m_zones == 1)
            return row;
        const std::string partitioned = fmt::format("zone-{}", shape.m_zones - 1);
        fleet.partitionZone(partitioned);
        row.m_partitionDetected = fleet.secondsUntil([&](const Vm& vm) { return vm.m_member.m_zone != partitioned; },
            [&](const Vm& vm) {
                const std::vector<std::string> zones = vm.m_state->membership().partitionedZones();
                return std::ranges::find(zones, partitioned) != zones.end();
            });
        return row;
    }

    /// The median and the maximum.
    std::string formatTimes(std::vector<double> seconds)
    {
        if (seconds.empty())
            return "-";
        std::ranges::sort(seconds);
        return fmt::format("{:.2f} {:.2f}", seconds[seconds.size() / 2], seconds.back());
    }

    std::string jsonTimes(std::vector<double> seconds)
    {
        if (seconds.empty())
            return "null";
        std::ranges::sort(seconds);
        return fmt::format("[{:.2f},{:.2f}]", seconds[seconds.size() / 2], seconds.back());
    }

    std::string formatRow(const Row& row, ReportFormat format)
    {
        if (format == ReportFormat::Json)
            return fmt::format(
                "{{\"fleet\":\"{}\",\"way\":\"{}\",\"bytes_per_s\":{:.0f},\"worst_bytes_per_s\":{:.0f},\"beats\":{},"
                "\"reports\":{},\"summaries\":{},\"links\":{},\"killed_s\":{},\"reader_killed_s\":{},\"version_s\":{},"
                "\"health_s\":{},\"cut_s\":{},\"false_alarms\":{},\"processor_percent\":{:.3f}}}\n",
                row.m_fleet, row.m_topology, row.m_meanBytes, row.m_maxBytes, row.m_mean.m_heartbeats,
                row.m_mean.m_reports, row.m_mean.m_summaries, row.m_links, jsonTimes(row.m_failureDetected),
                jsonTimes(row.m_readerFailureDetected), jsonTimes(row.m_version), jsonTimes(row.m_health),
                jsonTimes(row.m_partitionDetected), row.m_falseAlarms, row.m_processor * 100);
        return fmt::format("{:<9} {:<9} {:>6.0f} {:>6.0f} {:>6} {:>7} {:>9} {:>5} {:>11} {:>11} {:>11} {:>11} {:>11} "
                           "{:>6} {:>6.3f}\n",
            row.m_fleet, row.m_topology, row.m_meanBytes, row.m_maxBytes, row.m_mean.m_heartbeats, row.m_mean.m_reports,
            row.m_mean.m_summaries, row.m_links, formatTimes(row.m_failureDetected),
            formatTimes(row.m_readerFailureDetected), formatTimes(row.m_version), formatTimes(row.m_health),
            formatTimes(row.m_partitionDetected), row.m_falseAlarms, row.m_processor * 100);
    }

} // namespace

std::string runMembersExperiment(std::size_t onlyVms, std::uint64_t seed, ReportFormat format)
{
    std::vector<FleetShape> shapes { { "everybody", 8, 3, 16 }, { "drawn", 24, 1, 16 }, { "everybody", 88, 1, 4096 },
        { "drawn", 88, 1, 16 }, { "drawn", 700, 8, 16 } };
    if (onlyVms > 0)
        std::erase_if(shapes, [onlyVms](const FleetShape& shape) { return shape.m_vms != onlyVms; });
    std::vector<Row> rows(shapes.size());
    oneapi::tbb::parallel_for(
        std::size_t { 0 }, shapes.size(), [&](std::size_t i) { rows[i] = runFleet(shapes[i], seed); });
    std::string text;
    if (format == ReportFormat::Table)
        text = fmt::format("{:<9} {:<9} {:>6} {:>6} {:>6} {:>7} {:>9} {:>5} {:>11} {:>11} {:>11} {:>11} {:>11} {:>6} "
                           "{:>6}\n",
            "VMs", "beats to", "B/s", "worst", "beats", "reports", "summaries", "links", "killed", "reader", "version",
            "health", "cut", "false", "cpu%");
    for (const Row& row : rows)
        text += formatRow(row, format);
    return text;
}

} // namespace cuminrelay
