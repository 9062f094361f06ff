#pragma once

#include "configuration/Model.h"

#include <algorithm>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace cuminrelay::test {

inline rc::Gen<std::string> labelKey()
{
    return rc::gen::element<std::string>("app", "tier", "canary", "team.example/owner", "in", "notin");
}

inline rc::Gen<std::string> labelValue()
{
    return rc::gen::element<std::string>("kanteisha", "chosa-bako", "gold", "silver", "v1.2_b", "in", "");
}

inline Labels someLabels()
{
    Labels labels;
    for (std::string& key : *rc::gen::container<std::vector<std::string>>(labelKey()))
        labels[std::move(key)] = *labelValue();
    return labels;
}

inline SelectorRequirement someRequirement()
{
    SelectorRequirement requirement;
    requirement.m_key = *labelKey();
    requirement.m_operator = static_cast<SelectorOperator>(*rc::gen::inRange(0, 6));
    switch (requirement.m_operator) {
    case SelectorOperator::Equals:
    case SelectorOperator::NotEquals:
        requirement.m_values = { *labelValue() };
        break;
    case SelectorOperator::In:
    case SelectorOperator::NotIn: {
        requirement.m_values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(labelValue()));
        std::ranges::sort(requirement.m_values);
        requirement.m_values.erase(
            std::unique(requirement.m_values.begin(), requirement.m_values.end()), requirement.m_values.end());
        break;
    }
    case SelectorOperator::Exists:
    case SelectorOperator::DoesNotExist:
        break;
    }
    return requirement;
}

inline Selector someSelector()
{
    Selector selector;
    const int count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < count; ++i)
        selector.m_requirements.push_back(someRequirement());
    return selector;
}

inline BackendServer someBackendServer(std::uint32_t number)
{
    return {
        .m_name = fmt::format("host-{:02}", number),
        .m_zone = *rc::gen::element<std::string>("khomas-a", "khomas-b"),
        .m_tunnel = { 0x0a000000 + number, *rc::gen::inRange<std::uint16_t>(1, 4) },
        .m_report = { 0x0a000000 + number, 80 },
        .m_connectionLimit = *rc::gen::inRange(1U, 4U),
        .m_slots = *rc::gen::inRange<std::uint16_t>(1, 3),
        .m_draining = *rc::gen::arbitrary<bool>(),
        .m_labels = someLabels(),
    };
}

inline Service someService(std::uint32_t number)
{
    return {
        .m_name = fmt::format("service-{:02}", number),
        .m_address = { 0x0b000000 + number, *rc::gen::inRange<std::uint16_t>(1, 3) },
        .m_protocol = *rc::gen::element(Protocol::Tcp, Protocol::Udp),
        .m_selector = someSelector(),
        .m_labels = someLabels(),
    };
}

inline EditRecord someEditRecord(std::uint64_t version)
{
    return {
        .m_id = fmt::format("edit-{}-{}", version, *rc::gen::inRange(0, 3)),
        .m_author = *rc::gen::element<std::string>("aiko", "ben", "\"quoted\"\n"),
        .m_summary = *rc::gen::element<std::string>("drain host-01", ""),
        .m_version = { version },
        .m_unixSeconds = 1'765'000'000 + static_cast<std::int64_t>(version),
        .m_touched = *rc::gen::element(std::vector<std::string> {}, std::vector<std::string> { "host/host-01" }),
    };
}

/// Distinct sorted numbers below a bound.
inline std::vector<std::uint32_t> someNumbers(std::uint32_t bound)
{
    std::vector<std::uint32_t> numbers = *rc::gen::unique<std::vector<std::uint32_t>>(
        *rc::gen::inRange<std::size_t>(0, bound), rc::gen::inRange(0U, bound));
    std::ranges::sort(numbers);
    return numbers;
}

/// A configuration that checkConfiguration accepts.
inline Configuration someConfiguration(std::uint64_t version)
{
    Configuration configuration;
    configuration.m_version = { version };
    configuration.m_zones = { "khomas-a", "khomas-b" };
    if (*rc::gen::arbitrary<bool>())
        configuration.m_zones.emplace_back("khomas-c");
    for (const std::uint32_t number : someNumbers(10))
        configuration.m_backendServers.push_back(someBackendServer(number));
    for (const std::uint32_t number : someNumbers(5))
        configuration.m_services.push_back(someService(number));
    for (const std::uint32_t number : someNumbers(4))
        configuration.m_history.push_back(someEditRecord(number));
    return configuration;
}

} // namespace cuminrelay::test
