#include "bench/PacketBench.h"

#include "admission/UnlimitedAdmission.h"
#include "base/Assert.h"
#include "base/Time.h"
#include "bench/Random.h"
#include "flows/FlowRouter.h"
#include "placement/BoundedLoadPlacement.h"

#include <fmt/format.h>
#include <malloc.h>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_batch = 64;
    constexpr std::size_t c_measuredPackets = 4'000'000;
    constexpr std::size_t c_slack = 1'000;

    struct Measurement {
        double m_nanosecondsPerPacket = 0;
        double m_bytesPerFlow = 0;
    };

    std::size_t heapBytes()
    {
        return mallinfo2().uordblks + mallinfo2().hblkhd;
    }

    std::vector<PacketSummary> openingPackets(std::size_t flows, Endpoint service, Random& random)
    {
        std::vector<PacketSummary> packets(flows);
        for (std::size_t i = 0; i < flows; ++i) {
            packets[i].m_kind = PacketKind::Opening;
            packets[i].m_flow.m_service = service;
            packets[i].m_flow.m_caller = Endpoint { static_cast<std::uint32_t>(0x0b000000 + i),
                static_cast<std::uint16_t>(1024 + random.below(60000)) };
        }
        return packets;
    }

    Measurement measure(std::size_t flows, std::uint64_t seed)
    {
        Random random { seed };
        const Configuration configuration = makeConfiguration(*findFleetProfile("shirakaba"));
        BoundedLoadPlacement placement;
        UnlimitedAdmission admission;
        const Endpoint self { 1, 1 };
        FlowRouter router { self, placement, admission, FlowRouter::Limits { flows + c_slack } };
        const SystemClock clock;
        router.installConfiguration(configuration, clock.now());
        Member member;
        member.m_peers = self;
        router.installMembers(MemberView { 1, { member } }, clock.now());

        std::vector<PacketSummary> packets = openingPackets(flows, configuration.m_services[0].m_address, random);
        std::vector<Verdict> verdicts(flows);
        const std::size_t before = heapBytes();
        router.decide(packets, verdicts, clock.now());
        const std::size_t held = heapBytes() - before;
        CR_ASSERT(router.flowCount() == flows, "each opening makes one flow");

        // Packets of flows in random order, prepared ahead so that only decisions are measured.
        std::vector<PacketSummary> sent(std::min(c_measuredPackets, flows * c_batch));
        for (PacketSummary& packet : sent) {
            packet = packets[random.below(flows)];
            packet.m_kind = PacketKind::Midstream;
            packet.m_payloadBytes = 100;
        }
        std::vector<Verdict> answers(c_batch);
        std::size_t decided = 0;
        const Instant begin = clock.now();
        while (decided < c_measuredPackets) {
            for (std::size_t i = 0; i + c_batch <= sent.size() && decided < c_measuredPackets; i += c_batch) {
                router.decide({ sent.data() + i, c_batch }, answers, begin);
                decided += c_batch;
            }
        }
        const double nanoseconds = static_cast<double>((clock.now() - begin).count()) * 1e3;
        CR_ASSERT(answers.back().m_kind == VerdictKind::ToBackend, "established packets go to their backend server");
        return { nanoseconds / static_cast<double>(decided), static_cast<double>(held) / static_cast<double>(flows) };
    }

} // namespace

std::string runPacketBench(std::size_t flows, std::uint64_t seed, ReportFormat format)
{
    std::vector<std::size_t> sizes { 1'000, 10'000, 100'000, 1'000'000 };
    if (flows > 0)
        sizes = { flows };
    std::string text;
    if (format == ReportFormat::Table)
        text += fmt::format("{:>9} {:>10} {:>16} {:>11}\n", "flows", "ns/packet", "packets/s/core", "bytes/flow");
    for (const std::size_t size : sizes) {
        const Measurement measured = measure(size, seed);
        const double perSecond = 1e9 / measured.m_nanosecondsPerPacket;
        if (format == ReportFormat::Json)
            text += fmt::format(
                "{{\"flows\":{},\"ns_per_packet\":{:.1f},\"packets_per_second\":{:.0f},\"bytes_per_flow\":{:.1f}}}\n",
                size, measured.m_nanosecondsPerPacket, perSecond, measured.m_bytesPerFlow);
        else
            text += fmt::format("{:>9} {:>10.1f} {:>16.0f} {:>11.1f}\n", size, measured.m_nanosecondsPerPacket,
                perSecond, measured.m_bytesPerFlow);
    }
    return text;
}

} // namespace cuminrelay
