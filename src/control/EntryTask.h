#pragma once

#include "control/ControlHub.h"
#include "entry/Entry.capnp.h"

#include <kj/async-io.h>

namespace cuminrelay {

/// The task of the own entry process: connects, asks how it is, hands over what it does not have yet, and starts again
/// when the connection breaks. A restarted entry process is known by its incarnation and gets everything again.
class EntryTask {
public:
    EntryTask(ControlHub& hub, kj::AsyncIoContext& io);

    /// Runs for ever.
    void run(kj::WaitScope& scope);

private:
    /// What the entry process of one incarnation has been given.
    struct Given {
        std::uint64_t m_incarnation = 0;
        ConfigVersion m_configVersion;
        std::uint64_t m_viewEpoch = 0;
        bool m_viewSettled = false;
        bool m_owning = false;
    };

    void serveConnection(kj::WaitScope& scope);
    void askStatus(wire::EntryControl::Client& entry, Given& given, kj::WaitScope& scope);
    bool installConfigurations(wire::EntryControl::Client& entry, Given& given, kj::WaitScope& scope);
    void installMembers(wire::EntryControl::Client& entry, Given& given, kj::WaitScope& scope);
    void applyReports(wire::EntryControl::Client& entry, kj::WaitScope& scope);

    ControlHub& m_hub;
    kj::AsyncIoContext& m_io;
};

} // namespace cuminrelay
