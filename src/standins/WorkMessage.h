#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

/// What callers ask of a backend server.
enum class WorkKind : std::uint8_t {
    Feed, ///< held open; the backend server pushes a numbered line every 200 ms
    Form, ///< a short claim form; not idempotent
    Booking, ///< a short booking; not idempotent
    Upload, ///< a large body and long work; idempotent
    Survey, ///< one datagram; idempotent
    Cancel, ///< asks to cancel the work with the same id on the same connection
};

std::string_view workKindName(WorkKind kind);

/// Whether the work may run twice without harm.
bool isIdempotent(WorkKind kind);

/// The head of a request: one line of JSON. m_bodyBytes bytes follow it, made by patternText(id, bytes).
struct WorkRequest {
    std::string m_id;
    std::string m_service;
    WorkKind m_kind = WorkKind::Form;
    std::uint64_t m_workMs = 0; ///< how long the work takes
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_answerBytes = 0; ///< how long the body of the answer shall be
    std::int64_t m_deadlineUnixMs = 0; ///< the work is not started after it; 0: none
};

enum class WorkStatus : std::uint8_t {
    Done,
    Push, ///< one line of a feed
    Shed, ///< refused; it did not run
    Late, ///< past its deadline; it did not run
    Cancelled, ///< cancelled before it ran
    Stopped, ///< cancelled while it ran
};

std::string_view workStatusName(WorkStatus status);

/// Whether the status says that the work did not run.
bool provesNotRun(WorkStatus status);

/// The head of an answer: one line of JSON. m_bodyBytes bytes follow it, made by patternText(id, bytes).
struct WorkAnswer {
    std::string m_id;
    WorkStatus m_status = WorkStatus::Done;
    std::string m_service;
    std::string m_host;
    std::uint64_t m_number = 0; ///< of a feed's push, from 1
    std::uint64_t m_bodyBytes = 0;
    std::string m_requestHash; ///< of the received request body, so that the caller sees that it arrived whole
};

std::string encodeRequest(const WorkRequest& request);
std::string encodeAnswer(const WorkAnswer& answer);

/// Both parse one line without its line end. Errors: InvalidInput.
Outcome<WorkRequest> decodeRequest(std::string_view line);
Outcome<WorkAnswer> decodeAnswer(std::string_view line);

/// Bytes that differ from id to id, so that a caller sees an answer that is not its own.
std::string patternText(std::string_view id, std::uint64_t bytes);

/// The hash of a request body as m_requestHash carries it.
std::string hashOfBody(std::string_view body);

/// Wall-clock milliseconds, as deadlines between machines are written.
std::int64_t unixMilliseconds();

} // namespace cuminrelay::standins
