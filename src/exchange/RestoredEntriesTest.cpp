#include "exchange/RestoredEntries.h"

#include "discovery/WatchSchedule.h"
#include "exchange/StateEra.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_now { std::chrono::seconds { 100 } };
    constexpr StoreRevision c_copy { 20, 1 };

    AnnouncedBackend makeBackend(std::uint64_t identity, EntryVersion version, bool isDraining = false)
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_server.m_name = "i-" + std::to_string(identity);
        backend.m_server.m_draining = isDraining;
        backend.m_startedAtUnixMs = version.m_startedAtUnixMs;
        backend.m_sequence = version.m_sequence;
        return backend;
    }

    /// The entries that a VM knows, and decisions about the lists that it gets after a restore.
    class RestoredEntriesTest : public testing::Test {
    protected:
        void know(const AnnouncedBackend& backend) { m_known[backend.m_identity] = { backend, { 30 } }; }

        void remove(std::uint64_t identity, EntryVersion version)
        {
            m_known.erase({ identity });
            m_removed[{ identity }] = { { 31 }, version };
        }

        /// Takes over the first list of a new era, as StoreCache does.
        BackendList merge(std::vector<AnnouncedBackend> backends, StoreRevision revision = c_copy)
        {
            BackendList list = m_restored.merge({ std::move(backends), {}, revision }, m_known, m_removed, m_now);
            takeOver(list);
            return list;
        }

        /// Takes over a later list of the same era.
        BackendList list(std::vector<AnnouncedBackend> backends)
        {
            BackendList list
                = m_restored.filter(BackendList { std::move(backends), {}, { 25, 1 } }, m_known, m_removed);
            takeOver(list);
            return list;
        }

        /// Takes over an entry that was written in the new era. Returns whether it counts.
        bool write(const AnnouncedBackend& backend)
        {
            const BackendChanges changes
                = m_restored.filter(BackendChanges { { { backend.m_identity, backend } }, {}, { 26, 1 } }, m_known);
            for (const BackendChange& change : changes.m_changes)
                know(*change.m_backend);
            return !changes.m_changes.empty();
        }

        static std::optional<bool> isDraining(const BackendList& list, std::uint64_t identity)
        {
            for (const AnnouncedBackend& backend : list.m_backends) {
                if (backend.m_identity.m_value == identity)
                    return backend.m_server.m_draining;
            }
            return std::nullopt;
        }

        RestoredEntries m_restored;
        RestoredEntries::Known m_known;
        RestoredEntries::Removed m_removed;
        Instant m_now = c_now;

    private:
        void takeOver(const BackendList& list)
        {
            m_known.clear();
            for (const AnnouncedBackend& backend : list.m_backends)
                know(backend);
        }
    };

    // The copy shows it ready. Without the rule, it gets new flows again until it writes its entry.
    TEST_F(RestoredEntriesTest, aBackendServerThatDrainedAfterTheCopyGoesOnDraining)
    {
        know(makeBackend(1, { 50, 7 }, true));
        EXPECT_EQ(isDraining(merge({ makeBackend(1, { 50, 6 }) }), 1), true);
        EXPECT_EQ(isDraining(list({ makeBackend(1, { 50, 6 }) }), 1), true);
        EXPECT_TRUE(write(makeBackend(1, { 50, 6 })));
        EXPECT_TRUE(m_known[{ 1 }].m_backend.m_server.m_draining);
    }

    // The copy holds the entry of the earlier start, which another address may have had.
    TEST_F(RestoredEntriesTest, aBackendServerThatRestartedAfterTheCopyKeepsItsNewerEntry)
    {
        know(makeBackend(1, { 60, 1 }));
        const BackendList merged = merge({ makeBackend(1, { 50, 9 }, true) });
        ASSERT_EQ(merged.m_backends.size(), 1u);
        EXPECT_EQ(entryVersionOf(merged.m_backends[0]), (EntryVersion { 60, 1 }));
    }

    TEST_F(RestoredEntriesTest, anEntryThatWasWrittenAgainCountsAsWritten)
    {
        know(makeBackend(1, { 50, 7 }, true));
        know(makeBackend(2, { 50, 7 }, true));
        merge({ makeBackend(1, { 50, 6 }), makeBackend(2, { 50, 8 }) });
        EXPECT_FALSE(m_known[{ 2 }].m_backend.m_server.m_draining);
        write(makeBackend(1, { 50, 8 }));
        EXPECT_FALSE(m_known[{ 1 }].m_backend.m_server.m_draining);
    }

    // A backend server that had left gets flows again otherwise, and its address may have a new owner.
    TEST_F(RestoredEntriesTest, aRemovedEntryOfTheCopyDoesNotCountUntilItIsWrittenAgain)
    {
        remove(1, { 50, 7 });
        EXPECT_TRUE(merge({ makeBackend(1, { 50, 6 }) }).m_backends.empty());
        EXPECT_EQ(m_restored.ignored(), 1u);
        EXPECT_TRUE(list({ makeBackend(1, { 50, 6 }) }).m_backends.empty());
        EXPECT_FALSE(write(makeBackend(1, { 50, 6 })));
        EXPECT_TRUE(write(makeBackend(1, { 50, 8 })));
        EXPECT_EQ(list({ makeBackend(1, { 50, 8 }) }).m_backends.size(), 1u);
    }

    TEST_F(RestoredEntriesTest, aRemovedEntryThatALaterListHoldsInANewerVersionCounts)
    {
        remove(1, { 50, 7 });
        merge({ makeBackend(1, { 50, 6 }) });
        EXPECT_EQ(list({ makeBackend(1, { 50, 8 }) }).m_backends.size(), 1u);
    }

    // The first list of the era came from a VM that ignores the entry. A VM that then reads the store got it back.
    TEST_F(RestoredEntriesTest, aRemovedEntryThatOnlyALaterListHoldsDoesNotCount)
    {
        remove(1, { 50, 7 });
        merge({});
        EXPECT_TRUE(list({ makeBackend(1, { 50, 6 }) }).m_backends.empty());
        EXPECT_EQ(list({ makeBackend(1, { 50, 8 }) }).m_backends.size(), 1u);
    }

    TEST_F(RestoredEntriesTest, aRemovedEntryOfALaterStartCountsAtOnce)
    {
        remove(1, { 50, 7 });
        EXPECT_EQ(merge({ makeBackend(1, { 51, 1 }) }).m_backends.size(), 1u);
        EXPECT_EQ(m_restored.ignored(), 0u);
    }

    // Changes that other VMs send hold removals of entries that this VM never knew: their starts are unknown.
    TEST_F(RestoredEntriesTest, aRemovedEntryOfAnUnknownStartDoesNotCountUntilItIsWrittenAgain)
    {
        remove(1, {});
        EXPECT_TRUE(merge({ makeBackend(1, { 50, 6 }) }).m_backends.empty());
        EXPECT_TRUE(write(makeBackend(1, { 50, 7 })));
    }

    // A backend server that started after the copy is missing until it writes again, within two seconds.
    TEST_F(RestoredEntriesTest, aMissingEntryStaysUntilAStateConfirmedAfterTheSettleTimeLacksIt)
    {
        know(makeBackend(1, { 50, 1 }));
        know(makeBackend(2, { 50, 1 }));
        EXPECT_EQ(isDraining(merge({ makeBackend(2, { 50, 1 }) }), 1), false);
        EXPECT_EQ(isDraining(list({ makeBackend(2, { 50, 1 }) }), 1), false);
        EXPECT_TRUE(m_restored.isRetained({ 1 }));
        EXPECT_FALSE(m_restored.isRetained({ 2 }));
        // No confirmation: nobody has told this VM whether the entry was written again.
        EXPECT_TRUE(m_restored.takeGone(Instant {}).empty());
        EXPECT_TRUE(m_restored.takeGone(c_now + WatchSchedule::s_restoreSettleTime - milliseconds { 1 }).empty());
        EXPECT_EQ(m_restored.takeGone(c_now + WatchSchedule::s_restoreSettleTime),
            std::vector<BackendIdentity> { BackendIdentity { 1 } });
        EXPECT_EQ(isDraining(list({ makeBackend(2, { 50, 1 }) }), 1), std::nullopt);
    }

    TEST_F(RestoredEntriesTest, aMissingEntryThatIsWrittenAgainOrListedStays)
    {
        know(makeBackend(1, { 50, 1 }));
        know(makeBackend(2, { 50, 1 }));
        merge({});
        EXPECT_TRUE(write(makeBackend(1, { 50, 2 })));
        list({ makeBackend(1, { 50, 2 }), makeBackend(2, { 50, 2 }) });
        EXPECT_TRUE(m_restored.takeGone(c_now + std::chrono::seconds { 10 }).empty());
    }

    TEST_F(RestoredEntriesTest, aMissingEntryThatIsRemovedInTheNewEraIsNotRetained)
    {
        know(makeBackend(1, { 50, 1 }));
        merge({});
        const BackendChanges changes = m_restored.filter(BackendChanges { { { { 1 }, {} } }, {}, { 26, 1 } }, m_known);
        EXPECT_EQ(changes.m_changes.size(), 1u);
        EXPECT_FALSE(m_restored.isRetained({ 1 }));
    }

    // The second copy may be older than the first: what was known before either of them still counts.
    TEST_F(RestoredEntriesTest, aSecondRestoreReplacesTheDecisionsAboutTheFirst)
    {
        know(makeBackend(1, { 50, 7 }, true)); // drains
        know(makeBackend(2, { 50, 1 })); // missing in both copies
        know(makeBackend(3, { 50, 1 })); // missing in the first one
        remove(4, { 50, 7 }); // in both copies
        merge({ makeBackend(1, { 50, 6 }), makeBackend(4, { 50, 6 }) });
        m_now += milliseconds { 1'500 };
        const BackendList merged
            = merge({ makeBackend(1, { 50, 5 }), makeBackend(3, { 50, 1 }), makeBackend(4, { 50, 5 }) }, { 10, 2 });
        EXPECT_EQ(isDraining(merged, 1), true);
        EXPECT_EQ(isDraining(merged, 2), false);
        EXPECT_EQ(isDraining(merged, 4), std::nullopt);
        EXPECT_FALSE(m_restored.isRetained({ 3 }));
        // Live backend servers get the whole time to write again after the second restore.
        EXPECT_TRUE(m_restored.takeGone(c_now + WatchSchedule::s_restoreSettleTime).empty());
        EXPECT_EQ(m_restored.takeGone(m_now + WatchSchedule::s_restoreSettleTime),
            std::vector<BackendIdentity> { BackendIdentity { 2 } });
    }

    // The second copy holds a write of the first era that this VM missed: its backend server may have left since.
    TEST_F(RestoredEntriesTest, aRemovedEntryThatASecondCopyHoldsInALaterVersionDoesNotCount)
    {
        remove(1, { 50, 7 });
        merge({ makeBackend(1, { 50, 6 }) });
        EXPECT_TRUE(merge({ makeBackend(1, { 50, 9 }) }, { 10, 2 }).m_backends.empty());
        EXPECT_TRUE(list({ makeBackend(1, { 50, 9 }) }).m_backends.empty());
        EXPECT_EQ(list({ makeBackend(1, { 50, 10 }) }).m_backends.size(), 1u);
    }

    // Stores that were never restored keep their former behavior: also an entry of an earlier start replaces the known.
    TEST_F(RestoredEntriesTest, withoutARestoreNothingIsKeptOrIgnored)
    {
        know(makeBackend(1, { 50, 7 }, true));
        know(makeBackend(2, { 50, 7 }));
        const BackendList listed = list({ makeBackend(1, { 40, 6 }) });
        EXPECT_EQ(isDraining(listed, 1), false);
        EXPECT_EQ(isDraining(listed, 2), std::nullopt);
    }

    // Right after a restore, the state may lack a service or flow that the store acknowledged before.
    TEST(StateEraTest, confirmationsDoNotCountUntilTheStoreHasSettled)
    {
        StateEra era;
        era.record(0, c_now - std::chrono::seconds { 10 });
        EXPECT_EQ(era.settled(c_now), c_now);
        era.record(1, c_now);
        const Instant settledAt = c_now + WatchSchedule::s_restoreSettleTime;
        EXPECT_EQ(era.settled(settledAt - milliseconds { 1 }), Instant {});
        EXPECT_EQ(era.settled(settledAt), settledAt);
        era.record(1, c_now + milliseconds { 500 }); // the second list
        EXPECT_EQ(era.settled(settledAt), settledAt);
        era.record(2, c_now + milliseconds { 1'000 });
        EXPECT_EQ(era.settled(settledAt), Instant {});
        EXPECT_EQ(era.settled(settledAt + milliseconds { 1'000 }), settledAt + milliseconds { 1'000 });
    }

    // A VM that starts in a later era has no earlier state that the copy could lack.
    TEST(StateEraTest, theFirstStateIsNoRestore)
    {
        StateEra era;
        era.record(3, c_now);
        EXPECT_EQ(era.settled(c_now), c_now);
    }

} // namespace
} // namespace cuminrelay
