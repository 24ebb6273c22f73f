/// \file
/// Whether a request goes to the new version of a service.

#ifndef ACACIAROAD_ROLLOUTS_VERSIONCHOICE_H
#define ACACIAROAD_ROLLOUTS_VERSIONCHOICE_H

#include <cstddef>

namespace acaciaroad::rollouts {

/// Gives a share of the requests of one node to the new version, never more
/// than one request beyond it. Load pattern: a few requests a second on each of
/// many nodes, whose sum must keep the share.
class VersionChoice {
public:
  /// \p start in [0, 1) is different on each node, so that nodes with few
  /// requests don't all round the same way.
  explicit VersionChoice(double start) : Credit(start) {}

  /// Returns whether the next request goes to the new version.
  bool takesNext(double share) {
    Credit += share;
    if (Credit < 1)
      return false;
    Credit -= 1;
    return true;
  }

private:
  double Credit;
};

} // namespace acaciaroad::rollouts

#endif
