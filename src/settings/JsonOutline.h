#pragma once

#include "base/Error.h"

#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// A member of a JSON object whose value is not decoded yet. Holds views of the object's text.
struct JsonMember {
    std::string_view m_key; ///< as written between the quotes, with its escapes
    std::string_view m_value;
};

/// Maximum nesting of a value that parseJsonValue() decodes. Decoding takes stack space for each level.
inline constexpr std::size_t c_maxJsonNesting = 32;

/// Splits the text of a JSON object into its members, and of an array into its elements, without decoding the values.
/// Whatever one value holds (deep nesting, numbers out of range, bytes that are not UTF-8), the others can be decoded.
/// Cost: O(text) in time, and constant stack space at any nesting. Errors: InvalidInput if the text ends early or is
/// not an object, or an array.
Outcome<std::vector<JsonMember>> splitJsonObject(std::string_view text);
Outcome<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Decodes a JSON value without comments. Errors: InvalidInput with the parse error; also for nesting beyond
/// c_maxJsonNesting and for numbers that no type can hold.
Outcome<boost::json::value> parseJsonValue(std::string_view text);

} // namespace cuminrelay
