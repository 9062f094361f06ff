#include "affinity/ContestedFlows.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessage.h"
#include "exchange/LoadMessageSchedule.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    struct FleetSize {
        const char* m_name;
        std::size_t m_vms;
        std::size_t m_zones;
        std::uint32_t m_backends;
        double m_flowsPerSecond; ///< new ones, of which c_contestedShare are contested

        friend std::ostream& operator<<(std::ostream& out, const FleetSize& size) { return out << size.m_name; }
    };

    constexpr double c_contestedShare = 0.002;
    constexpr double c_messageLoss = 0.02;
    constexpr Duration c_tick = milliseconds { 25 };

    /// Time in which all VMs learn of a contested flow, also if the VM that recorded it ends: after so long, a VM is
    /// expected to serve as if nothing had happened (StableWindowMs).
    constexpr Duration c_spreadTime = seconds { 4 };

    /// Backend servers with requests of a VM's flows.
    constexpr std::uint32_t c_loads = 16;

    /// Entry VMs that exchange load messages under a changing load, on a virtual clock. Which flows are contested comes
    /// from a random source, everything else is the product's.
    class Fleet {
    public:
        explicit Fleet(const FleetSize& size)
            : m_size(size)
            , m_vms(size.m_vms)
        {
            for (std::size_t i = 0; i < size.m_vms; ++i) {
                m_vms[i].m_self = { 0x0a010000 + static_cast<std::uint32_t>(i), 7720 };
                m_vms[i].m_zone = { static_cast<std::uint32_t>(i % size.m_zones) + 1 };
            }
            for (std::size_t i = 0; i < size.m_vms; ++i)
                start(i);
        }

        void run(Duration duration, bool hasContestedFlows)
        {
            for (const Instant end = m_now + duration; m_now < end; m_now += c_tick) {
                if (hasContestedFlows)
                    addContestedFlows();
                for (std::size_t i = 0; i < m_vms.size(); ++i)
                    tick(i);
            }
        }

        /// Replaces the process of a VM by a new one, which knows nothing.
        void restart(std::size_t vm) { start(vm); }

        /// The number of recorded flows, at least c_spreadTime old, that a VM does not know or would resolve otherwise.
        std::size_t missingAt(std::size_t vm)
        {
            std::size_t missing = 0;
            for (const Recorded& recorded : m_recorded) {
                const Duration age = m_now - recorded.m_at;
                const bool isDue = age >= c_spreadTime && age < seconds { 58 };
                const ContestedFlow& flow = recorded.m_flow;
                const ContestedFlow* const known
                    = m_vms[vm].m_flows->find(flow.m_flow, flow.m_openingSequence + 1, m_now);
                missing += isDue && (!known || known->m_backend != flow.m_backend) ? 1 : 0;
            }
            return missing;
        }

        std::size_t recorded() const { return m_recorded.size(); }
        std::size_t vms() const { return m_vms.size(); }
        Instant now() const { return m_now; }
        Instant knownSince(std::size_t vm) const { return m_vms[vm].m_flows->knownSince(); }

        /// Bytes that a VM has sent, in the mean. Load messages, and lists of contested flows.
        double bytesSent() const { return static_cast<double>(m_bytes) / static_cast<double>(m_vms.size()); }

    private:
        struct Vm {
            Endpoint m_self;
            ZoneHash m_zone;
            std::unique_ptr<ExchangePeers> m_peers;
            std::unique_ptr<ContestedFlows> m_flows;
            std::unique_ptr<LoadMessageSchedule> m_schedule;
            std::vector<BackendLoadReport> m_loads;
        };

        struct Recorded {
            ContestedFlow m_flow;
            Instant m_at {};
        };

        void start(std::size_t index)
        {
            Vm& vm = m_vms[index];
            std::vector<Endpoint> seeds;
            for (std::size_t seed = 0; seed < 3; ++seed)
                seeds.push_back(m_vms[seed * m_vms.size() / 3].m_self);
            std::erase(seeds, vm.m_self);
            vm.m_peers = std::make_unique<ExchangePeers>(vm.m_self, vm.m_zone, seeds);
            vm.m_flows = std::make_unique<ContestedFlows>(index, m_now);
            vm.m_schedule = std::make_unique<LoadMessageSchedule>(c_exchangeBytesPerSecond);
        }

        void addContestedFlows()
        {
            m_due += m_size.m_flowsPerSecond * c_contestedShare * std::chrono::duration<double> { c_tick }.count();
            for (; m_due >= 1; --m_due) {
                Vm& vm = m_vms[m_random() % m_vms.size()];
                const ContestedFlow flow { { m_random() }, static_cast<std::uint32_t>(m_random()),
                    tokenOf({ 1 + m_random() % m_size.m_backends }) };
                vm.m_flows->add(flow.m_flow, flow.m_openingSequence, m_now);
                vm.m_flows->resolve(flow.m_flow, flow.m_backend, m_now);
                m_recorded.push_back({ flow, m_now });
            }
        }

        void tick(std::size_t index)
        {
            Vm& vm = m_vms[index];
            vm.m_flows->sweep(m_now);
            restoreFromPeer(vm);
            changeLoad(vm);
            if (!vm.m_schedule->isDue(vm.m_loads, {}, vm.m_flows->hasChanges(), m_now))
                return;
            LoadMessage message;
            message.m_zone = vm.m_zone;
            message.m_loads = vm.m_loads;
            message.m_contestedFlows = vm.m_flows->takeForMessage(c_maxContestedFlows, m_now);
            message.m_contestedKnownFor = vm.m_flows->knownFor(m_now);
            message.m_peers = vm.m_peers->peersToGossip(m_now);
            alignas(8) std::array<std::byte, c_maxLoadMessageBytes> buffer {};
            const std::vector<Endpoint> targets = vm.m_peers->nextTargets(m_now);
            const std::size_t bytes
                = targets.size() * (encodeLoadMessage(message, buffer).size() + c_datagramHeaderBytes);
            vm.m_schedule->recordLoadMessage(message.m_loads, {}, bytes, m_now, vm.m_peers->repeatAt(m_now));
            m_bytes += bytes;
            for (const Endpoint target : targets) {
                if (std::uniform_real_distribution<> {}(m_random) >= c_messageLoss)
                    receive(m_vms[target.m_address - m_vms.front().m_self.m_address], vm.m_self, message);
            }
        }

        void receive(Vm& vm, Endpoint sender, const LoadMessage& message)
        {
            vm.m_peers->recordMessage(sender, message, m_now);
            for (const ContestedFlowReport& flow : message.m_contestedFlows)
                vm.m_flows->apply(flow, m_now);
        }

        void restoreFromPeer(Vm& vm)
        {
            const std::optional<Endpoint> peer
                = vm.m_peers->peerWithEarlierContestedFlows(vm.m_flows->knownSince(), m_now);
            if (!peer)
                return;
            const ContestedFlows& known = *m_vms[peer->m_address - m_vms.front().m_self.m_address].m_flows;
            const std::vector<ContestedFlowReport> flows = known.reports(m_now);
            m_bytes += flows.size() * s_listedFlowBytes + s_listBytes;
            vm.m_flows->restore(flows, m_now - known.knownFor(m_now), m_now);
        }

        /// One backend server's load changes with each flow.
        void changeLoad(Vm& vm)
        {
            vm.m_loads.resize(c_loads);
            for (std::size_t i = 0; i < c_loads; ++i)
                vm.m_loads[i].m_backend = tokenOf({ i + 1 });
            vm.m_loads[m_random() % c_loads].m_load.m_activeRequests = static_cast<std::uint32_t>(m_random() % 4);
        }

        /// Of a list in a response, and the request, both with headers.
        static constexpr std::size_t s_listedFlowBytes = 17;
        static constexpr std::size_t s_listBytes = 400;

        FleetSize m_size;
        std::vector<Vm> m_vms;
        std::vector<Recorded> m_recorded;
        Instant m_now { seconds { 1'000 } };
        double m_due = 0;
        std::size_t m_bytes = 0;
        std::mt19937_64 m_random { 42 };
    };

    class ContestedFlowsFleetTest : public testing::TestWithParam<FleetSize> { };

    class ContestedFlowsCostTest : public testing::TestWithParam<FleetSize> { };

    constexpr FleetSize c_small { "8Vms", 8, 3, 18, 100 };
    constexpr FleetSize c_medium { "75Vms", 75, 4, 150, 490 };
    constexpr FleetSize c_large { "195Vms", 195, 5, 293, 350 };

    std::string nameOf(const testing::TestParamInfo<FleetSize>& parameter)
    {
        return parameter.param.m_name;
    }

    // The VMs that had recorded a flow were restarted one after the other, and no VM that started later learned of it
    // (review/8). The others repeated what they had seen themselves, and nothing else.
    TEST_P(ContestedFlowsFleetTest, allVmsKnowAllFlowsWhileEachIsRestarted)
    {
        Fleet fleet { GetParam() };
        fleet.run(seconds { 62 }, true);
        ASSERT_GT(fleet.recorded(), 5u);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
            EXPECT_EQ(fleet.missingAt(vm), 0u) << "VM " << vm;
        constexpr std::size_t groups = 8;
        for (std::size_t group = 0; group < groups; ++group) {
            for (std::size_t vm = group; vm < fleet.vms(); vm += groups)
                fleet.restart(vm);
            fleet.run(c_spreadTime, false);
            for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
                ASSERT_EQ(fleet.missingAt(vm), 0u) << "VM " << vm << " after the restart of group " << group;
        }
    }

    // Messages that lie within the byte budget in all sizes that the design provides for.
    TEST_P(ContestedFlowsCostTest, bytesStayWithinTheBudgetOfControlTraffic)
    {
        constexpr seconds duration { 10 };
        Fleet fleet { GetParam() };
        fleet.run(seconds { 62 }, true);
        const double before = fleet.bytesSent();
        fleet.run(duration, true);
        const double perSecond = (fleet.bytesSent() - before) / static_cast<double>(duration.count());
        RecordProperty("bytes_per_vm_and_second", std::to_string(perSecond));
        RecordProperty("contested_flows", std::to_string(fleet.recorded()));
        EXPECT_LE(perSecond, 20'000);
    }

    TEST_P(ContestedFlowsFleetTest, vmsThatStartTogetherKnowSinceWhen)
    {
        Fleet fleet { GetParam() };
        const Instant startedAt = fleet.now();
        fleet.run(seconds { 5 }, true);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
            EXPECT_EQ(fleet.knownSince(vm), startedAt);
        const Instant restartedAt = fleet.now();
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
            fleet.restart(vm);
        fleet.run(seconds { 5 }, true);
        for (std::size_t vm = 0; vm < fleet.vms(); ++vm)
            EXPECT_GE(fleet.knownSince(vm), restartedAt);
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, ContestedFlowsFleetTest, testing::Values(c_small, c_medium), nameOf);
    INSTANTIATE_TEST_SUITE_P(Sizes, ContestedFlowsCostTest, testing::Values(c_small, c_medium, c_large), nameOf);

} // namespace
} // namespace cuminrelay
