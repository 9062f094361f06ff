#include "exchange/StoreUpdateMessage.h"

#include "configuration/Selector.h"
#include "exchange/News.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <span>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr int c_nestingLimit = 8;
    constexpr std::uint64_t c_maxStoreUpdateWords = 2'000'000;

    /// Several times the backend servers, labels and services of the largest deployment that the design provides for.
    constexpr std::size_t c_maxElements = 50'000;

    /// Limits the elements of a message's lists. Empty ones take no space, so that a few bytes could announce millions;
    /// all that another VM sends take a byte or more. Throws kj::Exception, as the accessors of a message do.
    class ElementLimit {
    public:
        explicit ElementLimit(std::size_t messageBytes)
            : m_remaining(std::min(messageBytes, c_maxElements))
        {
        }

        template <typename List> List checked(List list)
        {
            if (list.size() > m_remaining)
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "too many list elements for the size of the message"));
            m_remaining -= list.size();
            return list;
        }

    private:
        std::size_t m_remaining;
    };

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
        builder.setSequence(backend.m_sequence);
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

    AnnouncedBackend readBackend(wire::Backend::Reader reader, ElementLimit& limit, Instant now)
    {
        AnnouncedBackend backend;
        backend.m_identity = { reader.getIdentity() };
        backend.m_startedAtUnixMs = reader.getStartedAtUnixMs();
        backend.m_sequence = reader.getSequence();
        backend.m_warmAt = now + std::chrono::milliseconds { reader.getWarmInMs() };
        BackendServer& server = backend.m_server;
        server.m_name = reader.getName().cStr();
        server.m_zone = reader.getZone().cStr();
        server.m_tunnel = Endpoint::fromPacked(reader.getTunnel());
        server.m_report = server.m_tunnel;
        server.m_slots = reader.getSlots();
        server.m_draining = reader.getDraining();
        for (const wire::Label::Reader label : limit.checked(reader.getLabels()))
            server.m_labels.emplace(label.getKey().cStr(), label.getValue().cStr());
        return backend;
    }

    /// Whether a VM may send packets to a backend server that another VM, perhaps with an older program, took from the
    /// store.
    bool isUsable(const AnnouncedBackend& backend)
    {
        return backend.m_identity != BackendIdentity {} && backend.m_startedAtUnixMs != 0
            && backend.m_server.m_slots != 0 && backend.m_server.m_tunnel.m_address != 0
            && backend.m_server.m_tunnel.m_port != 0;
    }

    /// Collects distinct selectors; most services share a few.
    class SelectorTable {
    public:
        std::uint32_t indexOf(const Selector& selector)
        {
            std::string text = formatSelector(selector);
            const auto found = std::find(m_texts.begin(), m_texts.end(), text);
            const std::size_t index = static_cast<std::size_t>(found - m_texts.begin());
            if (found == m_texts.end())
                m_texts.push_back(std::move(text));
            return static_cast<std::uint32_t>(index);
        }

        const std::vector<std::string>& texts() const { return m_texts; }

    private:
        std::vector<std::string> m_texts;
    };

    void writeServices(capnp::List<wire::Service>::Builder builders, std::span<const DeclaredService> services,
        SelectorTable& selectors)
    {
        for (unsigned i = 0; i < builders.size(); ++i) {
            const DeclaredService& service = services[i];
            builders[i].setName(service.m_name);
            builders[i].setAddress(service.m_address.packed());
            builders[i].setKind(static_cast<std::uint8_t>(service.m_kind));
            capnp::List<wire::WeightedSelector>::Builder weighted
                = builders[i].initSelectors(static_cast<unsigned>(service.m_selectors.size()));
            for (unsigned j = 0; j < weighted.size(); ++j) {
                weighted[j].setSelector(selectors.indexOf(service.m_selectors[j].m_selector));
                weighted[j].setWeight(service.m_selectors[j].m_weight);
            }
        }
    }

    void writeDeclarations(wire::Declarations::Builder builder, const DeclarationUpdate& update)
    {
        builder.setVersion(update.m_otherFields.m_version.m_number);
        builder.setSilenceLimitMs(static_cast<std::uint64_t>(update.m_otherFields.m_idleTimeout.count()));
        builder.setComplete(update.m_isComplete);
        SelectorTable selectors;
        writeServices(
            builder.initServices(static_cast<unsigned>(update.m_changed.size())), update.m_changed, selectors);
        capnp::List<capnp::Text>::Builder removed = builder.initRemoved(static_cast<unsigned>(update.m_removed.size()));
        for (unsigned i = 0; i < removed.size(); ++i)
            removed.set(i, update.m_removed[i]);
        capnp::List<capnp::Text>::Builder texts
            = builder.initSelectors(static_cast<unsigned>(selectors.texts().size()));
        for (unsigned i = 0; i < texts.size(); ++i)
            texts.set(i, selectors.texts()[i]);
        const std::vector<HealthCheck>& healthChecks = update.m_otherFields.m_healthChecks;
        capnp::List<wire::HealthCheck>::Builder checks
            = builder.initHealthChecks(static_cast<unsigned>(healthChecks.size()));
        for (unsigned i = 0; i < checks.size(); ++i) {
            checks[i].setSelector(formatSelector(healthChecks[i].m_selector));
            checks[i].setPath(healthChecks[i].m_path);
        }
        const std::vector<WarmupDeclaration>& warmups = update.m_otherFields.m_warmups;
        capnp::List<wire::Warmup>::Builder wireWarmups = builder.initWarmups(static_cast<unsigned>(warmups.size()));
        for (unsigned i = 0; i < wireWarmups.size(); ++i) {
            wireWarmups[i].setSelector(formatSelector(warmups[i].m_selector));
            wireWarmups[i].setDurationMs(static_cast<std::uint32_t>(warmups[i].m_duration.count()));
            wireWarmups[i].setRequestsPerSecond(warmups[i].m_requestsPerSecond);
        }
    }

    Outcome<DeclaredService> readService(
        wire::Service::Reader reader, std::span<const Selector> selectors, ElementLimit& limit)
    {
        DeclaredService service;
        service.m_name = reader.getName().cStr();
        service.m_address = Endpoint::fromPacked(reader.getAddress());
        service.m_kind = static_cast<RequestKind>(reader.getKind());
        if (service.m_kind > RequestKind::Upload)
            return Error { ErrorKind::InvalidInput,
                fmt::format("found service kind {}; allowed: 0 to 2", reader.getKind()) };
        for (const wire::WeightedSelector::Reader weighted : limit.checked(reader.getSelectors())) {
            if (weighted.getSelector() >= selectors.size())
                return Error { ErrorKind::InvalidInput,
                    fmt::format("found selector index {} of {}", weighted.getSelector(), selectors.size()) };
            service.m_selectors.push_back({ selectors[weighted.getSelector()], weighted.getWeight() });
        }
        return service;
    }

    Outcome<WarmupDeclaration> readWarmup(wire::Warmup::Reader reader)
    {
        Outcome<Selector> selector = parseSelector(reader.getSelector().cStr());
        if (!selector)
            return selector.error();
        const double rate = reader.getRequestsPerSecond();
        // Also refuses a value that is not a number.
        if (!(rate >= 0 && rate <= c_maxWarmupRate))
            return Error { ErrorKind::InvalidInput,
                fmt::format("found warm-up rate {}; allowed: 0 to {}", rate, c_maxWarmupRate) };
        return WarmupDeclaration { std::move(selector.value()), std::chrono::milliseconds { reader.getDurationMs() },
            rate };
    }

    Outcome<DeclarationUpdate> readDeclarations(wire::Declarations::Reader reader, ElementLimit& limit)
    {
        DeclarationUpdate update;
        update.m_isComplete = reader.getComplete();
        update.m_otherFields.m_version = { reader.getVersion() };
        update.m_otherFields.m_idleTimeout = std::chrono::milliseconds { reader.getSilenceLimitMs() };
        std::vector<Selector> selectors;
        for (const capnp::Text::Reader text : limit.checked(reader.getSelectors())) {
            Outcome<Selector> selector = parseSelector(text.cStr());
            if (!selector)
                return selector.error();
            selectors.push_back(std::move(selector.value()));
        }
        for (const wire::HealthCheck::Reader check : limit.checked(reader.getHealthChecks())) {
            Outcome<Selector> selector = parseSelector(check.getSelector().cStr());
            if (!selector)
                return selector.error();
            update.m_otherFields.m_healthChecks.push_back({ std::move(selector.value()), check.getPath().cStr() });
        }
        for (const wire::Warmup::Reader warmup : limit.checked(reader.getWarmups())) {
            Outcome<WarmupDeclaration> read = readWarmup(warmup);
            if (!read)
                return read.error();
            update.m_otherFields.m_warmups.push_back(std::move(read.value()));
        }
        for (const wire::Service::Reader service : limit.checked(reader.getServices())) {
            Outcome<DeclaredService> read = readService(service, selectors, limit);
            if (!read)
                return read.error();
            update.m_changed.push_back(std::move(read.value()));
        }
        for (const capnp::Text::Reader name : limit.checked(reader.getRemoved()))
            update.m_removed.emplace_back(name.cStr());
        return update;
    }

    Outcome<StoreUpdate> readStoreUpdate(wire::News::Reader reader, ElementLimit limit, Instant now)
    {
        StoreUpdate update;
        update.m_isComplete = reader.getComplete();
        update.m_backendsRevision = { reader.getBackendsRevision(), reader.getBackendsEra() };
        for (const wire::Backend::Reader entry : limit.checked(reader.getBackends())) {
            AnnouncedBackend backend = readBackend(entry, limit, now);
            if (isUsable(backend))
                update.m_backends.push_back(std::move(backend));
            else
                update.m_unreadable.push_back(backend.m_identity);
        }
        for (const std::uint64_t identity : limit.checked(reader.getWithdrawn()))
            update.m_withdrawn.push_back({ identity });
        for (const std::uint64_t identity : limit.checked(reader.getUnreadable()))
            update.m_unreadable.push_back({ identity });
        update.m_declarationsRevision = { reader.getDeclarationsRevision(), reader.getDeclarationsEra() };
        if (reader.hasDeclarations()) {
            Outcome<DeclarationUpdate> declarations = readDeclarations(reader.getDeclarations(), limit);
            if (!declarations)
                return declarations.error();
            update.m_declarations = std::move(declarations.value());
        }
        return update;
    }

} // namespace

std::string encodeStoreUpdate(const StoreUpdate& update, Instant now)
{
    capnp::MallocMessageBuilder builder;
    wire::News::Builder root = builder.initRoot<wire::News>();
    root.setComplete(update.m_isComplete);
    root.setBackendsRevision(update.m_backendsRevision.m_number);
    root.setBackendsEra(update.m_backendsRevision.m_era);
    capnp::List<wire::Backend>::Builder backends = root.initBackends(static_cast<unsigned>(update.m_backends.size()));
    for (unsigned i = 0; i < backends.size(); ++i)
        writeBackend(backends[i], update.m_backends[i], now);
    capnp::List<std::uint64_t>::Builder withdrawn
        = root.initWithdrawn(static_cast<unsigned>(update.m_withdrawn.size()));
    for (unsigned i = 0; i < withdrawn.size(); ++i)
        withdrawn.set(i, update.m_withdrawn[i].m_value);
    capnp::List<std::uint64_t>::Builder unreadable
        = root.initUnreadable(static_cast<unsigned>(update.m_unreadable.size()));
    for (unsigned i = 0; i < unreadable.size(); ++i)
        unreadable.set(i, update.m_unreadable[i].m_value);
    root.setDeclarationsRevision(update.m_declarationsRevision.m_number);
    root.setDeclarationsEra(update.m_declarationsRevision.m_era);
    if (update.m_declarations)
        writeDeclarations(root.initDeclarations(), *update.m_declarations);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const kj::ArrayPtr<kj::byte> bytes = packed.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Outcome<StoreUpdate> decodeStoreUpdate(std::string_view bytes, Instant now)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = c_maxStoreUpdateWords;
    options.nestingLimit = c_nestingLimit;
    try {
        kj::ArrayInputStream packed { { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() } };
        capnp::PackedMessageReader message { packed, options };
        return readStoreUpdate(message.getRoot<wire::News>(), ElementLimit { bytes.size() }, now);
    } catch (const kj::Exception& exception) {
        return Error { ErrorKind::InvalidInput, fmt::format("malformed news: {}", exception.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
