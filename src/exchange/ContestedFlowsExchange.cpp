#include "exchange/ContestedFlowsExchange.h"

#include "affinity/CarriedToken.h"

#include <algorithm>
#include <cstddef>
#include <span>
#include <utility>

namespace cuminrelay {

namespace {

    /// The part of a list with up to count entries that begins at an index; empty after its end.
    template <typename T> std::vector<T> part(const std::vector<T>& list, std::size_t first, std::size_t count)
    {
        const std::span<const T> rest = std::span { list }.subspan(std::min(first, list.size()));
        const std::span<const T> selected = rest.first(std::min(count, rest.size()));
        return { selected.begin(), selected.end() };
    }

} // namespace

ContestedFlowsExchange::ContestedFlowsExchange(TokenRouter& router, ExchangePeers& peers)
    : m_router(router)
    , m_peers(peers)
{
}

void ContestedFlowsExchange::apply(const LoadMessage& message, Endpoint sender, Instant now)
{
    for (const ContestedFlowReport& flow : message.m_contestedFlows)
        m_router.applyContestedFlow(flow, now);
    std::vector<ContestedFlowReport> answers = m_router.answerQuestions(
        std::span { message.m_questions }.first(std::min(message.m_questions.size(), c_maxQuestions)), now);
    if (!answers.empty())
        m_answers.push_back({ { sender }, std::move(answers), {} });
}

std::vector<ContestedFlowsNotice> ContestedFlowsExchange::takeNotices(Instant now)
{
    std::vector<ContestedFlowsNotice> notices = std::exchange(m_answers, {});
    const std::vector<ContestedFlowReport> flows = m_router.contestedFlows().takeNotices(now);
    const std::vector<FlowHash> questions = m_router.takeQuestions();
    const std::vector<Endpoint> ungreeted = m_peers.takeUngreeted();
    if (!ungreeted.empty())
        notices.push_back({ ungreeted, m_router.contestedFlows().latestOwn(c_maxNoticedFlows, now), {} });
    if (flows.empty() && questions.empty())
        return notices;
    const std::vector<Endpoint> targets = m_peers.localZonePeers();
    const std::size_t count = std::max((flows.size() + c_maxNoticedFlows - 1) / c_maxNoticedFlows,
        (questions.size() + c_maxQuestions - 1) / c_maxQuestions);
    for (std::size_t i = 0; i < count && !targets.empty(); ++i)
        notices.push_back({ targets, part(flows, i * c_maxNoticedFlows, c_maxNoticedFlows),
            part(questions, i * c_maxQuestions, c_maxQuestions) });
    return notices;
}

void ContestedFlowsExchange::tick(Instant now)
{
    // A flow that seems to have been opened just now may be older by the error of its age.
    if (!m_peers.hasContact(now))
        m_router.contestedFlows().recordGap(now + CarriedToken::s_maxAgeError);
}

} // namespace cuminrelay
