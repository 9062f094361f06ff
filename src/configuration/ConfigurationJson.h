#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Maximum size of the configuration object in the platform's store.
inline constexpr std::size_t c_maximumConfigurationBytes = 1'000'000;

/// Parses the text of the object config/current. version: the object version that the platform returned. Errors:
/// InvalidInput with the location in the text, the found and the allowed value. Unknown members are errors too, because
/// an edit would otherwise drop them.
Outcome<Configuration> parseConfiguration(std::string_view text, ConfigVersion version);

/// The text of the object config/current, without the version.
std::string formatConfiguration(const Configuration& configuration);

/// Parse and format single elements of the object and of declarations files. location: prefix of error messages.
/// Errors: InvalidInput.
Outcome<BackendServer> parseBackendServer(const boost::json::value& value, std::string_view location);
Outcome<Service> parseService(const boost::json::value& value, std::string_view location);
boost::json::object backendServerJson(const BackendServer& backend);
boost::json::object serviceJson(const Service& service);
boost::json::object editRecordJson(const EditRecord& edit);

/// "tcp" or "udp".
std::string_view protocolName(Protocol protocol);

/// Inverse of protocolName. Errors: InvalidInput, quoting the text.
Outcome<Protocol> parseProtocol(std::string_view name);

} // namespace cuminrelay
