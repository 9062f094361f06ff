#pragma once

#include "configuration/ConfigurationHolder.h"
#include "entry/Entry.capnp.h"
#include "entry/PacketPathProxy.h"
#include "members/Member.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <span>

namespace cuminrelay {

/// Notified on the RPC thread of each member view that the control process installs.
class MemberListener {
public:
    MemberListener() = default;
    MemberListener(const MemberListener&) = delete;
    MemberListener& operator=(const MemberListener&) = delete;
    virtual ~MemberListener() = default;

    virtual void membersInstalled(std::span<const Member> members) = 0;
};

/// Serves the control process of the same VM: installs configurations and members, applies reports, returns the status.
/// One object serves all connections, because its state must survive a restart of the control process.
class EntryControlServer final : public wire::EntryControl::Server {
public:
    EntryControlServer(
        PacketPathProxy& packetPath, MemberListener& listener, const Clock& clock, Metrics& metrics, Log& log);

    /// Returns the version in force, the base for the next update. Stops at the first update that is refused (base not
    /// held, stale, conflicting or malformed) or in force already.
    kj::Promise<void> installConfigurations(InstallConfigurationsContext context) override;

    /// As applyReports: fails the call for malformed input, which changes nothing.
    kj::Promise<void> installMembers(InstallMembersContext context) override;
    kj::Promise<void> applyReports(ApplyReportsContext context) override;
    kj::Promise<void> status(StatusContext context) override;

private:
    /// Returns nullptr when the update is refused (counted) or in force already.
    SharedConfiguration acceptUpdate(wire::ConfigurationUpdate::Reader update);

    /// Returns the version in force afterwards.
    kj::Promise<ConfigVersion> install(const SharedConfiguration& configuration);
    void countRefusal(std::string_view reason, const Error& error);

    PacketPathProxy& m_packetPath;
    MemberListener& m_listener;
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
    ConfigurationHolder m_configurations;
    /// Epoch of the last installed view.
    std::uint64_t m_epoch = 0;
};

} // namespace cuminrelay
