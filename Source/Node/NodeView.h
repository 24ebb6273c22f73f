/// \file
/// What traffic threads read of the control state.

#ifndef ACACIAROAD_NODE_NODEVIEW_H
#define ACACIAROAD_NODE_NODEVIEW_H

#include <atomic>
#include <memory>

#include "Configuration/Catalogue.h"
#include "Core/Identifiers.h"
#include "Ownership/OwnershipView.h"

namespace acaciaroad::node {

/// An immutable state of configuration and ownership.
struct NodeView {
  std::shared_ptr<const configuration::Catalogue> Configuration;
  std::shared_ptr<const ownership::OwnershipView> Ownership;
  /// First offset of the log that is not folded in.
  core::Offset NextOffset = 0;
};

/// The latest view. The control thread replaces it, traffic threads take a
/// share of it for as long as they work on one request.
using PublishedView = std::atomic<std::shared_ptr<const NodeView>>;

} // namespace acaciaroad::node

#endif
