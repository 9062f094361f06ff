#include "attempts/AttemptLedger.h"

#include <gtest/gtest.h>
#include <numeric>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Deadline c_deadline = c_start + std::chrono::seconds { 2 };
    constexpr Endpoint c_first { 0x0a000001, 4000 };
    constexpr Endpoint c_second { 0x0a000002, 4000 };
    constexpr RequestId c_claim { 7 };

    std::uint64_t countOf(const AttemptCounters& counters, AttemptReason reason)
    {
        return counters[static_cast<std::size_t>(reason)];
    }

    /// A ledger with one request, dispatched to the first backend server.
    class HandedRequest : public ::testing::Test {
    protected:
        HandedRequest() { openAndHand(m_ledger, false); }

        static void openAndHand(AttemptLedger& ledger, bool isIdempotent)
        {
            ASSERT_EQ(ledger.open({ c_claim, c_deadline, isIdempotent }, c_start).m_directive, AttemptDirective::Hand);
            ASSERT_EQ(ledger.hand(c_claim, c_first, c_start).m_directive, AttemptDirective::Wait);
        }

        AttemptLedger m_ledger;
        const AttemptId m_attempt { c_claim, 0 };
    };

    TEST_F(HandedRequest, isRetriedWhenRefusedInTheOpeningExchange)
    {
        const AttemptDecision decision = m_ledger.noteRefused(m_attempt, c_first, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Hand);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::RefusedNotRun);
        EXPECT_EQ(decision.m_attempt.m_number, 1);
        EXPECT_EQ(countOf(m_ledger.retries(), AttemptReason::RefusedInOpening), 1);
    }

    TEST_F(HandedRequest, isRetriedWhenShedWithProofEvenAfterAcceptance)
    {
        m_ledger.noteAccepted(m_attempt, c_first);
        EXPECT_EQ(m_ledger.noteShed(m_attempt, c_first, c_start).m_directive, AttemptDirective::Hand);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::ShedWithProof);
    }

    TEST_F(HandedRequest, aRefusalAfterAcceptanceIsNoProof)
    {
        m_ledger.noteAccepted(m_attempt, c_first);
        const AttemptDecision decision = m_ledger.noteRefused(m_attempt, c_first, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Drop);
        EXPECT_EQ(decision.m_reason, AttemptReason::StaleEvent);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::Accepted);
    }

    TEST_F(HandedRequest, isUnknownAndNotRetriedWhenTheConnectionIsLost)
    {
        EXPECT_EQ(m_ledger.noteLost(m_attempt, c_first, c_start).m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(m_ledger.hand(c_claim, c_second, c_start).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.unknowns(), AttemptReason::ConnectionLost), 1);
    }

    TEST_F(HandedRequest, isNotHandedTwice)
    {
        EXPECT_EQ(m_ledger.hand(c_claim, c_second, c_start).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(m_ledger.open({ c_claim, c_deadline, false }, c_start).m_reason, AttemptReason::DuplicateRequest);
    }

    TEST_F(HandedRequest, anAnswerFromAnotherBackendServerIsCountedAndDropped)
    {
        const AttemptDecision decision = m_ledger.noteAnswered(m_attempt, c_second);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.drops(), AttemptReason::CrossedAnswer), 1);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(HandedRequest, answersReachTheirOwnRequestWhenTheyArriveCrossed)
    {
        constexpr RequestId other { 8 };
        m_ledger.open({ other, c_deadline, false }, c_start);
        m_ledger.hand(other, c_first, c_start);
        EXPECT_EQ(m_ledger.noteAnswered({ other, 0 }, c_first).m_attempt.m_request, other);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_attempt.m_request, c_claim);
    }

    TEST_F(HandedRequest, onlyTheFirstAnswerIsDelivered)
    {
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_directive, AttemptDirective::Deliver);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_reason, AttemptReason::LateAnswer);
    }

    TEST_F(HandedRequest, anAnswerAfterTheReportIsCountedAndDropped)
    {
        m_ledger.noteLost(m_attempt, c_first, c_start);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.drops(), AttemptReason::LateAnswer), 1);
    }

    TEST_F(HandedRequest, anAnswerToAnAttemptProvedNotRunIsDroppedAndTheRetryGoesOn)
    {
        m_ledger.noteShed(m_attempt, c_first, c_start);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_reason, AttemptReason::ContradictoryAnswer);
        m_ledger.hand(c_claim, c_second, c_start);
        EXPECT_EQ(m_ledger.noteAnswered({ c_claim, 1 }, c_second).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(HandedRequest, isUnknownAndCancelledAtTheBackendServerPastItsDeadline)
    {
        AttemptDecision decision;
        EXPECT_EQ(m_ledger.expire(std::span { &decision, 1 }, c_deadline - Duration { 1 }), 0);
        EXPECT_EQ(m_ledger.expire(std::span { &decision, 1 }, c_deadline), 1);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
        EXPECT_EQ(decision.m_cancelAt, c_first);
    }

    TEST_F(HandedRequest, isNotRetriedPastItsDeadline)
    {
        const AttemptDecision decision = m_ledger.noteShed(m_attempt, c_first, c_deadline);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
    }

    TEST_F(HandedRequest, aCancelledOneIsCancelledAtTheBackendServerAndNotRetried)
    {
        const AttemptDecision cancelled = m_ledger.cancel(c_claim);
        EXPECT_EQ(cancelled.m_directive, AttemptDirective::Wait);
        EXPECT_EQ(cancelled.m_cancelAt, c_first);
        const AttemptDecision decision = m_ledger.noteShed(m_attempt, c_first, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::Cancelled);
    }

    TEST_F(HandedRequest, aCancelledOneThatRanAnywayIsDelivered)
    {
        m_ledger.cancel(c_claim);
        EXPECT_EQ(m_ledger.noteAnswered(m_attempt, c_first).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(HandedRequest, attemptsAreBounded)
    {
        m_ledger.noteShed(m_attempt, c_first, c_start);
        m_ledger.hand(c_claim, c_first, c_start);
        m_ledger.noteShed({ c_claim, 1 }, c_first, c_start);
        m_ledger.hand(c_claim, c_first, c_start);
        const AttemptDecision decision = m_ledger.noteShed({ c_claim, 2 }, c_first, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::AttemptsUsed);
    }

    TEST_F(HandedRequest, isRememberedUntilItsIdentityLapses)
    {
        m_ledger.noteAnswered(m_attempt, c_first);
        AttemptDecision decision;
        m_ledger.expire(std::span { &decision, 1 }, c_deadline);
        EXPECT_EQ(m_ledger.open({ c_claim, c_deadline + std::chrono::hours { 1 }, false }, c_deadline).m_reason,
            AttemptReason::DuplicateRequest);
        m_ledger.expire(std::span { &decision, 1 }, c_deadline + AttemptLedger::Parameters {}.m_memory);
        EXPECT_EQ(m_ledger.size(), 0);
    }

    TEST(AttemptLedger, aRequestPastItsDeadlineIsRefusedAsNotRun)
    {
        AttemptLedger ledger;
        EXPECT_EQ(ledger.open({ c_claim, c_start, false }, c_start).m_directive, AttemptDirective::ReportNotRun);
        ledger.open({ c_claim, c_deadline, false }, c_start);
        const AttemptDecision decision = ledger.hand(c_claim, c_first, c_deadline);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
    }

    TEST(AttemptLedger, oneThatWasNeverHandedIsCancelledAsNotRun)
    {
        AttemptLedger ledger;
        ledger.open({ c_claim, c_deadline, false }, c_start);
        EXPECT_EQ(ledger.cancel(c_claim).m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(ledger.hand(c_claim, c_first, c_start).m_directive, AttemptDirective::Drop);
    }

    TEST(AttemptLedger, aFullLedgerRefusesAndForgetsNothing)
    {
        AttemptLedger ledger({ .m_capacity = 1 });
        ledger.open({ c_claim, c_deadline, false }, c_start);
        ledger.hand(c_claim, c_first, c_start);
        ledger.noteAnswered({ c_claim, 0 }, c_first);
        const AttemptDecision decision = ledger.open({ { 8 }, c_deadline, false }, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::LedgerFull);
        EXPECT_EQ(ledger.open({ c_claim, c_deadline, false }, c_start).m_reason, AttemptReason::DuplicateRequest);
    }

    TEST(AttemptLedger, anIdempotentRequestIsRepeatedAfterAnUnknownAttemptOnlyIfAllowed)
    {
        for (const bool allowed : { false, true }) {
            AttemptLedger ledger({ .m_repeatsUnknownIdempotent = allowed });
            ledger.open({ c_claim, c_deadline, true }, c_start);
            ledger.hand(c_claim, c_first, c_start);
            EXPECT_EQ(ledger.noteLost({ c_claim, 0 }, c_first, c_start).m_directive,
                allowed ? AttemptDirective::Hand : AttemptDirective::ReportUnknown);
        }
    }

    TEST(AttemptLedger, notRunIsNeverReportedWhileAnEarlierAttemptIsUnknown)
    {
        AttemptLedger ledger({ .m_maximumAttempts = 2, .m_repeatsUnknownIdempotent = true });
        ledger.open({ c_claim, c_deadline, true }, c_start);
        ledger.hand(c_claim, c_first, c_start);
        ledger.noteLost({ c_claim, 0 }, c_first, c_start);
        ledger.hand(c_claim, c_second, c_start);
        EXPECT_EQ(ledger.noteRefused({ c_claim, 1 }, c_second, c_start).m_directive, AttemptDirective::ReportUnknown);
    }

    TEST(AttemptLedger, theLateAnswerOfAnUnknownAttemptEndsItsRepetition)
    {
        AttemptLedger ledger({ .m_repeatsUnknownIdempotent = true });
        ledger.open({ c_claim, c_deadline, true }, c_start);
        ledger.hand(c_claim, c_first, c_start);
        ledger.noteLost({ c_claim, 0 }, c_first, c_start);
        ledger.hand(c_claim, c_second, c_start);
        const AttemptDecision decision = ledger.noteAnswered({ c_claim, 0 }, c_first);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Deliver);
        EXPECT_EQ(decision.m_cancelAt, c_second);
    }

    TEST(AttemptLedger, retriesAreBoundedByARatioOfFreshRequests)
    {
        AttemptLedger ledger({ .m_retryBudget = { .m_ratio = 0.1, .m_capacity = 5 } });
        constexpr std::uint64_t requestCount = 1000;
        for (std::uint64_t id = 0; id < requestCount; ++id) {
            ledger.open({ { id }, c_deadline, false }, c_start);
            ledger.hand({ id }, c_first, c_start);
            ledger.noteShed({ { id }, 0 }, c_first, c_start);
        }
        const AttemptCounters& retries = ledger.retries();
        const std::uint64_t total = std::accumulate(retries.begin(), retries.end(), std::uint64_t { 0 });
        EXPECT_LE(total, requestCount / 10 + 5);
        EXPECT_GE(total, requestCount / 10);
        EXPECT_EQ(countOf(ledger.refusals(), AttemptReason::RetryBudgetUsed), requestCount - total);
    }

    TEST(AttemptLedger, expireEndsMoreRequestsThanFitInSeveralCalls)
    {
        AttemptLedger ledger;
        for (std::uint64_t id = 0; id < 5; ++id)
            ledger.open({ { id }, c_deadline, false }, c_start);
        std::array<AttemptDecision, 2> decisions;
        EXPECT_EQ(ledger.expire(decisions, c_deadline), 2);
        EXPECT_EQ(ledger.expire(decisions, c_deadline), 2);
        EXPECT_EQ(ledger.expire(decisions, c_deadline), 1);
    }

    Request repeatOf(RequestId id, bool isIdempotent)
    {
        return { id, c_deadline, isIdempotent, true };
    }

    TEST(RepeatedRequest, isNotRunUnlessItIsIdempotent)
    {
        AttemptLedger ledger;
        const AttemptDecision decision = ledger.open(repeatOf(c_claim, false), c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(countOf(ledger.unknowns(), AttemptReason::RepeatedElsewhere), 1);
        EXPECT_EQ(ledger.open(repeatOf(c_claim, true), c_start).m_directive, AttemptDirective::Hand);
    }

    TEST(RepeatedRequest, isNeverReportedAsNotRun)
    {
        AttemptLedger ledger;
        EXPECT_EQ(ledger.open(repeatOf({ 1 }, true), c_deadline).m_directive, AttemptDirective::ReportUnknown);
        ledger.open(repeatOf({ 2 }, true), c_start);
        EXPECT_EQ(ledger.cancel({ 2 }).m_directive, AttemptDirective::ReportUnknown);
    }

    TEST_F(HandedRequest, repeatedAfterAnotherFrontEndHadItIsToldOnceTheOutcomeIsKnown)
    {
        EXPECT_EQ(m_ledger.open(repeatOf(c_claim, false), c_start).m_directive, AttemptDirective::Drop);
        m_ledger.cancel(c_claim);
        EXPECT_EQ(m_ledger.noteRefused(m_attempt, c_first, c_start).m_directive, AttemptDirective::ReportUnknown);
        const AttemptDecision again = m_ledger.open(repeatOf(c_claim, false), c_start);
        EXPECT_EQ(again.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(again.m_reason, AttemptReason::DuplicateRequest);
    }

    TEST(AttemptLedger, eachReasonHasItsOwnName)
    {
        for (std::size_t i = 0; i + 1 < static_cast<std::size_t>(AttemptReason::Count); ++i)
            EXPECT_NE(
                attemptReasonName(static_cast<AttemptReason>(i)), attemptReasonName(static_cast<AttemptReason>(i + 1)));
    }

} // namespace
} // namespace cuminrelay
