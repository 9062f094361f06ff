#include "attempts/AttemptLedger.h"

#include <gtest/gtest.h>
#include <numeric>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Deadline c_deadline = c_start + std::chrono::seconds { 2 };
    constexpr Endpoint c_firstBackend { 0x0a000001, 4000 };
    constexpr Endpoint c_secondBackend { 0x0a000002, 4000 };
    constexpr RequestId c_requestId { 7 };

    std::uint64_t countOf(const AttemptCounters& counters, AttemptReason reason)
    {
        return counters[static_cast<std::size_t>(reason)];
    }

    /// A ledger with one request, dispatched to the first backend server.
    class DispatchedRequest : public ::testing::Test {
    protected:
        DispatchedRequest() { openAndDispatch(m_ledger, false); }

        static void openAndDispatch(AttemptLedger& ledger, bool isIdempotent)
        {
            ASSERT_EQ(ledger.open({ c_requestId, c_deadline, isIdempotent }, c_start).m_directive,
                AttemptDirective::Dispatch);
            ASSERT_EQ(ledger.dispatch(c_requestId, c_firstBackend, c_start).m_directive, AttemptDirective::Wait);
        }

        AttemptLedger m_ledger;
        const AttemptId m_attempt { c_requestId, 0 };
    };

    TEST_F(DispatchedRequest, isRetriedWhenRefusedInTheHandshake)
    {
        const AttemptDecision decision = m_ledger.recordRefused(m_attempt, c_firstBackend, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Dispatch);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::RefusedNotRun);
        EXPECT_EQ(decision.m_attempt.m_number, 1);
        EXPECT_EQ(countOf(m_ledger.retries(), AttemptReason::RefusedInHandshake), 1);
    }

    TEST_F(DispatchedRequest, isRetriedWhenShedBeforeItRanEvenAfterAcceptance)
    {
        m_ledger.recordAccepted(m_attempt, c_firstBackend);
        EXPECT_EQ(m_ledger.recordShed(m_attempt, c_firstBackend, c_start).m_directive, AttemptDirective::Dispatch);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::ShedNotRun);
    }

    TEST_F(DispatchedRequest, aRefusalAfterAcceptanceIsDropped)
    {
        m_ledger.recordAccepted(m_attempt, c_firstBackend);
        const AttemptDecision decision = m_ledger.recordRefused(m_attempt, c_firstBackend, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Drop);
        EXPECT_EQ(decision.m_reason, AttemptReason::StaleEvent);
        EXPECT_EQ(m_ledger.stateOf(m_attempt), AttemptState::Accepted);
    }

    TEST_F(DispatchedRequest, isUnknownAndNotRetriedWhenTheConnectionIsLost)
    {
        EXPECT_EQ(m_ledger.recordLost(m_attempt, c_firstBackend, c_start).m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(m_ledger.dispatch(c_requestId, c_secondBackend, c_start).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.unknownOutcomes(), AttemptReason::ConnectionLost), 1);
    }

    TEST_F(DispatchedRequest, isNotDispatchedTwice)
    {
        EXPECT_EQ(m_ledger.dispatch(c_requestId, c_secondBackend, c_start).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(m_ledger.open({ c_requestId, c_deadline, false }, c_start).m_reason, AttemptReason::DuplicateRequest);
    }

    TEST_F(DispatchedRequest, anAnswerFromAnotherBackendServerIsCountedAndDropped)
    {
        const AttemptDecision decision = m_ledger.recordAnswered(m_attempt, c_secondBackend);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.drops(), AttemptReason::MisroutedAnswer), 1);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(DispatchedRequest, answersReachTheirRequestsInAnyOrder)
    {
        constexpr RequestId otherRequest { 8 };
        m_ledger.open({ otherRequest, c_deadline, false }, c_start);
        m_ledger.dispatch(otherRequest, c_firstBackend, c_start);
        EXPECT_EQ(m_ledger.recordAnswered({ otherRequest, 0 }, c_firstBackend).m_attempt.m_request, otherRequest);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_attempt.m_request, c_requestId);
    }

    TEST_F(DispatchedRequest, onlyTheFirstAnswerIsDelivered)
    {
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_directive, AttemptDirective::Deliver);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_reason, AttemptReason::LateAnswer);
    }

    TEST_F(DispatchedRequest, anAnswerAfterTheReportIsCountedAndDropped)
    {
        m_ledger.recordLost(m_attempt, c_firstBackend, c_start);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_directive, AttemptDirective::Drop);
        EXPECT_EQ(countOf(m_ledger.drops(), AttemptReason::LateAnswer), 1);
    }

    TEST_F(DispatchedRequest, anAnswerToAnAttemptThatDidNotRunIsDroppedAndTheRetryContinues)
    {
        m_ledger.recordShed(m_attempt, c_firstBackend, c_start);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_reason, AttemptReason::ContradictoryAnswer);
        m_ledger.dispatch(c_requestId, c_secondBackend, c_start);
        EXPECT_EQ(m_ledger.recordAnswered({ c_requestId, 1 }, c_secondBackend).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(DispatchedRequest, isUnknownAndCancelledAtTheBackendServerPastItsDeadline)
    {
        AttemptDecision decision;
        EXPECT_EQ(m_ledger.expire(std::span { &decision, 1 }, c_deadline - Duration { 1 }), 0);
        EXPECT_EQ(m_ledger.expire(std::span { &decision, 1 }, c_deadline), 1);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
        EXPECT_EQ(decision.m_cancelTarget, c_firstBackend);
    }

    TEST_F(DispatchedRequest, isNotRetriedPastItsDeadline)
    {
        const AttemptDecision decision = m_ledger.recordShed(m_attempt, c_firstBackend, c_deadline);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
    }

    TEST_F(DispatchedRequest, aCancelledRequestIsCancelledAtTheBackendServerAndNotRetried)
    {
        const AttemptDecision cancelled = m_ledger.cancel(c_requestId);
        EXPECT_EQ(cancelled.m_directive, AttemptDirective::Wait);
        EXPECT_EQ(cancelled.m_cancelTarget, c_firstBackend);
        const AttemptDecision decision = m_ledger.recordShed(m_attempt, c_firstBackend, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::Cancelled);
    }

    TEST_F(DispatchedRequest, theAnswerToACancelledRequestIsDelivered)
    {
        m_ledger.cancel(c_requestId);
        EXPECT_EQ(m_ledger.recordAnswered(m_attempt, c_firstBackend).m_directive, AttemptDirective::Deliver);
    }

    TEST_F(DispatchedRequest, attemptsAreBounded)
    {
        m_ledger.recordShed(m_attempt, c_firstBackend, c_start);
        m_ledger.dispatch(c_requestId, c_firstBackend, c_start);
        m_ledger.recordShed({ c_requestId, 1 }, c_firstBackend, c_start);
        m_ledger.dispatch(c_requestId, c_firstBackend, c_start);
        const AttemptDecision decision = m_ledger.recordShed({ c_requestId, 2 }, c_firstBackend, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::AttemptsExhausted);
    }

    TEST_F(DispatchedRequest, isHeldUntilTheRetentionOfItsIdentityEnds)
    {
        m_ledger.recordAnswered(m_attempt, c_firstBackend);
        AttemptDecision decision;
        m_ledger.expire(std::span { &decision, 1 }, c_deadline);
        EXPECT_EQ(m_ledger.open({ c_requestId, c_deadline + std::chrono::hours { 1 }, false }, c_deadline).m_reason,
            AttemptReason::DuplicateRequest);
        m_ledger.expire(std::span { &decision, 1 }, c_deadline + AttemptLedger::Parameters {}.m_identityRetention);
        EXPECT_EQ(m_ledger.size(), 0);
    }

    TEST(AttemptLedger, aRequestPastItsDeadlineIsRefusedAsNotRun)
    {
        AttemptLedger ledger;
        EXPECT_EQ(ledger.open({ c_requestId, c_start, false }, c_start).m_directive, AttemptDirective::ReportNotRun);
        ledger.open({ c_requestId, c_deadline, false }, c_start);
        const AttemptDecision decision = ledger.dispatch(c_requestId, c_firstBackend, c_deadline);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::DeadlinePassed);
    }

    TEST(AttemptLedger, anUndispatchedRequestIsCancelledAsNotRun)
    {
        AttemptLedger ledger;
        ledger.open({ c_requestId, c_deadline, false }, c_start);
        EXPECT_EQ(ledger.cancel(c_requestId).m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(ledger.dispatch(c_requestId, c_firstBackend, c_start).m_directive, AttemptDirective::Drop);
    }

    TEST(AttemptLedger, aFullLedgerRefusesNewRequestsAndEvictsNone)
    {
        AttemptLedger ledger({ .m_capacity = 1 });
        ledger.open({ c_requestId, c_deadline, false }, c_start);
        ledger.dispatch(c_requestId, c_firstBackend, c_start);
        ledger.recordAnswered({ c_requestId, 0 }, c_firstBackend);
        const AttemptDecision decision = ledger.open({ { 8 }, c_deadline, false }, c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportNotRun);
        EXPECT_EQ(decision.m_reason, AttemptReason::LedgerFull);
        EXPECT_EQ(ledger.open({ c_requestId, c_deadline, false }, c_start).m_reason, AttemptReason::DuplicateRequest);
    }

    TEST(AttemptLedger, anIdempotentRequestIsRetriedAfterAnUnknownAttemptOnlyIfAllowed)
    {
        for (const bool allowed : { false, true }) {
            AttemptLedger ledger({ .m_retriesUnknownIdempotent = allowed });
            ledger.open({ c_requestId, c_deadline, true }, c_start);
            ledger.dispatch(c_requestId, c_firstBackend, c_start);
            EXPECT_EQ(ledger.recordLost({ c_requestId, 0 }, c_firstBackend, c_start).m_directive,
                allowed ? AttemptDirective::Dispatch : AttemptDirective::ReportUnknown);
        }
    }

    TEST(AttemptLedger, notRunIsNeverReportedWhileAnEarlierAttemptIsUnknown)
    {
        AttemptLedger ledger({ .m_maximumAttempts = 2, .m_retriesUnknownIdempotent = true });
        ledger.open({ c_requestId, c_deadline, true }, c_start);
        ledger.dispatch(c_requestId, c_firstBackend, c_start);
        ledger.recordLost({ c_requestId, 0 }, c_firstBackend, c_start);
        ledger.dispatch(c_requestId, c_secondBackend, c_start);
        EXPECT_EQ(ledger.recordRefused({ c_requestId, 1 }, c_secondBackend, c_start).m_directive,
            AttemptDirective::ReportUnknown);
    }

    TEST(AttemptLedger, aLateAnswerToAnUnknownAttemptEndsItsRetry)
    {
        AttemptLedger ledger({ .m_retriesUnknownIdempotent = true });
        ledger.open({ c_requestId, c_deadline, true }, c_start);
        ledger.dispatch(c_requestId, c_firstBackend, c_start);
        ledger.recordLost({ c_requestId, 0 }, c_firstBackend, c_start);
        ledger.dispatch(c_requestId, c_secondBackend, c_start);
        const AttemptDecision decision = ledger.recordAnswered({ c_requestId, 0 }, c_firstBackend);
        EXPECT_EQ(decision.m_directive, AttemptDirective::Deliver);
        EXPECT_EQ(decision.m_cancelTarget, c_secondBackend);
    }

    TEST(AttemptLedger, retriesAreBoundedByARatioOfNewRequests)
    {
        AttemptLedger ledger({ .m_retryBudget = { .m_ratio = 0.1, .m_capacity = 5 } });
        constexpr std::uint64_t requestCount = 1000;
        for (std::uint64_t id = 0; id < requestCount; ++id) {
            ledger.open({ { id }, c_deadline, false }, c_start);
            ledger.dispatch({ id }, c_firstBackend, c_start);
            ledger.recordShed({ { id }, 0 }, c_firstBackend, c_start);
        }
        const AttemptCounters& retries = ledger.retries();
        const std::uint64_t total = std::accumulate(retries.begin(), retries.end(), std::uint64_t { 0 });
        EXPECT_LE(total, requestCount / 10 + 5);
        EXPECT_GE(total, requestCount / 10);
        EXPECT_EQ(countOf(ledger.refusals(), AttemptReason::RetryBudgetExhausted), requestCount - total);
    }

    TEST(AttemptLedger, expireEndsRequestsOverSeveralCalls)
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
        const AttemptDecision decision = ledger.open(repeatOf(c_requestId, false), c_start);
        EXPECT_EQ(decision.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(countOf(ledger.unknownOutcomes(), AttemptReason::NonIdempotentRepeat), 1);
        EXPECT_EQ(ledger.open(repeatOf(c_requestId, true), c_start).m_directive, AttemptDirective::Dispatch);
    }

    TEST(RepeatedRequest, isNeverReportedAsNotRun)
    {
        AttemptLedger ledger;
        EXPECT_EQ(ledger.open(repeatOf({ 1 }, true), c_deadline).m_directive, AttemptDirective::ReportUnknown);
        ledger.open(repeatOf({ 2 }, true), c_start);
        EXPECT_EQ(ledger.cancel({ 2 }).m_directive, AttemptDirective::ReportUnknown);
    }

    TEST_F(DispatchedRequest, aRepeatIsReportedUnknownOnceTheRequestHasFinished)
    {
        EXPECT_EQ(m_ledger.open(repeatOf(c_requestId, false), c_start).m_directive, AttemptDirective::Drop);
        m_ledger.cancel(c_requestId);
        EXPECT_EQ(
            m_ledger.recordRefused(m_attempt, c_firstBackend, c_start).m_directive, AttemptDirective::ReportUnknown);
        const AttemptDecision repeat = m_ledger.open(repeatOf(c_requestId, false), c_start);
        EXPECT_EQ(repeat.m_directive, AttemptDirective::ReportUnknown);
        EXPECT_EQ(repeat.m_reason, AttemptReason::DuplicateRequest);
    }

    TEST(AttemptLedger, eachReasonHasItsOwnName)
    {
        for (std::size_t i = 0; i + 1 < static_cast<std::size_t>(AttemptReason::Count); ++i)
            EXPECT_NE(
                attemptReasonName(static_cast<AttemptReason>(i)), attemptReasonName(static_cast<AttemptReason>(i + 1)));
    }

} // namespace
} // namespace cuminrelay
