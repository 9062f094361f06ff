#include "affinity/BackendCatalog.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

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
        announce(backend, now);
        present.push_back(backend.m_identity);
    }
    std::sort(present.begin(), present.end());
    std::vector<BackendIdentity> missing;
    for (const auto& [token, known] : m_backends) {
        if (known.m_presence == Presence::Announced
            && !std::binary_search(present.begin(), present.end(), known.m_announced.m_identity))
            missing.push_back(known.m_announced.m_identity);
    }
    for (const BackendIdentity identity : missing)
        withdraw(identity, now);
}

void BackendCatalog::announce(const AnnouncedBackend& announced, Instant now)
{
    retirePreviousOwner(announced, now);
    const BackendToken token = tokenOf(announced.m_identity);
    const auto [found, isNew] = m_backends.try_emplace(token.m_value);
    KnownBackend& known = found->second;
    if (isNew) {
        known.m_token = token;
        known.m_announced = announced;
        ++m_generation;
        return;
    }
    if (known.m_announced.m_identity == announced.m_identity) {
        update(known, announced, now);
        return;
    }
    if (!isOlder(announced, known.m_announced)) {
        m_shadowed[announced.m_identity] = announced;
        return;
    }
    m_shadowed[known.m_announced.m_identity] = known.m_announced;
    m_shadowed.erase(announced.m_identity);
    known = KnownBackend {};
    known.m_token = token;
    known.m_announced = announced;
    ++m_generation;
}

void BackendCatalog::retirePreviousOwner(const AnnouncedBackend& announced, Instant now)
{
    for (auto& [token, known] : m_backends) {
        if (known.m_announced.m_identity == announced.m_identity || known.m_presence == Presence::Departed
            || known.m_announced.m_server.m_tunnel != announced.m_server.m_tunnel
            || known.m_announced.m_startedAtUnixMs >= announced.m_startedAtUnixMs)
            continue;
        known.m_presence = Presence::Departed;
        known.m_withdrawnAt = now;
        known.m_presenceEnds = now + c_departedMemory;
        known.m_confirmedDead = true;
        ++m_generation;
    }
}

void BackendCatalog::update(KnownBackend& known, const AnnouncedBackend& announced, Instant now)
{
    const bool hasRestarted = known.m_announced.m_startedAtUnixMs != announced.m_startedAtUnixMs;
    if (hasRestarted || known.m_presence == Presence::Departed) {
        known.m_life.forgive();
        known.m_confirmedDead = false;
    }
    known.m_presence = Presence::Announced;
    known.m_withdrawnAt = Instant {};
    known.m_presenceEnds = Deadline {};
    known.m_announced = announced;
    known.m_announced.m_warmAt = std::max(announced.m_warmAt, now);
    ++m_generation;
}

void BackendCatalog::withdraw(BackendIdentity identity, Instant now)
{
    m_shadowed.erase(identity);
    KnownBackend* const known = find(tokenOf(identity));
    if (!known || known->m_announced.m_identity != identity || known->m_presence != Presence::Announced)
        return;
    const bool hasLeft = known->m_announced.m_server.m_draining;
    known->m_presence = hasLeft ? Presence::Departed : Presence::Lapsed;
    known->m_withdrawnAt = now;
    known->m_presenceEnds = now + (hasLeft ? c_departedMemory : c_lapseGrace);
    ++m_generation;
}

void BackendCatalog::tick(Instant now)
{
    std::vector<AnnouncedBackend> unshadowed;
    for (auto position = m_backends.begin(); position != m_backends.end();) {
        KnownBackend& known = position->second;
        if (known.m_presence == Presence::Announced || now < known.m_presenceEnds) {
            ++position;
            continue;
        }
        ++m_generation;
        if (known.m_presence == Presence::Lapsed) {
            known.m_presence = Presence::Departed;
            known.m_presenceEnds = now + c_departedMemory;
            ++position;
            continue;
        }
        for (const auto& [identity, announced] : m_shadowed) {
            if (tokenOf(identity) == known.m_token)
                unshadowed.push_back(announced);
        }
        position = m_backends.erase(position);
    }
    for (const AnnouncedBackend& announced : unshadowed) {
        m_shadowed.erase(announced.m_identity);
        announce(announced, now);
    }
}

KnownBackend* BackendCatalog::find(BackendToken token)
{
    const auto found = m_backends.find(token.m_value);
    return found != m_backends.end() ? &found->second : nullptr;
}

const KnownBackend* BackendCatalog::find(BackendToken token) const
{
    const auto found = m_backends.find(token.m_value);
    return found != m_backends.end() ? &found->second : nullptr;
}

} // namespace cuminrelay
