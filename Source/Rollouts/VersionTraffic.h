/// \file
/// One node's division of requests between versions, and its counts.

#ifndef ACACIAROAD_ROLLOUTS_VERSIONTRAFFIC_H
#define ACACIAROAD_ROLLOUTS_VERSIONTRAFFIC_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Rollouts/RolloutTypes.h"
#include "Rollouts/VersionChoice.h"

namespace acaciaroad::rollouts {

/// How a service's requests are divided between the versions of a roll-out that
/// has not ended.
struct VersionShare {
  std::string Version;
  /// Part of the requests that goes to the version.
  double Share = 0;
  /// The share is 0 from then on.
  core::TimePoint Until{};
  /// The version is taken: further attempts go to it too.
  bool IsTaken = false;
  /// Nodes whose instances of the version may be used, sorted.
  std::vector<std::string> Nodes;

  double shareAt(core::TimePoint now) const { return now < Until ? Share : 0; }
  bool operator==(const VersionShare &) const = default;
};

/// Chooses the version for each request and counts the answers of both.
class VersionTraffic {
public:
  /// Returns numbers in [0, 1).
  using StartFunction = std::function<double()>;

  explicit VersionTraffic(StartFunction start) : Start(std::move(start)) {}

  /// Sets the share of \p service, or nullopt if no roll-out runs. Counts go on
  /// while the version stays the same.
  void setShare(std::string_view service, std::optional<VersionShare> share);

  /// Returns the share of \p service, or null if no roll-out runs.
  const VersionShare *find(std::string_view service) const;

  /// Returns whether the next request to \p service goes to the new version.
  bool takesNext(std::string_view service, core::TimePoint now);

  /// Counts the first answer to a request. Further attempts are not alike: they
  /// follow a failure.
  void answered(std::string_view service, std::string_view route, bool isNext,
                bool isFailure, core::Duration latency);

  /// Returns the counts of each service with a roll-out, without node and age.
  std::vector<CountReport> reports() const;

private:
  struct ServiceTraffic {
    VersionShare Share;
    VersionChoice Choice;
    std::map<std::string, RouteCounts, std::less<>> Routes;
  };

  StartFunction Start;
  std::map<std::string, ServiceTraffic, std::less<>> Services;
};

} // namespace acaciaroad::rollouts

#endif
