/// \file
/// Keys that other nodes ask the coordinator of their service to give on.

#ifndef ACACIAROAD_HOLDINGS_RELEASEINBOX_H
#define ACACIAROAD_HOLDINGS_RELEASEINBOX_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/KeyRelease.h"

namespace acaciaroad::holdings {

/// All that one node has released; replaces what it has told before.
struct ReleaseNotice {
  std::string Node;
  /// Of the node; another one may have granted the keys again.
  std::uint64_t Incarnation = 0;
  std::vector<ReleasedKeys> Keys;
};

/// Keeps the notices of a service's nodes for as long as they are repeated.
class ReleaseInbox {
public:
  void add(ReleaseNotice notice, core::TimePoint now);

  /// Returns the keys of \p service that, as far as the log tells, their sender
  /// still has under the same token and in the same incarnation.
  std::vector<ReleasedKeys> valid(const FleetLedger &ledger,
                                  std::string_view service,
                                  core::TimePoint now) const;

private:
  struct Entry {
    ReleaseNotice Notice;
    core::TimePoint At{};
  };
  std::map<std::string, Entry, std::less<>> Notices;
};

} // namespace acaciaroad::holdings

#endif
