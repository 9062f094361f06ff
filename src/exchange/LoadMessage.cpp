#include "exchange/LoadMessage.h"

#include "base/Assert.h"
#include "exchange/LoadExchange.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <fmt/format.h>
#include <kj/exception.h>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr int c_nestingLimit = 4;

    /// Default in the schema, which older programs send too.
    constexpr std::uint32_t c_unknownAge = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t ageInMilliseconds(std::optional<Duration> age)
    {
        if (!age)
            return c_unknownAge;
        const std::int64_t milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, c_unknownAge));
    }

    template <typename T> T saturated(std::int64_t value)
    {
        return static_cast<T>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<T>::max()));
    }

    void writeEvacuatedZones(const EvacuatedZones& evacuated, wire::LoadMessage::Builder root)
    {
        if (evacuated.size() == 0)
            return;
        capnp::List<std::uint32_t>::Builder zones
            = root.initEvacuatedZones(static_cast<unsigned>(evacuated.m_zones.size()));
        for (unsigned i = 0; i < zones.size(); ++i)
            zones.set(i, evacuated.m_zones[i].m_value);
        capnp::List<std::uint32_t>::Builder retained
            = root.initRetainedZones(static_cast<unsigned>(evacuated.m_retained.size()));
        for (unsigned i = 0; i < retained.size(); ++i)
            retained.set(i, evacuated.m_retained[i].m_value);
        root.setRetainedMs(static_cast<std::uint16_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(evacuated.m_retainedFor).count()));
    }

    EvacuatedZones readEvacuatedZones(wire::LoadMessage::Reader reader)
    {
        EvacuatedZones evacuated;
        for (const std::uint32_t zone : reader.getEvacuatedZones())
            evacuated.m_zones.push_back({ zone });
        for (const std::uint32_t zone : reader.getRetainedZones())
            evacuated.m_retained.push_back({ zone });
        if (!evacuated.m_retained.empty())
            evacuated.m_retainedFor = std::chrono::milliseconds { reader.getRetainedMs() };
        return evacuated;
    }

    LoadMessage readMessage(wire::LoadMessage::Reader reader)
    {
        LoadMessage message;
        message.m_zone = { reader.getZone() };
        message.m_leaving = reader.getLeaving();
        message.m_isReading = reader.getReading();
        message.m_storeVersions = { { reader.getBackendsRevision(), reader.getBackendsEra() },
            { reader.getDeclarationsVersion() }, { reader.getEvacuationsRevision(), reader.getEvacuationsEra() } };
        if (reader.getStateAgeMs() != c_unknownAge)
            message.m_stateAge = std::chrono::milliseconds { reader.getStateAgeMs() };
        for (const wire::BackendLoad::Reader load : reader.getLoads())
            message.m_loads.push_back({ { load.getToken() }, { load.getActiveRequests(), load.getLongFlows() } });
        for (const std::uint32_t token : reader.getDead())
            message.m_dead.push_back({ token });
        for (const wire::Peer::Reader peer : reader.getPeers())
            message.m_peers.push_back({ Endpoint::fromPacked(peer.getExchange()), { peer.getZone() } });
        const capnp::List<std::uint16_t>::Reader ages = reader.getContestedAgesMs();
        for (const wire::ContestedFlow::Reader flow : reader.getContestedFlows()) {
            // Older programs send no ages and repeat only flows that they saw.
            const unsigned index = static_cast<unsigned>(message.m_contestedFlows.size());
            message.m_contestedFlows.push_back({ { { flow.getFlow() }, flow.getOpeningSequence(), { flow.getToken() } },
                std::chrono::milliseconds { index < ages.size() ? ages[index] : 0 } });
        }
        message.m_contestedKnownFor = std::chrono::milliseconds { reader.getContestedKnownMs() };
        for (const std::uint64_t flow : reader.getQuestions())
            message.m_questions.push_back({ flow });
        message.m_isNotice = reader.getNotice();
        message.m_evacuated = readEvacuatedZones(reader);
        return message;
    }

} // namespace

std::size_t maxLoadsBeside(const EvacuatedZones& evacuated)
{
    // A load takes 8 bytes, a zone 4 in either list.
    return c_maxLoads - (evacuated.m_zones.size() + 1) / 2 - (evacuated.m_retained.size() + 1) / 2;
}

bool fitsIntoDatagram(const LoadMessage& message)
{
    if (message.m_evacuated.size() > EvacuatedZones::s_maxZones)
        return false;
    if (message.m_isNotice)
        return message.m_loads.empty() && message.m_dead.empty() && message.m_peers.empty()
            && message.m_contestedFlows.size() <= c_maxNoticedFlows && message.m_questions.size() <= c_maxQuestions;
    return message.m_loads.size() <= maxLoadsBeside(message.m_evacuated) && message.m_dead.size() <= c_maxDead
        && message.m_peers.size() <= c_maxPeers && message.m_contestedFlows.size() <= c_maxContestedFlows
        && message.m_questions.empty();
}

std::span<const std::byte> encodeLoadMessage(const LoadMessage& message, std::span<std::byte> out)
{
    CR_ASSERT(fitsIntoDatagram(message), "load message has too many entries");
    capnp::MallocMessageBuilder builder;
    wire::LoadMessage::Builder root = builder.initRoot<wire::LoadMessage>();
    root.setZone(message.m_zone.m_value);
    root.setLeaving(message.m_leaving);
    root.setReading(message.m_isReading);
    root.setBackendsRevision(message.m_storeVersions.m_backends.m_number);
    root.setDeclarationsVersion(message.m_storeVersions.m_declarations.m_number);
    root.setStateAgeMs(ageInMilliseconds(message.m_stateAge));
    root.setBackendsEra(message.m_storeVersions.m_backends.m_era);
    root.setEvacuationsRevision(message.m_storeVersions.m_evacuations.m_number);
    root.setEvacuationsEra(message.m_storeVersions.m_evacuations.m_era);
    writeEvacuatedZones(message.m_evacuated, root);
    capnp::List<wire::BackendLoad>::Builder loads = root.initLoads(static_cast<unsigned>(message.m_loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        const BackendLoadReport& report = message.m_loads[i];
        loads[i].setToken(report.m_backend.m_value);
        loads[i].setActiveRequests(saturated<std::uint16_t>(report.m_load.m_activeRequests));
        loads[i].setLongFlows(saturated<std::uint16_t>(report.m_load.m_longFlows));
    }
    capnp::List<std::uint32_t>::Builder dead = root.initDead(static_cast<unsigned>(message.m_dead.size()));
    for (unsigned i = 0; i < dead.size(); ++i)
        dead.set(i, message.m_dead[i].m_value);
    capnp::List<wire::Peer>::Builder peers = root.initPeers(static_cast<unsigned>(message.m_peers.size()));
    for (unsigned i = 0; i < peers.size(); ++i) {
        peers[i].setExchange(message.m_peers[i].m_exchange.packed());
        peers[i].setZone(message.m_peers[i].m_zone.m_value);
    }
    capnp::List<wire::ContestedFlow>::Builder contested
        = root.initContestedFlows(static_cast<unsigned>(message.m_contestedFlows.size()));
    capnp::List<std::uint16_t>::Builder ages = root.initContestedAgesMs(contested.size());
    for (unsigned i = 0; i < contested.size(); ++i) {
        const ContestedFlow& flow = message.m_contestedFlows[i].m_content;
        contested[i].setFlow(flow.m_flow.m_value);
        contested[i].setToken(flow.m_backend.m_value);
        contested[i].setOpeningSequence(flow.m_openingSequence);
        ages.set(i, saturated<std::uint16_t>(message.m_contestedFlows[i].m_age.count()));
    }
    root.setNotice(message.m_isNotice);
    if (!message.m_questions.empty()) {
        capnp::List<std::uint64_t>::Builder questions
            = root.initQuestions(static_cast<unsigned>(message.m_questions.size()));
        for (unsigned i = 0; i < questions.size(); ++i)
            questions.set(i, message.m_questions[i].m_value);
    }
    root.setContestedKnownMs(saturated<std::uint16_t>(message.m_contestedKnownFor.count()));
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const std::size_t bytes = words.size() * sizeof(capnp::word);
    CR_ASSERT(bytes <= out.size(), "encoded load message exceeds the buffer");
    std::memcpy(out.data(), words.begin(), bytes);
    return out.first(bytes);
}

Outcome<LoadMessage> decodeLoadMessage(std::span<const std::byte> datagram)
{
    const kj::ArrayPtr<const capnp::word> words { reinterpret_cast<const capnp::word*>(datagram.data()),
        datagram.size() / sizeof(capnp::word) };
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words.size();
    options.nestingLimit = c_nestingLimit;
    try {
        capnp::FlatArrayMessageReader message { words, options };
        LoadMessage decoded = readMessage(message.getRoot<wire::LoadMessage>());
        // An incomplete set of zones would end the evacuation of the others.
        if (decoded.m_evacuated.size() > EvacuatedZones::s_maxZones)
            return Error { ErrorKind::InvalidInput,
                fmt::format("malformed load message: found {} evacuated zones; allowed: at most {}",
                    decoded.m_evacuated.size(), EvacuatedZones::s_maxZones) };
        return decoded;
    } catch (const kj::Exception& exception) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("malformed load message: {}", exception.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
