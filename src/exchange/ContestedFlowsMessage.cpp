#include "exchange/ContestedFlowsMessage.h"

#include "exchange/LoadExchange.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr int c_nestingLimit = 4;

    template <typename T> T saturated(std::int64_t value)
    {
        return static_cast<T>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<T>::max()));
    }

} // namespace

std::string encodeContestedFlows(const ContestedFlowsMessage& message)
{
    capnp::MallocMessageBuilder builder;
    wire::ContestedFlows::Builder root = builder.initRoot<wire::ContestedFlows>();
    root.setKnownMs(saturated<std::uint16_t>(message.m_knownFor.count()));
    const unsigned count = static_cast<unsigned>(message.m_flows.size());
    capnp::List<wire::ContestedFlow>::Builder flows = root.initFlows(count);
    capnp::List<std::uint16_t>::Builder ages = root.initAgesMs(count);
    for (unsigned i = 0; i < count; ++i) {
        const ContestedFlowReport& report = message.m_flows[i];
        flows[i].setFlow(report.m_content.m_flow.m_value);
        flows[i].setToken(report.m_content.m_backend.m_value);
        flows[i].setOpeningSequence(report.m_content.m_openingSequence);
        ages.set(i, saturated<std::uint16_t>(report.m_age.count()));
    }
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const kj::ArrayPtr<kj::byte> bytes = packed.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Outcome<ContestedFlowsMessage> decodeContestedFlows(std::string_view bytes)
{
    capnp::ReaderOptions options;
    options.nestingLimit = c_nestingLimit;
    try {
        kj::ArrayInputStream packed { { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() } };
        capnp::PackedMessageReader reader { packed, options };
        const wire::ContestedFlows::Reader root = reader.getRoot<wire::ContestedFlows>();
        const capnp::List<wire::ContestedFlow>::Reader flows = root.getFlows();
        const capnp::List<std::uint16_t>::Reader ages = root.getAgesMs();
        if (flows.size() > ContestedFlows::s_maxFlows || ages.size() != flows.size())
            return Error { ErrorKind::InvalidInput,
                fmt::format("malformed contested flows: found {} flows with {} ages; allowed: up to {} with as many",
                    flows.size(), ages.size(), ContestedFlows::s_maxFlows) };
        ContestedFlowsMessage message;
        message.m_knownFor = std::chrono::milliseconds { root.getKnownMs() };
        message.m_flows.reserve(flows.size());
        for (unsigned i = 0; i < flows.size(); ++i)
            message.m_flows.push_back(
                { { { flows[i].getFlow() }, flows[i].getOpeningSequence(), { flows[i].getToken() } },
                    std::chrono::milliseconds { ages[i] } });
        return message;
    } catch (const kj::Exception& exception) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("malformed contested flows: {}", exception.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
