/// \file
/// Notices of released keys that the coordinator of a service receives.

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

/// Released keys of one node; replaces its earlier notice that begins with the
/// same keys.
struct ReleaseNotice {
  std::string Node;
  /// Incarnation of the node. A later one may have granted the keys again.
  std::uint64_t Incarnation = 0;
  std::vector<ReleasedKeys> Keys;
};

/// Keeps the notices of each node, for as long as the node repeats them.
class ReleaseInbox {
public:
  void add(ReleaseNotice notice, core::TimePoint now);

  /// Returns the released keys of \p service that, according to the log, their
  /// sender still has in the same incarnation and with the same token.
  std::vector<ReleasedKeys> valid(const FleetLedger &ledger,
                                  std::string_view service,
                                  core::TimePoint now) const;

private:
  struct Entry {
    ReleaseNotice Notice;
    core::TimePoint At{};
  };
  /// By node and first key.
  std::map<std::pair<std::string, Key>, Entry> Notices;
};

} // namespace acaciaroad::holdings

#endif
