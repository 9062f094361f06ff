#pragma once

#include "control/ControlHub.h"
#include "entry/Entry.capnp.h"

#include <kj/async-io.h>

namespace cuminrelay {

/// Task for the entry process of this VM: connects, requests the status, installs missing state, and reconnects after a
/// failure. A restarted entry process is detected by its incarnation and gets the complete state again.
class EntryTask {
public:
    EntryTask(ControlHub& hub, kj::AsyncIoContext& io);

    /// Never returns.
    void run(kj::WaitScope& scope);

private:
    /// State installed in one incarnation of the entry process.
    struct InstalledState {
        std::uint64_t m_incarnation = 0;
        ConfigVersion m_configVersion;
        std::uint64_t m_viewEpoch = 0;
        bool m_isViewConverged = false;
        bool m_owning = false;
    };

    void serveConnection(kj::WaitScope& scope);
    void requestStatus(wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope);
    bool installConfigurations(wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope);
    void installMembers(wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope);
    void sendReports(wire::EntryControl::Client& entry, kj::WaitScope& scope);

    ControlHub& m_hub;
    kj::AsyncIoContext& m_io;
};

} // namespace cuminrelay
