#pragma once

#include "base/Error.h"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Parses JSON with comments. Errors: InvalidInput with the name, the line and the parse error.
Outcome<boost::json::value> parseJsonText(std::string_view name, std::string_view text);

/// Kind of a value for error messages, such as "a number" or "an object".
std::string_view describeJsonKind(const boost::json::value& value);

/// JSON text of a value for error messages; long text is truncated.
std::string quotedJson(const boost::json::value& value);

/// Human-readable JSON, indented by two spaces, with a final line end. Short objects and arrays stay on one line.
std::string indentedJsonText(const boost::json::value& value);

} // namespace cuminrelay
