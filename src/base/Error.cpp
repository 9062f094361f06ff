#include "base/Error.h"

namespace cuminrelay {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid_input";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorKind::Stale:
        return "stale";
    case ErrorKind::Exhausted:
        return "exhausted";
    }
    return "unknown";
}

} // namespace cuminrelay
