#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "configuration/Model.h"
#include "members/Member.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// An object in the platform's store.
struct StoredObject {
    std::uint64_t m_version = 0; ///< increases by one with each accepted write; 0: the object does not exist
    std::string m_body; ///< JSON text, at most c_maximumObjectBytes
};

inline constexpr std::size_t c_maximumObjectBytes = 1'000'000;

/// The platform's object API and VM list. Calls never throw. A read that exceeds its deadline fails with Unavailable; a
/// write that exceeds it fails with OutcomeUnknown if it may have been sent.
class PlatformClient {
public:
    PlatformClient() = default;
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;
    virtual ~PlatformClient() = default;

    /// Reads an object. Errors: InvalidInput (invalid kind or name), NotFound, Unauthorized, Unavailable.
    virtual boost::asio::awaitable<Outcome<StoredObject>> read(std::string kind, std::string name, Deadline deadline)
        = 0;

    /// Waits until the object's version exceeds heldVersion, at most 60 s and until the deadline. Returns the current
    /// object, changed or not. Counts as one call towards the platform's rate limit. Errors: as for read().
    virtual boost::asio::awaitable<Outcome<StoredObject>> watch(
        std::string kind, std::string name, std::uint64_t heldVersion, Deadline deadline)
        = 0;

    /// Writes an object if its version equals expectedVersion (0: the object must not exist) and returns the new
    /// version. Errors: Conflict, InvalidInput, Unauthorized, Unavailable (did not take effect), OutcomeUnknown.
    virtual boost::asio::awaitable<Outcome<std::uint64_t>> write(
        std::string kind, std::string name, std::uint64_t expectedVersion, std::string body, Deadline deadline)
        = 0;

    /// Lists the active and leaving entry VMs; the list may be stale. Errors: Unauthorized, Unavailable.
    virtual boost::asio::awaitable<Outcome<std::vector<Member>>> listMembers(Deadline deadline) = 0;
};

} // namespace cuminrelay
