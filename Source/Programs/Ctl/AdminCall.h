/// \file
/// Calls of the administration API as the command line makes them.

#ifndef ACACIAROAD_PROGRAMS_CTL_ADMINCALL_H
#define ACACIAROAD_PROGRAMS_CTL_ADMINCALL_H

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "Core/Error.h"

namespace acaciaroad::ctl {

struct AdminCall {
  std::string Method;
  /// Path and query, percent-encoded.
  std::string Target;
  /// Empty without a body.
  std::string Body;
};

struct AdminAnswer {
  int Status = 0;
  std::string Body;
};

/// Carries a call to a node. PeerUnreachable if it surely was not received,
/// OutcomeUnknown if the answer was lost.
using Transport = std::function<core::Result<AdminAnswer>(const AdminCall &)>;

/// Returns the JSON of a successful answer; a problem document becomes an error
/// of its kind.
core::Result<nlohmann::json> toJson(const AdminAnswer &answer);

/// Returns a transport over HTTP to \p address, "ip:port". InvalidArgument for
/// another address. Each call has a connection of its own, so that the library
/// never sends one twice.
core::Result<Transport> httpTransport(std::string_view address,
                                      std::string token);

} // namespace acaciaroad::ctl

#endif
