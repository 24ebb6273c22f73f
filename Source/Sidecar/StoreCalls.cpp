#include "Sidecar/StoreCalls.h"

#include <iterator>

#include <fmt/format.h>

namespace acaciaroad::sidecar {

std::string_view toString(StoreCallCause cause) {
  switch (cause) {
  case StoreCallCause::Snapshot:
    return "snapshot";
  case StoreCallCause::Poll:
    return "poll";
  case StoreCallCause::ProposalRead:
    return "proposal_read";
  case StoreCallCause::RelaySilent:
    return "relay_silent";
  case StoreCallCause::RelayRefused:
    return "relay_refused";
  case StoreCallCause::RelayOutdated:
    return "relay_outdated";
  case StoreCallCause::NoRelay:
    return "no_relay";
  case StoreCallCause::Renewal:
    return "renewal";
  case StoreCallCause::StateChange:
    return "state_change";
  case StoreCallCause::ChangeAccepted:
    return "change_accepted";
  case StoreCallCause::ChangeRefused:
    return "change_refused";
  case StoreCallCause::RolloutStatus:
    return "rollout_status";
  }
  return "unknown";
}

std::string render(const StoreCallCounts &counts) {
  std::string out = "# TYPE acacia_store_calls_total counter\n";
  for (std::size_t n = 0; n < counts.size(); ++n)
    fmt::format_to(std::back_inserter(out),
                   "acacia_store_calls_total{{cause=\"{}\"}} {}\n",
                   toString(static_cast<StoreCallCause>(n)), counts[n]);
  return out;
}

} // namespace acaciaroad::sidecar
