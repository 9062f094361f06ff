#include "standins/WorkMessage.h"

#include "base/Hash.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fmt/format.h>
#include <span>

namespace cuminrelay::standins {

namespace json = boost::json;

namespace {

    constexpr std::array<std::string_view, 6> c_kindNames { "feed", "form", "booking", "upload", "survey", "cancel" };
    constexpr std::array<std::string_view, 6> c_statusNames { "done", "push", "shed", "late", "cancelled", "stopped" };
    constexpr std::uint64_t c_maximumBytes = 100'000'000;

    /// Reads the fields of one JSON message. isValid() is false after a missing or invalid field.
    class JsonLineReader {
    public:
        explicit JsonLineReader(std::string_view line)
        {
            json::error_code error;
            json::value parsed = json::parse({ line.data(), line.size() }, error);
            m_isValid = !error && parsed.is_object();
            if (m_isValid)
                m_object = std::move(parsed.as_object());
        }

        std::string text(std::string_view key)
        {
            const json::value* const found = m_object.if_contains({ key.data(), key.size() });
            if (!found || !found->is_string()) {
                m_isValid = false;
                return {};
            }
            return std::string { found->as_string() };
        }

        std::int64_t integer(std::string_view key)
        {
            const json::value* const found = m_object.if_contains({ key.data(), key.size() });
            if (!found || !found->is_int64() || found->as_int64() < 0) {
                m_isValid = false;
                return 0;
            }
            return found->as_int64();
        }

        std::uint64_t bytes(std::string_view key)
        {
            const std::uint64_t count = static_cast<std::uint64_t>(integer(key));
            m_isValid = m_isValid && count <= c_maximumBytes;
            return count;
        }

        std::size_t enumIndex(std::string_view key, std::span<const std::string_view> names)
        {
            const std::string found = text(key);
            for (std::size_t i = 0; i < names.size(); ++i) {
                if (names[i] == found)
                    return i;
            }
            m_isValid = false;
            return 0;
        }

        bool isValid() const { return m_isValid; }

    private:
        json::object m_object;
        bool m_isValid = false;
    };

    Error malformed(std::string_view line)
    {
        constexpr std::size_t maxQuotedBytes = 100;
        return { ErrorKind::InvalidInput, fmt::format("malformed message \"{}\"", line.substr(0, maxQuotedBytes)) };
    }

} // namespace

std::string_view workKindName(WorkKind kind)
{
    return c_kindNames.at(static_cast<std::size_t>(kind));
}

bool isIdempotent(WorkKind kind)
{
    return kind != WorkKind::Form && kind != WorkKind::Booking;
}

std::string_view workStatusName(WorkStatus status)
{
    return c_statusNames.at(static_cast<std::size_t>(status));
}

bool hasNotRun(WorkStatus status)
{
    return status == WorkStatus::Shed || status == WorkStatus::DeadlineExceeded || status == WorkStatus::Cancelled;
}

std::string encodeRequest(const WorkRequest& request)
{
    return json::serialize(json::object {
               { "id", request.m_id },
               { "service", request.m_service },
               { "kind", workKindName(request.m_kind) },
               { "work_ms", request.m_workMs },
               { "body_bytes", request.m_bodyBytes },
               { "answer_bytes", request.m_answerBytes },
               { "deadline_unix_ms", request.m_deadlineUnixMs },
           })
        + '\n';
}

std::string encodeAnswer(const WorkAnswer& answer)
{
    return json::serialize(json::object {
               { "id", answer.m_id },
               { "status", workStatusName(answer.m_status) },
               { "service", answer.m_service },
               { "host", answer.m_host },
               { "number", answer.m_number },
               { "body_bytes", answer.m_bodyBytes },
               { "request_hash", answer.m_requestHash },
           })
        + '\n';
}

Outcome<WorkRequest> decodeRequest(std::string_view line)
{
    JsonLineReader reader { line };
    WorkRequest request;
    request.m_id = reader.text("id");
    request.m_service = reader.text("service");
    request.m_kind = static_cast<WorkKind>(reader.enumIndex("kind", c_kindNames));
    request.m_workMs = static_cast<std::uint64_t>(reader.integer("work_ms"));
    request.m_bodyBytes = reader.bytes("body_bytes");
    request.m_answerBytes = reader.bytes("answer_bytes");
    request.m_deadlineUnixMs = reader.integer("deadline_unix_ms");
    if (!reader.isValid())
        return malformed(line);
    return request;
}

Outcome<WorkAnswer> decodeAnswer(std::string_view line)
{
    JsonLineReader reader { line };
    WorkAnswer answer;
    answer.m_id = reader.text("id");
    answer.m_status = static_cast<WorkStatus>(reader.enumIndex("status", c_statusNames));
    answer.m_service = reader.text("service");
    answer.m_host = reader.text("host");
    answer.m_number = static_cast<std::uint64_t>(reader.integer("number"));
    answer.m_bodyBytes = reader.bytes("body_bytes");
    answer.m_requestHash = reader.text("request_hash");
    if (!reader.isValid())
        return malformed(line);
    return answer;
}

std::string patternText(std::string_view id, std::uint64_t bytes)
{
    std::string text;
    text.reserve(bytes + 16);
    for (std::uint64_t block = 0; text.size() < bytes; ++block)
        text += fmt::format("{:016x}", hashText(id, block));
    text.resize(bytes);
    return text;
}

std::string hashOfBody(std::string_view body)
{
    return fmt::format("{:016x}", hashText(body, 0));
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace cuminrelay::standins
