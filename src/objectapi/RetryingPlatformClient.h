#pragma once

#include "base/Time.h"
#include "objectapi/PlatformClient.h"
#include "objectapi/RetryPolicy.h"
#include "observe/Metrics.h"

#include <string_view>

namespace cuminrelay {

/// Repeats failed calls of another client according to a retry policy. Watches are not repeated, because their callers
/// repeat them in a loop. All constructor arguments must outlive this client.
///
/// Counters: cuminrelay_platform_retries_total{reason="unavailable"} per repeated call,
/// cuminrelay_platform_gave_up_total by reason per call that was given up.
class RetryingPlatformClient final : public PlatformClient {
public:
    RetryingPlatformClient(PlatformClient& client, RetryPolicy& policy, const Clock& clock, Metrics& metrics);

    boost::asio::awaitable<Outcome<StoredObject>> read(std::string kind, std::string name, Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoredObject>> watch(
        std::string kind, std::string name, std::uint64_t heldVersion, Deadline deadline) override;
    boost::asio::awaitable<Outcome<std::uint64_t>> write(std::string kind, std::string name,
        std::uint64_t expectedVersion, std::string body, Deadline deadline) override;
    boost::asio::awaitable<Outcome<std::vector<Member>>> listMembers(Deadline deadline) override;

private:
    boost::asio::awaitable<bool> waitForRetry(ErrorKind error, unsigned attempts, Deadline deadline);

    PlatformClient& m_client;
    RetryPolicy& m_policy;
    const Clock& m_clock;
    Metrics& m_metrics;
};

} // namespace cuminrelay
