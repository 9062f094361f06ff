#include "packets/Packet.h"

#include "base/Hash.h"

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_callerShift = 16;

} // namespace

FlowHash hashFlow(const FlowKey& key)
{
    const std::uint64_t caller = key.m_caller.packed();
    const std::uint64_t service
        = (key.m_service.packed() << c_callerShift) | static_cast<std::uint64_t>(key.m_protocol);
    return FlowHash { hashPair(caller, service) };
}

std::string_view reasonName(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::UnknownService:
        return "unknown_service";
    case Reason::NoBackendServer:
        return "no_backend_server";
    case Reason::ZoneEvacuated:
        return "zone_evacuated";
    case Reason::WarmupBudget:
        return "warmup_budget";
    case Reason::HopLimit:
        return "hop_limit";
    case Reason::OwnerPartitioned:
        return "owner_beyond_cut";
    case Reason::BackendPartitioned:
        return "backend_beyond_cut";
    case Reason::UnknownFlowDuringPartition:
        return "unknown_flow_during_cut";
    case Reason::UnknownFlowHolderUnreachable:
        return "unknown_flow_holder_away";
    case Reason::AdmissionQueueFull:
        return "admission_queue_full";
    case Reason::AdmissionShare:
        return "admission_share";
    case Reason::FlowTableFull:
        return "flow_table_full";
    case Reason::StalledConnection:
        return "silent_connection";
    case Reason::StaleAfterPause:
        return "stale_after_pause";
    case Reason::NotMember:
        return "not_member";
    case Reason::Malformed:
        return "malformed";
    case Reason::Fragment:
        return "fragment";
    case Reason::Truncated:
        return "truncated";
    case Reason::UnsupportedProtocol:
        return "unsupported_protocol";
    case Reason::NotConfigured:
        return "not_configured";
    case Reason::StateUnconfirmed:
        return "state_unconfirmed";
    case Reason::UnknownBackend:
        return "unknown_backend";
    case Reason::OpeningUnproven:
        return "opening_unproven";
    case Reason::BackendGone:
        return "backend_gone";
    case Reason::Count:
        break;
    }
    return "unknown";
}

} // namespace cuminrelay
