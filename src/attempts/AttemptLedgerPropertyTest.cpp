#include "attempts/AttemptLedger.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr std::uint64_t c_requestCount = 3;
    constexpr std::uint32_t c_backendCount = 2;

    enum class EventKind : std::uint8_t {
        Open,
        Dispatch,
        Accepted,
        Refused,
        Shed,
        Answered,
        Lost,
        Cancel,
        Expire,
        Count,
    };

    /// Arguments of one call of the ledger.
    struct Event {
        EventKind m_kind = EventKind::Open;
        AttemptId m_attempt;
        Endpoint m_backend;
        bool m_isIdempotent = false;
        Instant m_at {};
        Deadline m_deadline {};
    };

    rc::Gen<Event> anyEvent()
    {
        return rc::gen::map(
            rc::gen::arbitrary<std::array<std::uint8_t, 5>>(), [](const std::array<std::uint8_t, 5>& raw) {
                Event event;
                event.m_kind = static_cast<EventKind>(raw[0] % static_cast<std::uint8_t>(EventKind::Count));
                event.m_attempt = { { raw[1] % c_requestCount }, static_cast<std::uint8_t>(raw[2] % 3) };
                event.m_backend = { 1 + raw[3] % c_backendCount, 1 };
                event.m_isIdempotent = raw[4] % 2 == 0;
                event.m_deadline = c_start + std::chrono::milliseconds { 10 + raw[4] };
                return event;
            });
    }

    /// Events in order of time, 1 ms apart.
    std::vector<Event> anyEvents()
    {
        std::vector<Event> events = *rc::gen::scale(3.0, rc::gen::container<std::vector<Event>>(anyEvent()));
        for (std::size_t i = 0; i < events.size(); ++i)
            events[i].m_at = c_start + std::chrono::milliseconds { static_cast<int>(i) };
        return events;
    }

    AttemptLedger::Parameters parametersFor(bool retriesUnknown)
    {
        return { .m_maximumAttempts = 3,
            .m_retriesUnknownIdempotent = retriesUnknown,
            .m_identityRetention = std::chrono::hours { 1 },
            .m_retryBudget = { .m_ratio = 0.5, .m_capacity = 2 } };
    }

    /// Returns the ledger's decisions; for Expire, one per ended request.
    std::vector<AttemptDecision> apply(AttemptLedger& ledger, const Event& event)
    {
        switch (event.m_kind) {
        case EventKind::Open:
            return { ledger.open({ event.m_attempt.m_request, event.m_deadline, event.m_isIdempotent }, event.m_at) };
        case EventKind::Dispatch:
            return { ledger.dispatch(event.m_attempt.m_request, event.m_backend, event.m_at) };
        case EventKind::Accepted:
            return { ledger.recordAccepted(event.m_attempt, event.m_backend) };
        case EventKind::Refused:
            return { ledger.recordRefused(event.m_attempt, event.m_backend, event.m_at) };
        case EventKind::Shed:
            return { ledger.recordShed(event.m_attempt, event.m_backend, event.m_at) };
        case EventKind::Answered:
            return { ledger.recordAnswered(event.m_attempt, event.m_backend) };
        case EventKind::Lost:
            return { ledger.recordLost(event.m_attempt, event.m_backend, event.m_at) };
        case EventKind::Cancel:
            return { ledger.cancel(event.m_attempt.m_request) };
        case EventKind::Expire:
        case EventKind::Count:
            break;
        }
        std::vector<AttemptDecision> decisions(c_requestCount);
        decisions.resize(ledger.expire(decisions, event.m_at));
        return decisions;
    }

    /// Reference implementation: stores each event with its directive and derives all state from this history.
    class ReferenceLedger {
    public:
        explicit ReferenceLedger(bool retriesUnknown)
            : m_retriesUnknown(retriesUnknown)
        {
        }

        /// Returns the expected directives; for Expire, one per ended request.
        std::vector<AttemptDirective> apply(const Event& event)
        {
            std::vector<AttemptDirective> directives;
            if (event.m_kind == EventKind::Expire) {
                for (const Event& openEvent : acceptedOpens())
                    if (!isFinished(openEvent.m_attempt.m_request) && openEvent.m_deadline <= event.m_at)
                        directives.push_back(record(event, openEvent.m_attempt.m_request, endDirective(openEvent)));
            } else {
                directives.push_back(record(event, event.m_attempt.m_request, expectedDirective(event)));
            }
            return directives;
        }

    private:
        struct Entry {
            Event m_event;
            RequestId m_request;
            AttemptDirective m_directive;
        };

        AttemptDirective record(const Event& event, RequestId request, AttemptDirective directive)
        {
            m_history.push_back({ event, request, directive });
            return directive;
        }

        template <typename Predicate> std::size_t countWhere(RequestId request, Predicate predicate) const
        {
            return static_cast<std::size_t>(std::count_if(m_history.begin(), m_history.end(),
                [&](const Entry& entry) { return entry.m_request == request && predicate(entry); }));
        }

        /// Open events that added a request.
        std::vector<Event> acceptedOpens() const
        {
            std::vector<Event> events;
            for (const Entry& entry : m_history)
                if (entry.m_event.m_kind == EventKind::Open && entry.m_directive == AttemptDirective::Dispatch)
                    events.push_back(entry.m_event);
            return events;
        }

        bool isFinished(RequestId request) const
        {
            return countWhere(request, [](const Entry& entry) {
                return entry.m_event.m_kind != EventKind::Open
                    && (entry.m_directive == AttemptDirective::Deliver
                        || entry.m_directive == AttemptDirective::ReportNotRun
                        || entry.m_directive == AttemptDirective::ReportUnknown);
            }) > 0;
        }

        bool isCancelled(RequestId request) const
        {
            return countWhere(request, [](const Entry& entry) {
                return entry.m_event.m_kind == EventKind::Cancel && entry.m_directive != AttemptDirective::Drop;
            }) > 0;
        }

        /// Number of attempts; each Dispatch directive starts one.
        std::size_t attemptCount(RequestId request) const
        {
            return countWhere(
                request, [](const Entry& entry) { return entry.m_directive == AttemptDirective::Dispatch; });
        }

        /// Backend servers of the dispatched attempts, by attempt number.
        std::vector<Endpoint> dispatchTargets(RequestId request) const
        {
            std::vector<Endpoint> backends;
            for (const Entry& entry : m_history)
                if (entry.m_request == request && entry.m_event.m_kind == EventKind::Dispatch
                    && entry.m_directive == AttemptDirective::Wait)
                    backends.push_back(entry.m_event.m_backend);
            return backends;
        }

        bool happened(AttemptId attempt, EventKind kind) const
        {
            return countWhere(attempt.m_request, [&](const Entry& entry) {
                return entry.m_event.m_kind == kind && entry.m_event.m_attempt == attempt
                    && entry.m_directive != AttemptDirective::Drop;
            }) > 0;
        }

        bool hasNotRun(AttemptId attempt) const
        {
            return happened(attempt, EventKind::Refused) || happened(attempt, EventKind::Shed);
        }

        AttemptDirective endDirective(const Event& openEvent) const
        {
            const RequestId request = openEvent.m_attempt.m_request;
            const std::size_t sent = dispatchTargets(request).size();
            for (std::size_t number = 0; number < sent; ++number)
                if (!hasNotRun({ request, static_cast<std::uint8_t>(number) }))
                    return AttemptDirective::ReportUnknown;
            return AttemptDirective::ReportNotRun;
        }

        double tokens() const
        {
            double tokens = 2;
            for (const Entry& entry : m_history) {
                if (entry.m_directive != AttemptDirective::Dispatch)
                    continue;
                if (entry.m_event.m_kind == EventKind::Open)
                    tokens = std::min(2.0, tokens + 0.5);
                else
                    tokens -= 1;
            }
            return tokens;
        }

        AttemptDirective retryOrElse(AttemptDirective otherwise, const Event& openEvent, Instant now) const
        {
            const RequestId request = openEvent.m_attempt.m_request;
            const bool mayRetry = !isCancelled(request) && now < openEvent.m_deadline && attemptCount(request) < 3;
            return mayRetry && tokens() >= 1 ? AttemptDirective::Dispatch : otherwise;
        }

        AttemptDirective expectedDirective(const Event& event)
        {
            const RequestId request = event.m_attempt.m_request;
            const std::vector<Event> all = acceptedOpens();
            const auto openEvent = std::find_if(all.begin(), all.end(),
                [request](const Event& candidate) { return candidate.m_attempt.m_request == request; });
            if (event.m_kind == EventKind::Open) {
                if (openEvent != all.end())
                    return AttemptDirective::Drop;
                return event.m_at < event.m_deadline ? AttemptDirective::Dispatch : AttemptDirective::ReportNotRun;
            }
            if (openEvent == all.end() || isFinished(request))
                return AttemptDirective::Drop;
            if (event.m_kind == EventKind::Dispatch)
                return expectedOnDispatch(event, *openEvent);
            if (event.m_kind == EventKind::Cancel)
                return expectedOnCancel(*openEvent);
            return expectedOnOutcome(event, *openEvent);
        }

        AttemptDirective expectedOnDispatch(const Event& event, const Event& openEvent) const
        {
            const RequestId request = event.m_attempt.m_request;
            if (dispatchTargets(request).size() == attemptCount(request))
                return AttemptDirective::Drop;
            return event.m_at < openEvent.m_deadline ? AttemptDirective::Wait : endDirective(openEvent);
        }

        AttemptDirective expectedOnCancel(const Event& openEvent) const
        {
            const RequestId request = openEvent.m_attempt.m_request;
            if (isCancelled(request))
                return AttemptDirective::Drop;
            const bool isInFlight = dispatchTargets(request).size() == attemptCount(request);
            return isInFlight ? AttemptDirective::Wait : endDirective(openEvent);
        }

        AttemptDirective expectedOnOutcome(const Event& event, const Event& openEvent)
        {
            const AttemptId attempt = event.m_attempt;
            const std::vector<Endpoint> backends = dispatchTargets(attempt.m_request);
            if (attempt.m_number >= backends.size() || backends[attempt.m_number] != event.m_backend
                || hasNotRun(attempt))
                return AttemptDirective::Drop;
            if (event.m_kind == EventKind::Answered)
                return AttemptDirective::Deliver;
            if (happened(attempt, EventKind::Lost))
                return AttemptDirective::Drop;
            const bool isAccepted = happened(attempt, EventKind::Accepted);
            if (event.m_kind == EventKind::Accepted)
                return isAccepted ? AttemptDirective::Drop : AttemptDirective::Wait;
            if (event.m_kind == EventKind::Refused && isAccepted)
                return AttemptDirective::Drop;
            if (event.m_kind == EventKind::Lost) {
                if (!openEvent.m_isIdempotent || !m_retriesUnknown)
                    return AttemptDirective::ReportUnknown;
                return retryOrElse(AttemptDirective::ReportUnknown, openEvent, event.m_at);
            }
            return retryOrElse(endDirectiveAfter(event, openEvent), openEvent, event.m_at);
        }

        /// The directive at the end of the request, with the event taken into account.
        AttemptDirective endDirectiveAfter(const Event& event, const Event& openEvent)
        {
            m_history.push_back({ event, event.m_attempt.m_request, AttemptDirective::Wait });
            const AttemptDirective directive = endDirective(openEvent);
            m_history.pop_back();
            return directive;
        }

        bool m_retriesUnknown;
        std::vector<Entry> m_history;
    };

    RC_GTEST_PROP(AttemptLedgerDifferential, matchesAReferenceLedger, (bool retriesUnknown))
    {
        AttemptLedger ledger(parametersFor(retriesUnknown));
        ReferenceLedger reference(retriesUnknown);
        for (const Event& event : anyEvents()) {
            std::vector<AttemptDirective> expected = reference.apply(event);
            std::vector<AttemptDirective> actual;
            for (const AttemptDecision& decision : apply(ledger, event))
                actual.push_back(decision.m_directive);
            // Requests that expire in the same call end in any order.
            std::sort(expected.begin(), expected.end());
            std::sort(actual.begin(), actual.end());
            RC_ASSERT(actual == expected);
        }
    }

    /// Backend servers that accept, run, refuse, shed and answer attempts at random, over a network that loses,
    /// duplicates and reorders their messages.
    class BackendSimulation {
    public:
        explicit BackendSimulation(bool retriesUnknown)
            : m_ledger(parametersFor(retriesUnknown))
        {
        }

        void step(std::array<std::uint8_t, 3> random, Instant now)
        {
            const RequestId request { random[0] % c_requestCount };
            const bool isIdempotent = request.m_value == 0;
            switch (random[1] % 6) {
            case 0:
                if (m_ledger.open({ request, c_start + std::chrono::milliseconds { 40 }, isIdempotent }, now)
                        .m_directive
                    == AttemptDirective::Dispatch)
                    m_opened[request] = true;
                break;
            case 1:
                dispatchToBackend(request, { 1 + random[2] % c_backendCount, 1 }, now);
                break;
            case 2:
                processNextAttempt(random[2]);
                break;
            case 3:
                deliverMessage(random[2], now);
                break;
            case 4:
                loseConnection(request, now);
                break;
            default:
                expireOrCancel(request, random[2], now);
                break;
            }
        }

        void check() const
        {
            for (const auto& [request, runs] : m_runs) {
                if (request.m_value != 0)
                    RC_ASSERT(runs <= 1);
                RC_ASSERT(!(m_reportedNotRun.contains(request) && runs > 0));
            }
            for (const auto& [request, answers] : m_delivered)
                RC_ASSERT(answers == 1);
            for (const auto& [request, reported] : m_reportedNotRun)
                RC_ASSERT(!m_delivered.contains(request));
        }

    private:
        struct DispatchedAttempt {
            AttemptId m_attempt;
            Endpoint m_backend;
            bool m_isProcessed = false;
        };

        void dispatchToBackend(RequestId request, Endpoint backend, Instant now)
        {
            const AttemptDecision decision = m_ledger.dispatch(request, backend, now);
            if (decision.m_directive == AttemptDirective::Wait)
                m_dispatched.push_back({ decision.m_attempt, backend });
            recordDecision(decision);
        }

        /// Refuses, sheds or runs the oldest pending attempt and sends the backend server's messages.
        void processNextAttempt(std::uint8_t random)
        {
            for (DispatchedAttempt& dispatched : m_dispatched) {
                if (dispatched.m_isProcessed)
                    continue;
                dispatched.m_isProcessed = true;
                Event reply { EventKind::Refused, dispatched.m_attempt, dispatched.m_backend, false, {}, {} };
                if (random % 4 == 1)
                    reply.m_kind = EventKind::Shed;
                if (random % 4 >= 2) {
                    reply.m_kind = EventKind::Answered;
                    ++m_runs[dispatched.m_attempt.m_request];
                    m_inTransit.push_back(
                        { EventKind::Accepted, dispatched.m_attempt, dispatched.m_backend, false, {}, {} });
                }
                m_inTransit.push_back(reply);
                return;
            }
        }

        /// Delivers any message in transit; a third of the deliveries leave a duplicate in transit.
        void deliverMessage(std::uint8_t random, Instant now)
        {
            if (m_inTransit.empty())
                return;
            const std::size_t index = random % m_inTransit.size();
            Event event = m_inTransit[index];
            event.m_at = now;
            if (random % 3 != 0)
                m_inTransit.erase(m_inTransit.begin() + static_cast<std::ptrdiff_t>(index));
            for (const AttemptDecision& decision : apply(m_ledger, event))
                recordDecision(decision);
        }

        void loseConnection(RequestId request, Instant now)
        {
            for (const DispatchedAttempt& dispatched : m_dispatched)
                if (dispatched.m_attempt.m_request == request)
                    recordDecision(m_ledger.recordLost(dispatched.m_attempt, dispatched.m_backend, now));
        }

        void expireOrCancel(RequestId request, std::uint8_t random, Instant now)
        {
            if (random % 2 == 0 && m_opened.contains(request)) {
                recordDecision(m_ledger.cancel(request));
                return;
            }
            std::array<AttemptDecision, c_requestCount> decisions;
            const std::size_t count = m_ledger.expire(decisions, now);
            for (std::size_t i = 0; i < count; ++i)
                recordDecision(decisions[i]);
        }

        void recordDecision(const AttemptDecision& decision)
        {
            if (decision.m_directive == AttemptDirective::ReportNotRun)
                m_reportedNotRun[decision.m_attempt.m_request] = true;
            if (decision.m_directive == AttemptDirective::Deliver)
                ++m_delivered[decision.m_attempt.m_request];
        }

        AttemptLedger m_ledger;
        std::vector<DispatchedAttempt> m_dispatched;
        std::vector<Event> m_inTransit;
        std::map<RequestId, bool> m_opened;
        std::map<RequestId, bool> m_reportedNotRun;
        std::map<RequestId, int> m_runs;
        std::map<RequestId, int> m_delivered;
    };

    RC_GTEST_PROP(AttemptLedgerInvariants, atMostOnceAndNotRunMeansNotRun, (bool retriesUnknown))
    {
        using RandomBytes = std::array<std::uint8_t, 3>;
        const std::vector<RandomBytes> steps
            = *rc::gen::scale(10.0, rc::gen::container<std::vector<RandomBytes>>(rc::gen::arbitrary<RandomBytes>()));
        BackendSimulation simulation(retriesUnknown);
        Instant now = c_start;
        for (const RandomBytes& random : steps) {
            simulation.step(random, now);
            now += std::chrono::microseconds { 200 };
            simulation.check();
        }
    }

} // namespace
} // namespace cuminrelay
