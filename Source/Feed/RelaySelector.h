/// \file
/// Selection of the nodes that read the logs for others.

#ifndef ACACIAROAD_FEED_RELAYSELECTOR_H
#define ACACIAROAD_FEED_RELAYSELECTOR_H

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"

namespace acaciaroad::feed {

/// A live node, which may read the logs for others.
struct RelayCandidate {
  std::string_view Name;
  std::string_view DataCentre;
  std::string_view Host;
};

/// Selects the nodes that read the logs directly, the same ones on all nodes
/// that know the same fleet. Their number is in proportion to the fleet, so
/// that a reader serves the same number of nodes in any fleet, and they are
/// spread evenly over the data centres.
///
/// Selects also the reader that serves one node: one of its own data centre if
/// possible. A reader that failed is passed over for some seconds, and the next
/// one serves the node, so that the nodes of a lost reader don't all turn to
/// the platform.
class RelaySelector {
public:
  RelaySelector(std::string name, std::string dataCentre)
      : Name(std::move(name)), DataCentre(std::move(dataCentre)) {}

  /// Sets the live nodes. Returns whether the readers of this node changed.
  bool update(std::span<const RelayCandidate> candidates);

  /// Returns whether this node reads the logs directly.
  bool isReader() const { return Hosts.empty(); }

  /// Returns the host to read from; nullopt if this node reads the logs
  /// directly or all its readers have failed.
  std::optional<std::string> select(core::TimePoint now) const;

  /// Called when a read from \p host failed.
  void failed(std::string_view host, core::TimePoint now);

private:
  struct Host {
    std::string Address;
    /// The host is passed over until then.
    core::TimePoint RetryAt{};
  };

  std::string Name;
  std::string DataCentre;
  /// Hosts of the readers, the preferred one first; empty if this node is one.
  std::vector<Host> Hosts;
  bool IsUpdated = false;
};

} // namespace acaciaroad::feed

#endif
