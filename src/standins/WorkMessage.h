#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

/// Kinds of requests to a backend server.
enum class WorkKind : std::uint8_t {
    Feed, ///< the connection stays open; the backend server pushes a numbered line every 200 ms
    Form, ///< a short claim form; not idempotent
    Booking, ///< a short booking; not idempotent
    Upload, ///< a large body and long work; idempotent
    Survey, ///< one datagram; idempotent
    Cancel, ///< cancels the work of the same id on the same connection
};

std::string_view workKindName(WorkKind kind);

/// True if the work may run twice without harm.
bool isIdempotent(WorkKind kind);

/// The header of a request: one line of JSON, followed by a body of m_bodyBytes bytes from patternText(id, bytes).
struct WorkRequest {
    std::string m_id;
    std::string m_service;
    WorkKind m_kind = WorkKind::Form;
    std::uint64_t m_workMs = 0; ///< duration of the work
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_answerBytes = 0; ///< length of the answer body
    std::int64_t m_deadlineUnixMs = 0; ///< latest start of the work; 0: none
};

enum class WorkStatus : std::uint8_t {
    Done,
    Push, ///< one line of a feed
    Shed, ///< refused; the work did not run
    DeadlineExceeded, ///< past the deadline; the work did not run
    Cancelled, ///< cancelled before it ran
    Stopped, ///< cancelled while it ran
};

std::string_view workStatusName(WorkStatus status);

/// True if the status proves that the work did not run.
bool hasNotRun(WorkStatus status);

/// The header of an answer: one line of JSON, followed by a body of m_bodyBytes bytes from patternText(id, bytes).
struct WorkAnswer {
    std::string m_id;
    WorkStatus m_status = WorkStatus::Done;
    std::string m_service;
    std::string m_host;
    std::uint64_t m_number = 0; ///< sequence number of a feed's push, from 1
    std::uint64_t m_bodyBytes = 0;
    std::string m_requestHash; ///< of the received request body, to verify that it is complete
};

std::string encodeRequest(const WorkRequest& request);
std::string encodeAnswer(const WorkAnswer& answer);

/// Both parse one line without its line end. Errors: InvalidInput.
Outcome<WorkRequest> decodeRequest(std::string_view line);
Outcome<WorkAnswer> decodeAnswer(std::string_view line);

/// Generates a body that depends on the id, so that callers detect answers to other requests.
std::string patternText(std::string_view id, std::uint64_t bytes);

/// The hash of a request body for m_requestHash.
std::string hashOfBody(std::string_view body);

/// Wall-clock time in Unix milliseconds, for deadlines and records.
std::int64_t unixMilliseconds();

} // namespace cuminrelay::standins
