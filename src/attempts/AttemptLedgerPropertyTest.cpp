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
        Hand,
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

    AttemptLedger::Parameters parametersFor(bool repeats)
    {
        return { .m_maximumAttempts = 3,
            .m_repeatsUnknownIdempotent = repeats,
            .m_memory = std::chrono::hours { 1 },
            .m_retryBudget = { .m_ratio = 0.5, .m_capacity = 2 } };
    }

    /// Returns the ledger's decisions; for Expire, one per ended request.
    std::vector<AttemptDecision> tell(AttemptLedger& ledger, const Event& event)
    {
        switch (event.m_kind) {
        case EventKind::Open:
            return { ledger.open({ event.m_attempt.m_request, event.m_deadline, event.m_isIdempotent }, event.m_at) };
        case EventKind::Hand:
            return { ledger.hand(event.m_attempt.m_request, event.m_backend, event.m_at) };
        case EventKind::Accepted:
            return { ledger.noteAccepted(event.m_attempt, event.m_backend) };
        case EventKind::Refused:
            return { ledger.noteRefused(event.m_attempt, event.m_backend, event.m_at) };
        case EventKind::Shed:
            return { ledger.noteShed(event.m_attempt, event.m_backend, event.m_at) };
        case EventKind::Answered:
            return { ledger.noteAnswered(event.m_attempt, event.m_backend) };
        case EventKind::Lost:
            return { ledger.noteLost(event.m_attempt, event.m_backend, event.m_at) };
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
    class NaiveLedger {
    public:
        explicit NaiveLedger(bool repeats)
            : m_repeats(repeats)
        {
        }

        /// Returns the expected directives; for Expire, one per ended request.
        std::vector<AttemptDirective> tell(const Event& event)
        {
            std::vector<AttemptDirective> directives;
            if (event.m_kind == EventKind::Expire) {
                for (const Event& opening : openings())
                    if (!isOver(opening.m_attempt.m_request) && opening.m_deadline <= event.m_at)
                        directives.push_back(record(event, opening.m_attempt.m_request, verdict(opening)));
            } else {
                directives.push_back(record(event, event.m_attempt.m_request, direct(event)));
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
        std::vector<Event> openings() const
        {
            std::vector<Event> events;
            for (const Entry& entry : m_history)
                if (entry.m_event.m_kind == EventKind::Open && entry.m_directive == AttemptDirective::Hand)
                    events.push_back(entry.m_event);
            return events;
        }

        bool isOver(RequestId request) const
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
        std::size_t begun(RequestId request) const
        {
            return countWhere(request, [](const Entry& entry) { return entry.m_directive == AttemptDirective::Hand; });
        }

        /// Backend servers of the dispatched attempts, by attempt number.
        std::vector<Endpoint> sentTo(RequestId request) const
        {
            std::vector<Endpoint> backends;
            for (const Entry& entry : m_history)
                if (entry.m_request == request && entry.m_event.m_kind == EventKind::Hand
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

        bool isProvedNotRun(AttemptId attempt) const
        {
            return happened(attempt, EventKind::Refused) || happened(attempt, EventKind::Shed);
        }

        AttemptDirective verdict(const Event& opening) const
        {
            const RequestId request = opening.m_attempt.m_request;
            const std::size_t sent = sentTo(request).size();
            for (std::size_t number = 0; number < sent; ++number)
                if (!isProvedNotRun({ request, static_cast<std::uint8_t>(number) }))
                    return AttemptDirective::ReportUnknown;
            return AttemptDirective::ReportNotRun;
        }

        double tokens() const
        {
            double tokens = 2;
            for (const Entry& entry : m_history) {
                if (entry.m_directive != AttemptDirective::Hand)
                    continue;
                if (entry.m_event.m_kind == EventKind::Open)
                    tokens = std::min(2.0, tokens + 0.5);
                else
                    tokens -= 1;
            }
            return tokens;
        }

        AttemptDirective retryOr(AttemptDirective otherwise, const Event& opening, Instant now) const
        {
            const RequestId request = opening.m_attempt.m_request;
            const bool mayRetry = !isCancelled(request) && now < opening.m_deadline && begun(request) < 3;
            return mayRetry && tokens() >= 1 ? AttemptDirective::Hand : otherwise;
        }

        AttemptDirective direct(const Event& event)
        {
            const RequestId request = event.m_attempt.m_request;
            const std::vector<Event> all = openings();
            const auto opening = std::find_if(all.begin(), all.end(),
                [request](const Event& candidate) { return candidate.m_attempt.m_request == request; });
            if (event.m_kind == EventKind::Open) {
                if (opening != all.end())
                    return AttemptDirective::Drop;
                return event.m_at < event.m_deadline ? AttemptDirective::Hand : AttemptDirective::ReportNotRun;
            }
            if (opening == all.end() || isOver(request))
                return AttemptDirective::Drop;
            if (event.m_kind == EventKind::Hand)
                return directHand(event, *opening);
            if (event.m_kind == EventKind::Cancel)
                return directCancel(*opening);
            return directOutcome(event, *opening);
        }

        AttemptDirective directHand(const Event& event, const Event& opening) const
        {
            const RequestId request = event.m_attempt.m_request;
            if (sentTo(request).size() == begun(request))
                return AttemptDirective::Drop;
            return event.m_at < opening.m_deadline ? AttemptDirective::Wait : verdict(opening);
        }

        AttemptDirective directCancel(const Event& opening) const
        {
            const RequestId request = opening.m_attempt.m_request;
            if (isCancelled(request))
                return AttemptDirective::Drop;
            const bool isInFlight = sentTo(request).size() == begun(request);
            return isInFlight ? AttemptDirective::Wait : verdict(opening);
        }

        AttemptDirective directOutcome(const Event& event, const Event& opening)
        {
            const AttemptId attempt = event.m_attempt;
            const std::vector<Endpoint> backends = sentTo(attempt.m_request);
            if (attempt.m_number >= backends.size() || backends[attempt.m_number] != event.m_backend
                || isProvedNotRun(attempt))
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
                if (!opening.m_isIdempotent || !m_repeats)
                    return AttemptDirective::ReportUnknown;
                return retryOr(AttemptDirective::ReportUnknown, opening, event.m_at);
            }
            return retryOr(verdictWithProof(event, opening), opening, event.m_at);
        }

        /// The directive at the end of the request, with the event taken into account.
        AttemptDirective verdictWithProof(const Event& event, const Event& opening)
        {
            m_history.push_back({ event, event.m_attempt.m_request, AttemptDirective::Wait });
            const AttemptDirective directive = verdict(opening);
            m_history.pop_back();
            return directive;
        }

        bool m_repeats;
        std::vector<Entry> m_history;
    };

    RC_GTEST_PROP(AttemptLedgerDifferential, agreesWithTheNaiveVersion, (bool repeats))
    {
        AttemptLedger ledger(parametersFor(repeats));
        NaiveLedger naive(repeats);
        for (const Event& event : anyEvents()) {
            std::vector<AttemptDirective> expected = naive.tell(event);
            std::vector<AttemptDirective> actual;
            for (const AttemptDecision& decision : tell(ledger, event))
                actual.push_back(decision.m_directive);
            // Requests that expire in the same call end in any order.
            std::sort(expected.begin(), expected.end());
            std::sort(actual.begin(), actual.end());
            RC_ASSERT(actual == expected);
        }
    }

    /// Backend servers that accept, run, refuse, shed and answer attempts at random, over a network that loses,
    /// duplicates and reorders their messages.
    class World {
    public:
        explicit World(bool repeats)
            : m_ledger(parametersFor(repeats))
        {
        }

        void step(std::array<std::uint8_t, 3> chance, Instant now)
        {
            const RequestId request { chance[0] % c_requestCount };
            const bool isIdempotent = request.m_value == 0;
            switch (chance[1] % 6) {
            case 0:
                if (m_ledger.open({ request, c_start + std::chrono::milliseconds { 40 }, isIdempotent }, now)
                        .m_directive
                    == AttemptDirective::Hand)
                    m_opened[request] = true;
                break;
            case 1:
                handToBackend(request, { 1 + chance[2] % c_backendCount, 1 }, now);
                break;
            case 2:
                backendActs(chance[2]);
                break;
            case 3:
                deliverSomething(chance[2], now);
                break;
            case 4:
                loseConnection(request, now);
                break;
            default:
                expireOrCancel(request, chance[2], now);
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
        struct Arrived {
            AttemptId m_attempt;
            Endpoint m_backend;
            bool m_isDone = false;
        };

        void handToBackend(RequestId request, Endpoint backend, Instant now)
        {
            const AttemptDecision decision = m_ledger.hand(request, backend, now);
            if (decision.m_directive == AttemptDirective::Wait)
                m_arrived.push_back({ decision.m_attempt, backend });
            note(decision);
        }

        /// Refuses, sheds or runs the oldest pending attempt and sends the backend server's messages.
        void backendActs(std::uint8_t chance)
        {
            for (Arrived& arrived : m_arrived) {
                if (arrived.m_isDone)
                    continue;
                arrived.m_isDone = true;
                Event said { EventKind::Refused, arrived.m_attempt, arrived.m_backend, false, {}, {} };
                if (chance % 4 == 1)
                    said.m_kind = EventKind::Shed;
                if (chance % 4 >= 2) {
                    said.m_kind = EventKind::Answered;
                    ++m_runs[arrived.m_attempt.m_request];
                    m_onTheWay.push_back({ EventKind::Accepted, arrived.m_attempt, arrived.m_backend, false, {}, {} });
                }
                m_onTheWay.push_back(said);
                return;
            }
        }

        /// Delivers any message in transit; a third of the deliveries leave a duplicate in transit.
        void deliverSomething(std::uint8_t chance, Instant now)
        {
            if (m_onTheWay.empty())
                return;
            const std::size_t index = chance % m_onTheWay.size();
            Event event = m_onTheWay[index];
            event.m_at = now;
            if (chance % 3 != 0)
                m_onTheWay.erase(m_onTheWay.begin() + static_cast<std::ptrdiff_t>(index));
            for (const AttemptDecision& decision : tell(m_ledger, event))
                note(decision);
        }

        void loseConnection(RequestId request, Instant now)
        {
            for (const Arrived& arrived : m_arrived)
                if (arrived.m_attempt.m_request == request)
                    note(m_ledger.noteLost(arrived.m_attempt, arrived.m_backend, now));
        }

        void expireOrCancel(RequestId request, std::uint8_t chance, Instant now)
        {
            if (chance % 2 == 0 && m_opened.contains(request)) {
                note(m_ledger.cancel(request));
                return;
            }
            std::array<AttemptDecision, c_requestCount> decisions;
            const std::size_t count = m_ledger.expire(decisions, now);
            for (std::size_t i = 0; i < count; ++i)
                note(decisions[i]);
        }

        void note(const AttemptDecision& decision)
        {
            if (decision.m_directive == AttemptDirective::ReportNotRun)
                m_reportedNotRun[decision.m_attempt.m_request] = true;
            if (decision.m_directive == AttemptDirective::Deliver)
                ++m_delivered[decision.m_attempt.m_request];
        }

        AttemptLedger m_ledger;
        std::vector<Arrived> m_arrived;
        std::vector<Event> m_onTheWay;
        std::map<RequestId, bool> m_opened;
        std::map<RequestId, bool> m_reportedNotRun;
        std::map<RequestId, int> m_runs;
        std::map<RequestId, int> m_delivered;
    };

    RC_GTEST_PROP(AttemptLedgerPromises, atMostOnceAndNotRunMeansNotRun, (bool repeats))
    {
        using Chance = std::array<std::uint8_t, 3>;
        const std::vector<Chance> chances
            = *rc::gen::scale(10.0, rc::gen::container<std::vector<Chance>>(rc::gen::arbitrary<Chance>()));
        World world(repeats);
        Instant now = c_start;
        for (const Chance& chance : chances) {
            world.step(chance, now);
            now += std::chrono::microseconds { 200 };
            world.check();
        }
    }

} // namespace
} // namespace cuminrelay
