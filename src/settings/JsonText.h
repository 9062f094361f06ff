#pragma once

#include "base/Error.h"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Parses JSON with comments. Errors: InvalidInput naming the text's name, line and what is wrong.
Outcome<boost::json::value> parseJsonText(std::string_view name, std::string_view text);

/// The kind of a value for a person: "a number", "an object".
std::string_view describeJsonKind(const boost::json::value& value);

/// A found value as error messages quote it: JSON, cut short when long.
std::string quotedJson(const boost::json::value& value);

/// The value as JSON for people, indented by two spaces, with a line end after it. Objects and arrays that are short
/// stay on one line.
std::string indentedJsonText(const boost::json::value& value);

} // namespace cuminrelay
