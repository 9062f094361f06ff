#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The most bytes that the configuration object may have in the platform's store.
inline constexpr std::size_t c_maximumConfigurationBytes = 1'000'000;

/// Parses the text of the object config/current, whose version the platform gave. Errors: InvalidInput naming the place
/// in the text, what was found and what is allowed; also for members that this program does not know, so that nothing
/// is half understood or lost by an edit.
Outcome<Configuration> parseConfiguration(std::string_view text, ConfigVersion version);

/// The text of the object config/current; its version is not part of it.
std::string formatConfiguration(const Configuration& configuration);

/// Single elements, as they stand in the object and in declarations files. place: for error messages.
Outcome<BackendServer> parseBackendServer(const boost::json::value& value, std::string_view place);
Outcome<Service> parseService(const boost::json::value& value, std::string_view place);
boost::json::object backendServerJson(const BackendServer& backend);
boost::json::object serviceJson(const Service& service);
boost::json::object editRecordJson(const EditRecord& edit);

/// "tcp" or "udp".
std::string_view protocolName(Protocol protocol);

/// Errors: InvalidInput, quoting the text.
Outcome<Protocol> parseProtocol(std::string_view name);

} // namespace cuminrelay
