#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <string>
#include <string_view>

namespace cuminrelay {

/// Parses a selector in the equality and set form of Kubernetes: "k=v", "k==v", "k!=v", "k in (a,b)", "k notin (a,b)",
/// "k", "!k", joined by commas. Values of a set are sorted and deduplicated. Errors: InvalidInput, quoting the
/// unexpected text.
Outcome<Selector> parseSelector(std::string_view text);

/// Inverse of parseSelector.
std::string formatSelector(const Selector& selector);

/// Whether the labels meet one requirement. As in Kubernetes, labels without the key also meet "!=" and "notin".
bool matches(const SelectorRequirement& requirement, const Labels& labels);

/// Whether the labels meet all requirements; false if there are none.
bool matches(const Selector& selector, const Labels& labels);

/// Checks a label key: a name of 1 to 63 letters, digits, '-', '_' and '.' that begins and ends with a letter or digit,
/// optionally after a prefix of up to 253 such characters and a slash ("team.example/"). Errors: InvalidInput.
Outcome<void> checkLabelKey(std::string_view key);

/// Checks a label value: empty, or a name as in checkLabelKey. Errors: InvalidInput.
Outcome<void> checkLabelValue(std::string_view value);

/// Checks the name of a zone, backend server or service: a non-empty label value. Errors: InvalidInput.
Outcome<void> checkName(std::string_view name);

} // namespace cuminrelay
