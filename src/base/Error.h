#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Kind of failure of an Outcome. Callers branch on the kind; the message is for people.
enum class ErrorKind : std::uint8_t {
    InvalidInput, ///< malformed, out of range or too large; nothing was changed
    NotFound,
    Conflict, ///< a concurrent change of the same object came first
    Unauthorized,
    Unavailable, ///< unreachable, or refused before the call ran; safe to retry
    OutcomeUnknown, ///< sent without an answer: the call may or may not have taken effect
    Stale, ///< older than the stored state
    Exhausted, ///< a limit or budget is used up
};

/// The stable lower-case name of a kind, as printed in logs and by the command line.
std::string_view errorKindName(ErrorKind kind);

/// A failure as a value. Messages for InvalidInput name the value found and the values allowed.
struct Error {
    ErrorKind m_kind = ErrorKind::InvalidInput;
    std::string m_message;
};

/// A value or an Error. Reading the absent one is undefined behaviour.
template <typename T> using Outcome = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace cuminrelay
