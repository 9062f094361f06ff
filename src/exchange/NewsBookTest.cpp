#include "exchange/NewsBook.h"
#include "exchange/NewsMessage.h"
#include "exchange/NewsServer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    constexpr Instant c_now { std::chrono::seconds { 100 } };

    AnnouncedBackend makeBackend(std::uint64_t identity, std::string_view zone = "a")
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_warmAt = c_now;
        backend.m_server.m_name = "i-" + std::to_string(identity);
        backend.m_server.m_zone = zone;
        backend.m_server.m_tunnel = { static_cast<std::uint32_t>(identity), 8080 };
        backend.m_server.m_report = backend.m_server.m_tunnel;
        backend.m_server.m_labels.emplace("app", "agenda");
        return backend;
    }

    ServiceDeclarations makeDeclarations(std::uint64_t version, const std::vector<std::string>& names)
    {
        ServiceDeclarations declarations;
        declarations.m_version = { version };
        const Selector selector { { { "app", SelectorOperator::Equals, { "agenda" } } } };
        for (const std::string& name : names)
            declarations.m_services.push_back(
                { name, { 1, static_cast<std::uint16_t>(name.size()) }, RequestKind::Idempotent, { { selector, 3 } } });
        declarations.m_healthChecks = { { selector, "/health" } };
        return declarations;
    }

    /// Stores the changes as a receiving VM does, encoded and decoded.
    void takeNews(NewsBook& book, const News& sent)
    {
        const Outcome<News> decoded = decodeNews(encodeNews(sent, c_now), c_now);
        ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
        const News& news = decoded.value();
        if (news.m_isComplete) {
            book.take(BackendList { news.m_backends, 0, news.m_backendsRevision });
        } else {
            book.take(changesOf(news));
        }
        if (news.m_declarations) {
            const std::optional<ServiceDeclarations> merged = book.merged(*news.m_declarations);
            ASSERT_TRUE(merged.has_value());
            book.take(*merged, news.m_declarationsRevision);
        }
    }

    std::vector<std::uint64_t> identitiesOf(const NewsBook& book)
    {
        std::vector<std::uint64_t> identities;
        for (const AnnouncedBackend& backend : book.since({}).m_backends)
            identities.push_back(backend.m_identity.m_value);
        return identities;
    }

    TEST(NewsBookTest, onlyWhatChangedIsTold)
    {
        NewsBook book;
        book.take(BackendList { { makeBackend(1), makeBackend(2) }, 0, { 10 } });
        book.take(BackendChanges { { { { 3 }, makeBackend(3) }, { { 1 }, {} } }, 0, { 12 } });
        const News news = book.since({ { 10 }, {} });
        EXPECT_FALSE(news.m_isComplete);
        ASSERT_EQ(news.m_backends.size(), 1u);
        EXPECT_EQ(news.m_backends[0].m_identity.m_value, 3u);
        ASSERT_EQ(news.m_withdrawn.size(), 1u);
        EXPECT_EQ(news.m_withdrawn[0].m_value, 1u);
        EXPECT_TRUE(book.since({}).m_isComplete);
    }

    // A backend server whose entry expired and came back between two lists looks unchanged to the sending VM.
    TEST(NewsBookTest, whatALaterListShowsIsToldWholeToWhoKnowsAStateInBetween)
    {
        NewsBook teller;
        teller.take(BackendList { { makeBackend(1), makeBackend(2) }, 0, { 10 } });
        NewsBook other;
        other.take(BackendList { { makeBackend(1) }, 0, { 15 } });
        teller.take(BackendList { { makeBackend(1), makeBackend(2) }, 0, { 20 } });
        takeNews(other, teller.since(other.state()));
        EXPECT_EQ(identitiesOf(other), identitiesOf(teller));
    }

    // A service that was removed and declared again looks unchanged to a VM that missed the version without it.
    TEST(NewsBookTest, whoKnowsAVersionThatTheTellerMissedGetsAllServices)
    {
        NewsBook teller;
        teller.take(makeDeclarations(1, { "a", "bb" }), { 1 });
        NewsBook other;
        other.take(makeDeclarations(2, { "a" }), { 2 });
        teller.take(makeDeclarations(3, { "a", "bb" }), { 3 });
        const News news = teller.since(other.state());
        ASSERT_TRUE(news.m_declarations.has_value());
        const std::optional<ServiceDeclarations> merged = other.merged(*news.m_declarations);
        ASSERT_TRUE(merged.has_value());
        EXPECT_EQ(merged->m_services.size(), 2u);
    }

    TEST(NewsBookTest, anOlderStateIsNotTaken)
    {
        NewsBook book;
        book.take(BackendList { { makeBackend(1) }, 0, { 10 } });
        EXPECT_FALSE(book.take(BackendList { {}, 0, { 9 } }));
        EXPECT_FALSE(book.take(BackendChanges { { { { 1 }, {} } }, 0, { 10 } }));
        book.take(makeDeclarations(5, { "a" }), { 10 });
        EXPECT_FALSE(book.take(makeDeclarations(5, {}), { 11 }));
        EXPECT_EQ(identitiesOf(book), std::vector<std::uint64_t> { 1 });
    }

    TEST(NewsBookTest, aFollowerThatAsksFromTimeToTimeKnowsWhatTheReaderKnows)
    {
        NewsBook reader;
        NewsBook follower;
        reader.take(BackendList { { makeBackend(1), makeBackend(2) }, 0, { 10 } });
        reader.take(makeDeclarations(1, { "a", "bb", "ccc" }), { 10 });
        takeNews(follower, reader.since(follower.state()));
        reader.take(BackendChanges { { { { 2 }, {} } }, 0, { 11 } });
        reader.take(makeDeclarations(4, { "a", "ccc", "dddd" }), { 12 });
        reader.take(BackendChanges { { { { 4 }, makeBackend(4) } }, 0, { 13 } });
        const News news = reader.since(follower.state());
        ASSERT_TRUE(news.m_declarations.has_value());
        EXPECT_EQ(news.m_declarations->m_changed.size(), 1u);
        EXPECT_EQ(news.m_declarations->m_removed, std::vector<std::string> { "bb" });
        takeNews(follower, news);
        EXPECT_EQ(follower.state(), reader.state());
        EXPECT_EQ(identitiesOf(follower), identitiesOf(reader));
        const DeclarationNews all = *follower.since({}).m_declarations;
        ASSERT_EQ(all.m_changed.size(), 3u);
        EXPECT_EQ(all.m_changed[2].m_name, "dddd");
        EXPECT_EQ(all.m_rest.m_healthChecks.size(), 1u);
    }

    TEST(NewsBookTest, whoKnowsNothingCannotTakeAPart)
    {
        DeclarationNews part;
        part.m_rest.m_version = { 3 };
        EXPECT_FALSE(NewsBook {}.merged(part).has_value());
    }

    TEST(NewsBookTest, afterTooManyWithdrawalsEverythingIsTold)
    {
        NewsBook book;
        book.take(BackendList { {}, 0, { 1 } });
        for (std::uint64_t i = 0; i <= NewsBook::s_keptRemovals; ++i) {
            book.take(BackendChanges { { { { i + 1 }, makeBackend(i + 1) } }, 0, { 2 * i + 2 } });
            book.take(BackendChanges { { { { i + 1 }, {} } }, 0, { 2 * i + 3 } });
        }
        EXPECT_TRUE(book.since({ { 2 }, {} }).m_isComplete);
        EXPECT_FALSE(book.since({ { 100 }, {} }).m_isComplete);
    }

    TEST(NewsServerTest, theTargetNamesTheStateThatIsKnown)
    {
        const KnownState known { { 12 }, { 34 } };
        const Outcome<KnownState> parsed = parseNewsTarget(newsTarget(known));
        ASSERT_TRUE(parsed.has_value());
        EXPECT_EQ(parsed.value(), known);
        for (const char* const target : { "/", "/news", "/news?backends=&declarations=1", "/news?backends=x" })
            EXPECT_FALSE(parseNewsTarget(target).has_value());
    }

    RC_GTEST_PROP(NewsMessageTest, arbitraryBytesAreRefusedOrDecoded, (const std::string& bytes))
    {
        static_cast<void>(decodeNews(bytes, c_now));
    }

} // namespace
} // namespace cuminrelay
