#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Reads the members of a JSON object from a message or a stored object. After an error, getters return the fallback,
/// the minimum or an empty value; finish() returns the first error with the location, the value found and the values
/// allowed. Holds views of the object, the location and the keys, which must outlive the reader. SettingsReader is for
/// settings files: it reports all errors and the effective settings.
class JsonFields {
public:
    /// Treatment of members that no getter requested. Refuse: an error, for readers that must not lose them. Ignore:
    /// for readers of a few members.
    enum class UnknownMembers : std::uint8_t {
        Refuse,
        Ignore,
    };

    /// A value other than an object is an error.
    JsonFields(const boost::json::value& value, std::string_view location, UnknownMembers unknownMembers);

    bool has(std::string_view key) const;

    /// A required text that is not empty.
    std::string requiredText(std::string_view key);
    std::string text(std::string_view key);
    bool boolean(std::string_view key, bool fallback);
    std::uint64_t requiredInteger(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// An optional number, which may have a fraction.
    double number(std::string_view key, double fallback, double minimum, double maximum);

    /// A required "a.b.c.d:port".
    Endpoint requiredEndpoint(std::string_view key);

    /// An optional object whose members are all texts.
    std::map<std::string, std::string, std::less<>> textMap(std::string_view key);

    /// An optional array of texts.
    std::vector<std::string> texts(std::string_view key);

    /// An optional array; empty if absent.
    const boost::json::array& array(std::string_view key);

    /// Any value; nullptr if absent.
    const boost::json::value* value(std::string_view key) { return lookUp(key); }

    /// Records an error found by the caller; finish() returns the first one.
    void fail(std::string_view key, std::string_view message);

    /// Errors: InvalidInput with the message of the first error.
    Outcome<void> finish();

private:
    const boost::json::value* lookUp(std::string_view key);
    const boost::json::value* lookUpRequired(std::string_view key, std::string_view allowed);
    void failType(std::string_view key, const boost::json::value& found, std::string_view allowed);

    std::string_view m_location;
    const boost::json::object* m_object = nullptr;
    std::vector<std::string_view> m_allowedKeys;
    std::optional<std::string> m_firstError;
    UnknownMembers m_unknownMembers;
};

} // namespace cuminrelay
