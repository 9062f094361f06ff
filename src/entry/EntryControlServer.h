#pragma once

#include "configuration/ConfigurationHolder.h"
#include "entry/Entry.capnp.h"
#include "entry/PacketThread.h"
#include "members/Member.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <span>

namespace cuminrelay {

/// Told of each view of the members that control hands in, on the RPC thread.
class MemberListener {
public:
    MemberListener() = default;
    MemberListener(const MemberListener&) = delete;
    MemberListener& operator=(const MemberListener&) = delete;
    virtual ~MemberListener() = default;

    virtual void membersInstalled(std::span<const Member> members) = 0;
};

/// Serves the control process of the same VM: takes tables, members and reports, and tells the status. One object for
/// all connections, because what is held outlives a control process.
class EntryControlServer final : public wire::EntryControl::Server {
public:
    EntryControlServer(PacketThread& packets, MemberListener& listener, const Clock& clock, Metrics& metrics, Log& log);

    /// Answers with the version in force. An update that cannot be applied, because its base is not held, is old or
    /// malformed, changes nothing: the answer tells the caller which base is held.
    kj::Promise<void> installConfigurations(InstallConfigurationsContext context) override;
    kj::Promise<void> installMembers(InstallMembersContext context) override;
    kj::Promise<void> applyReports(ApplyReportsContext context) override;
    kj::Promise<void> status(StatusContext context) override;

private:
    /// The configuration that an update makes, when it is one to install; refusals are counted.
    SharedConfiguration takeUpdate(wire::ConfigurationUpdate::Reader update);

    /// Builds its tables and puts it in force; the version that is in force then.
    kj::Promise<ConfigVersion> install(const SharedConfiguration& configuration);
    void countRefusal(std::string_view reason, const Error& error);

    PacketThread& m_packets;
    MemberListener& m_listener;
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
    ConfigurationHolder m_configurations;
    std::uint64_t m_epoch = 0; ///< of the last view
};

} // namespace cuminrelay
