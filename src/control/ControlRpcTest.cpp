#include "control/ControlRpc.h"

#include "backends/BackendMessage.h"
#include "configuration/ConfigurationMessage.h"
#include "control/ControlState.h"
#include "control/PeerConnection.h"
#include "entry/Entry.capnp.h"
#include "members/MemberMessage.h"
#include "rpc/Streams.h"

#include <algorithm>
#include <capnp/ez-rpc.h>
#include <condition_variable>
#include <functional>
#include <gtest/gtest.h>
#include <mutex>

namespace cuminrelay {
namespace {

    constexpr std::uint32_t c_loopback = 0x7f000001;
    constexpr std::uint32_t c_unknownAddress = 0x7f000009;

    /// Time limit of a wait; the test fails when it passes.
    constexpr std::chrono::seconds c_waitTimeout { 30 };

    /// A value that one thread changes while another one waits for a condition on it.
    template <typename Value> class Watched {
    public:
        void change(const std::function<void(Value&)>& change)
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            change(m_value);
            m_changed.notify_all();
        }

        bool waitFor(const std::function<bool(const Value&)>& condition)
        {
            std::unique_lock<std::mutex> lock { m_mutex };
            return m_changed.wait_for(lock, c_waitTimeout, [&] { return condition(m_value); });
        }

        Value get()
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            return m_value;
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        Value m_value;
    };

    /// Installed state and reported status of a fake entry process.
    struct FakeEntryState {
        EntryProcessStatus m_status;
        Configuration m_configuration;
        std::vector<Member> m_members;
        std::map<Endpoint, BackendReport> m_reports;
        unsigned m_installs = 0;
    };

    class FakeEntryService final : public wire::EntryControl::Server {
    public:
        explicit FakeEntryService(Watched<FakeEntryState>& state)
            : m_state(state)
        {
        }

        kj::Promise<void> installConfigurations(InstallConfigurationsContext context) override
        {
            m_state.change([&](FakeEntryState& state) {
                ++state.m_installs;
                for (const wire::ConfigurationUpdate::Reader update : context.getParams().getUpdates()) {
                    Outcome<Configuration> updated = applyUpdate(state.m_configuration, update);
                    if (updated && updated.value().m_version > state.m_configuration.m_version)
                        state.m_configuration = std::move(updated).value();
                }
                state.m_status.m_statistics.m_configVersion = state.m_configuration.m_version;
                context.getResults().setVersion(state.m_configuration.m_version.m_number);
            });
            return kj::READY_NOW;
        }

        kj::Promise<void> installMembers(InstallMembersContext context) override
        {
            m_state.change([&](FakeEntryState& state) {
                state.m_members = readMembers(context.getParams().getMembers()).value();
                state.m_status.m_owning = std::ranges::any_of(state.m_members, [&state](const Member& member) {
                    return member.m_incarnation == state.m_status.m_incarnation
                        && member.m_state == MemberState::Active;
                });
            });
            return kj::READY_NOW;
        }

        kj::Promise<void> applyReports(ApplyReportsContext context) override
        {
            const Outcome<std::vector<BackendReport>> reports
                = readBackendReports(context.getParams().getReports(), Instant {});
            m_state.change([&](FakeEntryState& state) {
                for (const BackendReport& report : reports.value())
                    state.m_reports[report.m_backend] = report;
            });
            return kj::READY_NOW;
        }

        kj::Promise<void> status(StatusContext context) override
        {
            m_state.change([&](FakeEntryState& state) {
                wire::EntryStatus::Builder status = context.getResults().initStatus();
                status.setIncarnation(state.m_status.m_incarnation);
                status.setLeaving(state.m_status.m_leaving);
                status.setOwning(state.m_status.m_owning);
                status.setConfigVersion(state.m_status.m_statistics.m_configVersion.m_number);
                status.setFlows(state.m_status.m_statistics.m_flows);
            });
            return kj::READY_NOW;
        }

    private:
        Watched<FakeEntryState>& m_state;
    };

    /// RPC server of an entry process, on its own thread.
    class FakeEntry {
    public:
        explicit FakeEntry(std::uint64_t incarnation)
        {
            m_state.change([&](FakeEntryState& state) { state.m_status.m_incarnation = incarnation; });
            std::promise<std::uint16_t> started;
            std::future<std::uint16_t> port = started.get_future();
            m_thread = std::thread { [this, &started] {
                capnp::EzRpcServer server { kj::heap<FakeEntryService>(m_state), "127.0.0.1", 0 };
                started.set_value(static_cast<std::uint16_t>(server.getPort().wait(server.getWaitScope())));
                m_mailbox.run(server.getWaitScope());
            } };
            m_endpoint = { c_loopback, port.get() };
        }

        ~FakeEntry()
        {
            m_mailbox.close();
            m_thread.join();
        }

        FakeEntry(const FakeEntry&) = delete;
        FakeEntry& operator=(const FakeEntry&) = delete;

        Endpoint endpoint() const { return m_endpoint; }
        Watched<FakeEntryState>& state() { return m_state; }

        /// Simulates a restart: the next incarnation, without any installed state.
        void restart()
        {
            m_state.change([](FakeEntryState& state) {
                const std::uint64_t incarnation = state.m_status.m_incarnation + 1;
                state = FakeEntryState {};
                state.m_status.m_incarnation = incarnation;
            });
        }

    private:
        Watched<FakeEntryState> m_state;
        RpcMailbox m_mailbox;
        Endpoint m_endpoint;
        std::thread m_thread;
    };

    struct ListenerEvents {
        FleetSnapshot m_snapshot;
        ZoneStatus m_status;
    };

    class RecordingListener final : public FleetListener {
    public:
        void fleetChanged(FleetSnapshot snapshot) override
        {
            m_events.change([&](ListenerEvents& events) { events.m_snapshot = std::move(snapshot); });
        }

        void statusDue(ZoneStatus status) override
        {
            m_events.change([&](ListenerEvents& events) { events.m_status = std::move(status); });
        }

        void unknownPeerConnected() override { }

        Watched<ListenerEvents> m_events;
    };

    /// An entry VM: the RPC thread of a control process with a fake entry process.
    class Vm {
    public:
        Vm(std::uint32_t number, std::string zone, std::vector<Endpoint> seeds)
            : m_entry(number)
            , m_rpc(options(number, std::move(zone), std::move(seeds)), m_clock, m_metrics, m_log, m_listener)
        {
            m_self.m_control = { c_loopback, m_rpc.start().value() };
        }

        Endpoint control() const { return m_self.m_control; }
        const Member& self() const { return m_self; }
        FakeEntry& entry() { return m_entry; }
        ControlRpc& rpc() { return m_rpc; }
        Metrics& metrics() { return m_metrics; }
        Watched<ListenerEvents>& events() { return m_listener.m_events; }

        bool sees(std::size_t members, MemberState state)
        {
            return events().waitFor([&](const ListenerEvents& events) {
                return std::ranges::count(events.m_snapshot.m_view.m_members, state, &Member::m_state)
                    == static_cast<std::ptrdiff_t>(members);
            });
        }

    private:
        ControlOptions options(std::uint32_t number, std::string zone, std::vector<Endpoint> seeds)
        {
            m_self = Member { { c_loopback, static_cast<std::uint16_t>(number) }, { c_loopback, 1 }, { c_loopback, 0 },
                "entry-" + std::to_string(number), std::move(zone), 0, MemberState::Active };
            ControlOptions options;
            options.m_self = m_self;
            options.m_entryRpc = m_entry.endpoint();
            options.m_seedPeers = std::move(seeds);
            options.m_heartbeatInterval = std::chrono::milliseconds { 50 };
            return options;
        }

        Member m_self;
        SystemClock m_clock;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        RecordingListener m_listener;
        FakeEntry m_entry;
        ControlRpc m_rpc;
    };

    Configuration configurationAt(std::uint64_t version)
    {
        Configuration configuration;
        configuration.m_version = ConfigVersion { version };
        configuration.m_zones = { "a" };
        BackendServer server;
        server.m_name = "kanteisha-1";
        server.m_zone = "a";
        server.m_tunnel = { c_loopback, 9000 };
        server.m_report = { c_loopback, 9001 };
        server.m_slots = 2;
        server.m_connectionLimit = static_cast<std::uint32_t>(version);
        configuration.m_backendServers = { server };
        return configuration;
    }

    bool hasVersion(FakeEntry& entry, std::uint64_t version)
    {
        return entry.state().waitFor(
            [&](const FakeEntryState& state) { return state.m_configuration.m_version == ConfigVersion { version }; });
    }

    TEST(ControlRpc, peersConnectThroughSeedsAndInstallTheViewInTheirEntryProcesses)
    {
        Vm first { 1, "a", {} };
        Vm second { 2, "a", { first.control() } };
        first.rpc().applyList({ first.self(), second.self() });
        EXPECT_TRUE(first.sees(2, MemberState::Active));
        EXPECT_TRUE(second.sees(2, MemberState::Active));
        for (Vm* const vm : { &first, &second }) {
            EXPECT_TRUE(vm->entry().state().waitFor([](const FakeEntryState& state) {
                return std::ranges::count(state.m_members, MemberState::Active, &Member::m_state) == 2;
            }));
        }
        EXPECT_GT(first.metrics().total("cuminrelay_control_bytes_total"), 0U);
    }

    TEST(ControlRpc, aConfigurationIsInstalledInAllEntryProcesses)
    {
        Vm first { 1, "a", {} };
        Vm second { 2, "b", { first.control() } };
        first.rpc().applyList({ first.self(), second.self() });
        first.rpc().offerConfiguration(configurationAt(3));
        EXPECT_TRUE(hasVersion(first.entry(), 3));
        EXPECT_TRUE(hasVersion(second.entry(), 3));
        second.rpc().offerConfiguration(configurationAt(4));
        EXPECT_TRUE(hasVersion(first.entry(), 4));
        EXPECT_EQ(first.entry().state().get().m_configuration, configurationAt(4));
        first.rpc().offerConfiguration(configurationAt(2));
        first.rpc().offerConfiguration(configurationAt(5));
        EXPECT_TRUE(hasVersion(second.entry(), 5));
        EXPECT_EQ(first.metrics().counter("cuminrelay_configurations_total", "stale").value(), 1U);
    }

    TEST(ControlRpc, aRestartedEntryProcessGetsTheCompleteStateAgain)
    {
        Vm vm { 1, "a", {} };
        vm.rpc().applyList({ vm.self() });
        vm.rpc().offerConfiguration(configurationAt(3));
        vm.rpc().applyOwnReports(
            { BackendReport { { c_loopback, 9000 }, BackendHealth::Healthy, false, 7, 1, 0, SystemClock {}.now() } });
        const std::function<bool(const FakeEntryState&)> hasAll = [](const FakeEntryState& state) {
            return state.m_configuration.m_version == ConfigVersion { 3 } && state.m_members.size() == 1
                && state.m_reports.size() == 1;
        };
        EXPECT_TRUE(vm.entry().state().waitFor(hasAll));
        vm.entry().restart();
        EXPECT_TRUE(vm.entry().state().waitFor(hasAll));
        EXPECT_TRUE(vm.events().waitFor(
            [](const ListenerEvents& events) { return events.m_snapshot.m_view.m_members[0].m_incarnation == 2; }));
    }

    TEST(ControlRpc, peersDetectALeavingAndAStoppedVm)
    {
        Vm first { 1, "a", {} };
        {
            Vm second { 2, "a", { first.control() } };
            first.rpc().applyList({ first.self(), second.self() });
            EXPECT_TRUE(first.sees(2, MemberState::Active));
            second.entry().state().change([](FakeEntryState& state) { state.m_status.m_leaving = true; });
            EXPECT_TRUE(first.sees(1, MemberState::Leaving));
        }
        EXPECT_TRUE(first.sees(1, MemberState::Unreachable));
    }

    TEST(ControlRpc, aReportOfOneProberReachesTheOtherEntryProcess)
    {
        Vm first { 1, "a", {} };
        Vm second { 2, "a", { first.control() } };
        first.rpc().applyList({ first.self(), second.self() });
        second.rpc().applyOwnReports(
            { BackendReport { { c_loopback, 9000 }, BackendHealth::Unhealthy, false, 0, 0, 0, SystemClock {}.now() } });
        EXPECT_TRUE(first.entry().state().waitFor([](const FakeEntryState& state) {
            const auto found = state.m_reports.find({ c_loopback, 9000 });
            return found != state.m_reports.end() && found->second.m_health == BackendHealth::Unhealthy;
        }));
    }

    TEST(ControlRpc, aConnectionFromAnUnknownAddressIsRefusedAndCounted)
    {
        Vm vm { 1, "a", {} };
        Watched<bool> refused;
        std::thread unknownPeer { [&] {
            kj::AsyncIoContext io = kj::setupAsyncIo();
            kj::Own<kj::AsyncIoStream> stream
                = connectFrom(*io.lowLevelProvider, c_unknownAddress, vm.control()).wait(io.waitScope);
            kj::byte byte = 0;
            const std::size_t read = stream->tryRead(&byte, 1, 1).wait(io.waitScope);
            refused.change([&](bool& value) { value = read == 0; });
        } };
        unknownPeer.join();
        EXPECT_TRUE(refused.get());
        EXPECT_EQ(vm.metrics().counter("cuminrelay_control_refusals_total", "not_a_member").value(), 1U);
    }

    TEST(ControlRpc, theFirstReaderReportsTheStatusOfItsZone)
    {
        Vm vm { 1, "a", {} };
        vm.rpc().applyList({ vm.self() });
        vm.rpc().offerConfiguration(configurationAt(3));
        EXPECT_TRUE(vm.events().waitFor([](const ListenerEvents& events) {
            return events.m_status.m_members.size() == 1
                && events.m_status.m_members[0].m_statistics.m_configVersion == ConfigVersion { 3 };
        }));
    }

    TEST(ControlRpc, aPortInUseIsReportedWithItsEndpoint)
    {
        Vm vm { 1, "a", {} };
        SystemClock clock;
        Metrics metrics;
        Log log { LogLevel::Error };
        RecordingListener listener;
        ControlOptions options;
        options.m_self = vm.self();
        ControlRpc second { options, clock, metrics, log, listener };
        const Outcome<std::uint16_t> started = second.start();
        ASSERT_FALSE(started.has_value());
        EXPECT_EQ(started.error().m_kind, ErrorKind::Unavailable);
        EXPECT_NE(started.error().m_message.find(formatEndpoint(vm.control())), std::string::npos);
    }

} // namespace
} // namespace cuminrelay
