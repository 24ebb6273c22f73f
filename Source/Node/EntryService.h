/// \file
/// Takes callers' requests at any node and has them served.

#ifndef ACACIAROAD_NODE_ENTRYSERVICE_H
#define ACACIAROAD_NODE_ENTRYSERVICE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Node/Caller.h"
#include "Node/CreditGate.h"
#include "Node/DecisionLog.h"
#include "Node/NodeView.h"
#include "Node/TrafficState.h"
#include "Node/ViewWaiter.h"
#include "Wire/ForwardCall.h"

namespace acaciaroad::node {

/// How one request ended, for the day's totals.
struct RequestSummary {
  std::string Account;
  std::string WorkClass;
  /// Nothing for an answer of the upstream.
  std::optional<core::ErrorKind> Refusal;
  core::Duration Latency{};
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

/// Opens a call to the node at an address; see wire::PeerEndpoint::open.
using OpenCall = std::function<core::Result<std::shared_ptr<wire::ForwardCall>>(
    std::string_view address, wire::ForwardHead head,
    std::span<const std::byte> body, bool complete)>;

/// What an EntryService works with.
struct EntryServiceParts {
  std::shared_ptr<const PublishedView> View;
  std::shared_ptr<ViewWaiter> ViewChanges;
  std::shared_ptr<CreditGate> Credit;
  std::shared_ptr<TrafficState> Traffic;
  std::shared_ptr<DecisionLog> Decisions;
  OpenCall Open;
  std::function<void(const RequestSummary &)> OnEnded;
  core::NowFunction Now;
};

/// Serves callers on traffic threads.
class EntryService {
public:
  explicit EntryService(EntryServiceParts parts) : Parts(std::move(parts)) {}

  /// Serves one request; the caller has an answer or a refusal afterwards.
  void handle(const Caller &caller);

private:
  core::Result<AcceptedRequest> accept(const Caller &caller,
                                       const std::string &requestId);
  void refuse(const Caller &caller, const wire::ForwardHead &head,
              const core::Error &error);

  const EntryServiceParts Parts;
};

} // namespace acaciaroad::node

#endif
