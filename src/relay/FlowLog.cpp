#include "relay/FlowLog.h"

#include <fmt/format.h>
#include <string>

namespace cuminrelay {

namespace {

    std::string_view causeName(PlacementCause cause)
    {
        switch (cause) {
        case PlacementCause::New:
            return "new";
        case PlacementCause::Retransmission:
            return "copy";
        case PlacementCause::SecondChoice:
            return "second_choice";
        }
        return "unknown";
    }

    std::string_view actionName(PacketActionKind kind)
    {
        switch (kind) {
        case PacketActionKind::Refuse:
            return "refused";
        case PacketActionKind::ResetCaller:
            return "reset";
        default:
            return "dropped";
        }
    }

    std::string_view presenceName(Presence presence)
    {
        switch (presence) {
        case Presence::Announced:
            return "announced";
        case Presence::Expired:
            return "lapsed";
        case Presence::Departed:
            return "departed";
        }
        return "unknown";
    }

    /// CALLER>SERVICE, the form in which callers report a flow.
    std::string flowName(const FlowKey& flow)
    {
        return fmt::format("{}>{}", formatEndpoint(flow.m_caller), formatEndpoint(flow.m_service));
    }

    /// Milliseconds since the last answer of the backend server; -1 if there was none.
    std::int64_t answerAge(const TrackedBackend& backend, Instant now)
    {
        const Instant answered = backend.m_liveness.answeredAt();
        return answered != Instant {} ? std::chrono::duration_cast<std::chrono::milliseconds>(now - answered).count()
                                      : -1;
    }

} // namespace

FlowLog::FlowLog(Log& log, Metrics& metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void FlowLog::placed(const PacketSummary& packet, const TrackedBackend& backend, PlacementCause cause,
    std::size_t candidates, Instant now)
{
    m_metrics.counter("cuminrelay_openings_total", causeName(cause)).add();
    const BackendLoad& own = backend.m_localLoad;
    const BackendLoad& peers = backend.m_peerLoad;
    m_log.info("affinity", "flow_placed",
        { { "flow", flowName(packet.m_flow) }, { "copy", packet.m_retransmissions }, { "cause", causeName(cause) },
            { "backend", backend.m_announced.m_server.m_name }, { "candidates", candidates },
            { "active", own.m_activeRequests + peers.m_activeRequests },
            { "long_flows", own.m_longFlows + peers.m_longFlows }, { "answer_age_ms", answerAge(backend, now) },
            { "config", version() } });
}

void FlowLog::rejected(
    const PacketSummary& packet, const PacketAction& action, const TrackedBackend* backend, Instant now)
{
    const std::string_view name = backend ? std::string_view { backend->m_announced.m_server.m_name } : "unknown";
    m_log.info("affinity", "flow_turned_away",
        { { "flow", flowName(packet.m_flow) }, { "copy", packet.m_retransmissions },
            { "outcome", actionName(action.m_kind) }, { "reason", reasonName(action.m_reason) },
            { "token", packet.m_carriedToken }, { "backend", name },
            { "presence", backend ? presenceName(backend->m_presence) : "unknown" },
            { "answer_age_ms", backend ? answerAge(*backend, now) : -1 }, { "config", version() } });
}

void FlowLog::livenessChanged(const TrackedBackend& backend, bool isUnresponsive, Instant now)
{
    const std::string_view state = backend.m_confirmedDead ? "dead" : isUnresponsive ? "silent" : "answers";
    m_metrics.counter("cuminrelay_backend_life_changes_total", state).add();
    m_log.warning("affinity", "backend_life",
        { { "backend", backend.m_announced.m_server.m_name }, { "state", state },
            { "unanswered", backend.m_liveness.unanswered() }, { "answer_age_ms", answerAge(backend, now) },
            { "presence", presenceName(backend.m_presence) } });
}

void FlowLog::paceChanged(const TrackedBackend& backend, const Pace& pace)
{
    m_log.info("affinity", "backend_pace",
        { { "backend", backend.m_announced.m_server.m_name }, { "reason", paceReasonName(pace.m_reason) },
            { "factor", pace.m_factor }, { "share", pace.m_share },
            { "active", backend.m_localLoad.m_activeRequests + backend.m_peerLoad.m_activeRequests } });
}

} // namespace cuminrelay
