#include "bench/Reports.h"

#include "flows/OwnerMap.h"

#include <fmt/format.h>

namespace cuminrelay {

namespace {

    std::string stepCell(const FlowExperimentResult& result, FlowStep step)
    {
        const FlowExperimentResult::StepCount& count = result.m_steps[static_cast<std::size_t>(step)];
        if (step == FlowStep::Later)
            return fmt::format("{}", count.m_broken);
        return fmt::format("{}/{}", count.m_broken, count.m_flows);
    }

    std::string invariantCell(const FaultRun& run)
    {
        if (run.m_violation.empty())
            return run.m_isKnown ? "held (listed as known)" : "held";
        return run.m_isKnown ? "known: " + run.m_violation : run.m_violation;
    }

    double perPacket(std::uint64_t count, const FlowExperimentResult& result)
    {
        return result.m_packets == 0 ? 0 : static_cast<double>(count) / static_cast<double>(result.m_packets);
    }

} // namespace

std::string reportComparison(std::string_view design, std::span<const FaultRun> runs, ReportFormat format)
{
    std::string text;
    for (const FaultRun& run : runs) {
        const FlowExperimentResult& result = run.m_result;
        if (format == ReportFormat::Json) {
            text += fmt::format("{{\"design\":\"{}\",\"fault\":\"{}\",\"seed\":{},\"flows\":{},\"broken_by_reset\":{},"
                                "\"broken_by_stall\":{},\"broken_on_dead_backend\":{},\"broken_established\":{},"
                                "\"misrouted\":{},\"opened_twice\":{},\"never_opened\":{},\"refused\":{},"
                                "\"hops_per_packet\":{:.3f},\"relayed_per_packet\":{:.4f},\"control_bytes\":{},"
                                "\"held_flows\":{},\"live_flows\":{},\"imbalance\":{:.3f}}}\n",
                design, runName(run), run.m_seed, result.m_flows, result.m_brokenByReset, result.m_brokenByStall,
                result.m_brokenOnDeadBackend, result.m_brokenEstablished, result.m_misrouted, result.m_openedTwice,
                result.m_neverOpened, result.m_refused, perPacket(result.m_hops, result),
                perPacket(result.m_relayedPackets, result), result.m_controlBytes, result.m_heldFlows,
                result.m_liveFlows, result.m_worstImbalance);
        } else {
            text += fmt::format(
                "{:<22} {:<18} {:>6} {:>6} {:>6} {:>5} {:>6} {:>6} {:>6} {:>6.2f} {:>7.4f} {:>8} {:>6.2f}\n", design,
                runName(run), result.m_flows, result.m_brokenByReset, result.m_brokenByStall,
                result.m_brokenOnDeadBackend, result.m_brokenEstablished, result.m_misrouted, result.m_openedTwice,
                perPacket(result.m_hops, result), perPacket(result.m_relayedPackets, result), result.m_controlBytes,
                result.m_worstImbalance);
        }
    }
    return text;
}

std::string reportMatrix(std::span<const FaultRun> runs, ReportFormat format)
{
    std::string text;
    if (format == ReportFormat::Table)
        text += fmt::format("{:<48} {:>6} {:>10} {:>10} {:>12} {:>11} {:>9} {:>6}  {}\n",
            "broken/flows by the step at the (last) fault", "seed", "opening", "first-data", "established",
            "half-closed", "closing", "later", "promise");
    for (const FaultRun& run : runs) {
        const FlowExperimentResult& result = run.m_result;
        if (format == ReportFormat::Table) {
            text += fmt::format("{:<48} {:>6} {:>10} {:>10} {:>12} {:>11} {:>9} {:>6}  {}\n", runName(run), run.m_seed,
                stepCell(result, FlowStep::Opening), stepCell(result, FlowStep::FirstData),
                stepCell(result, FlowStep::Established), stepCell(result, FlowStep::HalfClosed),
                stepCell(result, FlowStep::Closing), stepCell(result, FlowStep::Later), invariantCell(run));
            continue;
        }
        text += fmt::format("{{\"fault\":\"{}\",\"seed\":{}", runName(run), run.m_seed);
        for (std::size_t step = 0; step < result.m_steps.size(); ++step)
            text += fmt::format(",\"{}\":\"{}\"", flowStepName(static_cast<FlowStep>(step)),
                stepCell(result, static_cast<FlowStep>(step)));
        text += fmt::format(",\"violation\":\"{}\"}}\n", run.m_violation);
    }
    return text;
}

std::string reportBrokenFlows(std::span<const FaultRun> runs)
{
    constexpr double microsecondsPerSecond = 1e6;

    std::string text;
    for (const FaultRun& run : runs) {
        for (const BrokenFlow& flow : run.m_result.m_brokenFlows) {
            const double sinceFault = static_cast<double>((flow.m_at - run.m_result.m_lastFault).count());
            const double openedSinceFault = static_cast<double>((flow.m_openedAt - run.m_result.m_lastFault).count());
            text += fmt::format(
                "{} seed {}: {} flow of bucket {}, opened {:+.2f} s, broken {:+.2f} s from the last fault, "
                "packet kind {}, sent by VM {} after {} hops, expected {}, reached {}\n",
                runName(run), run.m_seed, flow.m_key.m_protocol == Protocol::Tcp ? "TCP" : "UDP",
                bucketOf(hashFlow(flow.m_key)), openedSinceFault / microsecondsPerSecond,
                sinceFault / microsecondsPerSecond, static_cast<int>(flow.m_packetKind), flow.m_lastVm, flow.m_hops,
                formatEndpoint(flow.m_expectedBackend), formatEndpoint(flow.m_reachedBackend));
        }
    }
    return text;
}

} // namespace cuminrelay
