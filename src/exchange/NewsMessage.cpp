#include "exchange/NewsMessage.h"

#include "configuration/Selector.h"
#include "exchange/News.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <fmt/format.h>
#include <kj/exception.h>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr int c_nestingLimit = 8;
    constexpr std::size_t c_longestNewsBytes = 16'000'000;

    void writeBackend(wire::Backend::Builder builder, const AnnouncedBackend& backend, Instant now)
    {
        const BackendServer& server = backend.m_server;
        builder.setIdentity(backend.m_identity.m_value);
        builder.setName(server.m_name);
        builder.setZone(server.m_zone);
        builder.setTunnel(server.m_tunnel.packed());
        builder.setSlots(server.m_slots);
        builder.setDraining(server.m_draining);
        builder.setStartedAtUnixMs(backend.m_startedAtUnixMs);
        const Duration warmIn = std::max(backend.m_warmAt - now, Duration::zero());
        builder.setWarmInMs(
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(warmIn).count()));
        capnp::List<wire::Label>::Builder labels = builder.initLabels(static_cast<unsigned>(server.m_labels.size()));
        unsigned index = 0;
        for (const auto& [key, value] : server.m_labels) {
            labels[index].setKey(key);
            labels[index].setValue(value);
            ++index;
        }
    }

    AnnouncedBackend readBackend(wire::Backend::Reader reader, Instant now)
    {
        AnnouncedBackend backend;
        backend.m_identity = { reader.getIdentity() };
        backend.m_startedAtUnixMs = reader.getStartedAtUnixMs();
        backend.m_warmAt = now + std::chrono::milliseconds { reader.getWarmInMs() };
        BackendServer& server = backend.m_server;
        server.m_name = reader.getName().cStr();
        server.m_zone = reader.getZone().cStr();
        server.m_tunnel = Endpoint::fromPacked(reader.getTunnel());
        server.m_report = server.m_tunnel;
        server.m_slots = reader.getSlots();
        server.m_draining = reader.getDraining();
        for (const wire::Label::Reader label : reader.getLabels())
            server.m_labels.emplace(label.getKey().cStr(), label.getValue().cStr());
        return backend;
    }

    void writeDeclarations(wire::Declarations::Builder builder, const ServiceDeclarations& declarations)
    {
        builder.setVersion(declarations.m_version.m_number);
        builder.setIdleTimeoutMs(static_cast<std::uint64_t>(declarations.m_idleTimeout.count()));
        capnp::List<wire::HealthCheck>::Builder checks
            = builder.initHealthChecks(static_cast<unsigned>(declarations.m_healthChecks.size()));
        for (unsigned i = 0; i < checks.size(); ++i) {
            checks[i].setSelector(formatSelector(declarations.m_healthChecks[i].m_selector));
            checks[i].setPath(declarations.m_healthChecks[i].m_path);
        }
        capnp::List<wire::Service>::Builder services
            = builder.initServices(static_cast<unsigned>(declarations.m_services.size()));
        for (unsigned i = 0; i < services.size(); ++i) {
            const DeclaredService& service = declarations.m_services[i];
            services[i].setName(service.m_name);
            services[i].setAddress(service.m_address.packed());
            services[i].setKind(static_cast<std::uint8_t>(service.m_kind));
            capnp::List<wire::WeightedSelector>::Builder selectors
                = services[i].initSelectors(static_cast<unsigned>(service.m_selectors.size()));
            for (unsigned j = 0; j < selectors.size(); ++j) {
                selectors[j].setSelector(formatSelector(service.m_selectors[j].m_selector));
                selectors[j].setWeight(service.m_selectors[j].m_weight);
            }
        }
    }

    Outcome<DeclaredService> readService(wire::Service::Reader reader)
    {
        DeclaredService service;
        service.m_name = reader.getName().cStr();
        service.m_address = Endpoint::fromPacked(reader.getAddress());
        service.m_kind = static_cast<RequestKind>(reader.getKind());
        if (service.m_kind > RequestKind::Upload)
            return Error { ErrorKind::InvalidInput, fmt::format("found kind {}; allowed: 0 to 2", reader.getKind()) };
        for (const wire::WeightedSelector::Reader weighted : reader.getSelectors()) {
            Outcome<Selector> selector = parseSelector(weighted.getSelector().cStr());
            if (!selector)
                return selector.error();
            service.m_selectors.push_back({ std::move(selector.value()), weighted.getWeight() });
        }
        return service;
    }

    Outcome<ServiceDeclarations> readDeclarations(wire::Declarations::Reader reader)
    {
        ServiceDeclarations declarations;
        declarations.m_version = { reader.getVersion() };
        declarations.m_idleTimeout = std::chrono::milliseconds { reader.getIdleTimeoutMs() };
        for (const wire::HealthCheck::Reader check : reader.getHealthChecks()) {
            Outcome<Selector> selector = parseSelector(check.getSelector().cStr());
            if (!selector)
                return selector.error();
            declarations.m_healthChecks.push_back({ std::move(selector.value()), check.getPath().cStr() });
        }
        for (const wire::Service::Reader service : reader.getServices()) {
            Outcome<DeclaredService> read = readService(service);
            if (!read)
                return read.error();
            declarations.m_services.push_back(std::move(read.value()));
        }
        return declarations;
    }

    Outcome<News> readNews(wire::News::Reader reader, Instant now)
    {
        News news;
        news.m_isComplete = reader.getComplete();
        news.m_backendsRevision = { reader.getBackendsRevision() };
        for (const wire::Backend::Reader backend : reader.getBackends())
            news.m_backends.push_back(readBackend(backend, now));
        for (const std::uint64_t identity : reader.getWithdrawn())
            news.m_withdrawn.push_back({ identity });
        news.m_declarationsRevision = { reader.getDeclarationsRevision() };
        if (reader.hasDeclarations()) {
            Outcome<ServiceDeclarations> declarations = readDeclarations(reader.getDeclarations());
            if (!declarations)
                return declarations.error();
            news.m_declarations = std::move(declarations.value());
        }
        return news;
    }

} // namespace

std::string encodeNews(const News& news, Instant now)
{
    capnp::MallocMessageBuilder builder;
    wire::News::Builder root = builder.initRoot<wire::News>();
    root.setComplete(news.m_isComplete);
    root.setBackendsRevision(news.m_backendsRevision.m_number);
    capnp::List<wire::Backend>::Builder backends = root.initBackends(static_cast<unsigned>(news.m_backends.size()));
    for (unsigned i = 0; i < backends.size(); ++i)
        writeBackend(backends[i], news.m_backends[i], now);
    capnp::List<std::uint64_t>::Builder withdrawn = root.initWithdrawn(static_cast<unsigned>(news.m_withdrawn.size()));
    for (unsigned i = 0; i < withdrawn.size(); ++i)
        withdrawn.set(i, news.m_withdrawn[i].m_value);
    root.setDeclarationsRevision(news.m_declarationsRevision.m_number);
    if (news.m_declarations)
        writeDeclarations(root.initDeclarations(), *news.m_declarations);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    return { reinterpret_cast<const char*>(words.begin()), words.size() * sizeof(capnp::word) };
}

Outcome<News> decodeNews(std::string_view bytes, Instant now)
{
    if (bytes.size() > c_longestNewsBytes)
        return Error { ErrorKind::InvalidInput,
            fmt::format("found {} bytes of news; allowed: {}", bytes.size(), c_longestNewsBytes) };
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word)); // aligned, as the bytes may not be
    std::memcpy(static_cast<void*>(words.data()), bytes.data(), words.size() * sizeof(capnp::word));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * words.size() + 1;
    options.nestingLimit = c_nestingLimit;
    try {
        capnp::FlatArrayMessageReader message { { words.data(), words.size() }, options };
        return readNews(message.getRoot<wire::News>(), now);
    } catch (const kj::Exception& exception) {
        return Error { ErrorKind::InvalidInput, fmt::format("malformed news: {}", exception.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
