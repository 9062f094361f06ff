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

/// Reads the members of one JSON object of a message or a stored object. Getters go on after a fault and return an
/// empty value; finish() gives the first fault, naming the place, what was found and what is allowed. Holds views of
/// the object and of the place: both must outlive it. For settings files, which want all problems and defaults at once,
/// see SettingsReader.
class JsonFields {
public:
    /// Whether members that no getter named are a fault. A reader that must not lose what it does not understand says
    /// Refuse; one that only looks at a few members says Ignore.
    enum class UnknownMembers : std::uint8_t {
        Refuse,
        Ignore,
    };

    /// value: any JSON value; anything but an object is a fault.
    JsonFields(const boost::json::value& value, std::string_view place, UnknownMembers unknown);

    bool has(std::string_view key) const;

    /// A text that must be present and not empty.
    std::string requiredText(std::string_view key);
    std::string text(std::string_view key);
    bool boolean(std::string_view key, bool fallback);
    std::uint64_t requiredInteger(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// An "a.b.c.d:port" that must be present.
    Endpoint requiredEndpoint(std::string_view key);

    /// An object whose members are all texts; may be absent.
    std::map<std::string, std::string, std::less<>> textMap(std::string_view key);

    /// An array of texts; may be absent.
    std::vector<std::string> texts(std::string_view key);

    /// The elements of an array; none when it is absent.
    const boost::json::array& array(std::string_view key);

    /// Any value, or nullptr when it is absent.
    const boost::json::value* value(std::string_view key) { return take(key); }

    /// Records a fault that only the caller can see; the first one counts.
    void fail(std::string_view key, std::string_view message);

    /// The first fault, if any, as InvalidInput.
    Outcome<void> finish();

private:
    const boost::json::value* take(std::string_view key);
    const boost::json::value* takeRequired(std::string_view key, std::string_view allowed);
    void failType(std::string_view key, const boost::json::value& found, std::string_view allowed);

    std::string_view m_place;
    const boost::json::object* m_object = nullptr;
    std::vector<std::string_view> m_known;
    std::optional<std::string> m_fault;
    UnknownMembers m_unknown;
};

} // namespace cuminrelay
