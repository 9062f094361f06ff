#include "affinity/BackendCatalog.h"

#include "base/Assert.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    /// Time from the first backend server that a new entry VM learns of until it has learned of all.
    constexpr Duration c_firstListTime = std::chrono::seconds { 3 };

    /// Whether left, not right, keeps the token that both share.
    bool isOlder(const AnnouncedBackend& left, const AnnouncedBackend& right)
    {
        return std::pair { left.m_startedAtUnixMs, left.m_identity }
        < std::pair { right.m_startedAtUnixMs, right.m_identity };
    }

} // namespace

void BackendCatalog::replaceAll(std::span<const AnnouncedBackend> announced, Instant now)
{
    std::vector<BackendIdentity> present;
    present.reserve(announced.size());
    for (const AnnouncedBackend& backend : announced) {
        apply(backend, now);
        present.push_back(backend.m_identity);
    }
    std::sort(present.begin(), present.end());
    std::vector<BackendIdentity> missing;
    for (const auto& [token, tracked] : m_backends) {
        if (isListed(tracked) && !std::binary_search(present.begin(), present.end(), tracked.m_announced.m_identity))
            missing.push_back(tracked.m_announced.m_identity);
    }
    for (const BackendIdentity identity : missing)
        withdraw(identity, now);
    updateOwners(now);
}

void BackendCatalog::announce(const AnnouncedBackend& announced, Instant now)
{
    const TrackedBackend* const known = find(tokenOf(announced.m_identity));
    const Endpoint previousAddress = known ? known->m_announced.m_server.m_tunnel : Endpoint {};
    apply(announced, now);
    updateOwner(announced.m_server.m_tunnel, now);
    if (known && previousAddress != announced.m_server.m_tunnel)
        updateOwner(previousAddress, now);
}

void BackendCatalog::apply(const AnnouncedBackend& announced, Instant now)
{
    CR_ASSERT(announced.m_identity != BackendIdentity {}, "an announced backend server needs an identity");
    const BackendToken token = tokenOf(announced.m_identity);
    const auto [found, isNew] = m_backends.try_emplace(token.m_value);
    TrackedBackend& tracked = found->second;
    if (!isNew && tracked.m_announced.m_identity == announced.m_identity) {
        update(tracked, announced, now);
        return;
    }
    if (!isNew && !isOlder(announced, tracked.m_announced)) {
        m_shadowed[announced.m_identity] = announced;
        return;
    }
    if (!isNew)
        m_shadowed[tracked.m_announced.m_identity] = tracked.m_announced;
    m_shadowed.erase(announced.m_identity);
    tracked = TrackedBackend {};
    tracked.m_token = token;
    tracked.m_announced = announced;
    recordStart(tracked, now);
    ++m_generation;
}

void BackendCatalog::recordStart(TrackedBackend& tracked, Instant now)
{
    if (m_startsCountFrom == Deadline {})
        m_startsCountFrom = now + c_firstListTime;
    if (now >= m_startsCountFrom || now < tracked.m_announced.m_warmAt)
        tracked.m_pace.recordStart(tracked.m_announced.m_warmAt, now);
}

bool BackendCatalog::isListed(const TrackedBackend& tracked)
{
    return tracked.m_presence == Presence::Announced || tracked.m_isSuperseded;
}

void BackendCatalog::updateOwner(Endpoint address, Instant now)
{
    std::uint64_t latestStart = 0;
    for (const auto& [token, tracked] : m_backends) {
        if (tracked.m_announced.m_server.m_tunnel == address && isListed(tracked))
            latestStart = std::max(latestStart, tracked.m_announced.m_startedAtUnixMs);
    }
    for (auto& [token, tracked] : m_backends) {
        if (tracked.m_announced.m_server.m_tunnel == address)
            applyOwner(tracked, latestStart, now);
    }
}

void BackendCatalog::updateOwners(Instant now)
{
    std::map<Endpoint, std::uint64_t> latestStarts;
    for (const auto& [token, tracked] : m_backends) {
        std::uint64_t& latest = latestStarts[tracked.m_announced.m_server.m_tunnel];
        if (isListed(tracked))
            latest = std::max(latest, tracked.m_announced.m_startedAtUnixMs);
    }
    for (auto& [token, tracked] : m_backends)
        applyOwner(tracked, latestStarts[tracked.m_announced.m_server.m_tunnel], now);
}

void BackendCatalog::applyOwner(TrackedBackend& tracked, std::uint64_t latestStart, Instant now)
{
    const bool isOwner = tracked.m_announced.m_startedAtUnixMs >= latestStart;
    if (tracked.m_isSuperseded && isOwner) {
        update(tracked, AnnouncedBackend { tracked.m_announced }, now);
    } else if (!isOwner && tracked.m_presence != Presence::Departed) {
        const bool isSuperseded = isListed(tracked);
        remove(tracked, Presence::Departed, now);
        tracked.m_isSuperseded = isSuperseded;
        tracked.m_confirmedDead = true;
    }
}

void BackendCatalog::update(TrackedBackend& tracked, const AnnouncedBackend& announced, Instant now)
{
    const bool hasRestarted = tracked.m_announced.m_startedAtUnixMs != announced.m_startedAtUnixMs;
    if (hasRestarted || tracked.m_presence == Presence::Departed) {
        tracked.m_liveness.clearSuspicion();
        tracked.m_confirmedDead = false;
    }
    if (tracked.m_announced.m_server.m_labels != announced.m_server.m_labels)
        tracked.m_warmupRate.reset();
    const bool gotNoFlows = !tracked.acceptsNewFlows();
    tracked.m_presence = Presence::Announced;
    tracked.m_isSuperseded = false;
    tracked.m_withdrawnAt = Instant {};
    tracked.m_presenceDeadline = Deadline {};
    tracked.m_announced = announced;
    tracked.m_announced.m_warmAt = std::max(announced.m_warmAt, now);
    if (hasRestarted)
        tracked.m_pace.recordStart(tracked.m_announced.m_warmAt, now);
    else if (gotNoFlows && tracked.acceptsNewFlows())
        tracked.m_pace.recordRecovery(now);
    tracked.m_pace.setWarmAt(tracked.m_announced.m_warmAt);
    ++m_generation;
}

void BackendCatalog::withdraw(BackendIdentity identity, Instant now)
{
    m_shadowed.erase(identity);
    TrackedBackend* const tracked = findListed(identity);
    if (!tracked)
        return;
    const bool isGone = tracked->m_announced.m_server.m_draining || tracked->m_isSuperseded;
    remove(*tracked, isGone ? Presence::Departed : Presence::Expired, now);
    updateOwner(tracked->m_announced.m_server.m_tunnel, now);
}

void BackendCatalog::depart(BackendIdentity identity, Instant now)
{
    m_shadowed.erase(identity);
    if (TrackedBackend* const tracked = findListed(identity)) {
        remove(*tracked, Presence::Departed, now);
        updateOwner(tracked->m_announced.m_server.m_tunnel, now);
    }
}

TrackedBackend* BackendCatalog::findListed(BackendIdentity identity)
{
    TrackedBackend* const tracked = find(tokenOf(identity));
    return tracked && tracked->m_announced.m_identity == identity && isListed(*tracked) ? tracked : nullptr;
}

void BackendCatalog::remove(TrackedBackend& tracked, Presence presence, Instant now)
{
    tracked.m_presence = presence;
    tracked.m_isSuperseded = false;
    tracked.m_withdrawnAt = now;
    tracked.m_presenceDeadline = now + (presence == Presence::Departed ? c_departedRetention : c_expiredEntryGrace);
    ++m_generation;
}

void BackendCatalog::tick(Instant now)
{
    std::vector<AnnouncedBackend> unshadowed;
    for (auto position = m_backends.begin(); position != m_backends.end();) {
        TrackedBackend& tracked = position->second;
        if (tracked.m_presence == Presence::Announced || tracked.m_isSuperseded || now < tracked.m_presenceDeadline) {
            ++position;
            continue;
        }
        ++m_generation;
        if (tracked.m_presence == Presence::Expired) {
            tracked.m_presence = Presence::Departed;
            tracked.m_presenceDeadline = now + c_departedRetention;
            ++position;
            continue;
        }
        for (const auto& [identity, announced] : m_shadowed) {
            if (tokenOf(identity) == tracked.m_token)
                unshadowed.push_back(announced);
        }
        position = m_backends.erase(position);
    }
    for (const AnnouncedBackend& announced : unshadowed) {
        m_shadowed.erase(announced.m_identity);
        announce(announced, now);
    }
}

TrackedBackend* BackendCatalog::find(BackendToken token)
{
    const auto found = m_backends.find(token.m_value);
    return found != m_backends.end() ? &found->second : nullptr;
}

const TrackedBackend* BackendCatalog::find(BackendToken token) const
{
    const auto found = m_backends.find(token.m_value);
    return found != m_backends.end() ? &found->second : nullptr;
}

} // namespace cuminrelay
