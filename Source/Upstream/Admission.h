/// \file
/// The aggregate that decides which requests one node gives to its upstream.

#ifndef ACACIAROAD_UPSTREAM_ADMISSION_H
#define ACACIAROAD_UPSTREAM_ADMISSION_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Upstream/ColdStartDetector.h"
#include "Upstream/ColdStartRamp.h"
#include "Upstream/ConcurrencyLimit.h"
#include "Upstream/FairQueue.h"
#include "Upstream/LatencyBaseline.h"
#include "Upstream/Offer.h"
#include "Upstream/SliceCounts.h"
#include "Upstream/UpstreamAnnouncement.h"

namespace acaciaroad::upstream {

/// What the owner of an Admission does for queued requests. A hook must not
/// call the Admission.
struct AdmissionHooks {
  std::function<void(Ticket)> OnStart;
  /// The kind's answer always says "not run".
  std::function<void(Ticket, core::ErrorKind)> OnRefused;
};

/// Keeps the orders of one upstream within its slots, its connections, an
/// adaptive limit and the ramp of a cold start; lets other requests wait in a
/// fair queue for as long as they can still finish in time. The caller
/// serialises all calls.
class Admission {
public:
  /// Without an upstream until `setUpstream`. Fails with InvalidArgument if a
  /// hook is missing or a queue bound is 0.
  static core::Result<std::unique_ptr<Admission>> create(FairQueueLimits limits,
                                                         AdmissionHooks hooks);

  /// The upstream described itself. A new boot id, a first announcement and a
  /// turn to "cold" start the ramp; nothing in it raises the limit.
  void setUpstream(const UpstreamAnnouncement &upstream, core::TimePoint now);

  /// The upstream leaves or is lost: refuses all that waits.
  void removeUpstream(core::TimePoint now);

  /// The node shuts down: refuses new requests, lets waiting ones run.
  void beginDrain();

  /// Decides on a request. Refusals: NodeStopping, NoUpstream,
  /// DeadlineTooShort, QueueFull; DuplicateRequest for a ticket in use.
  Decision offer(const Offer &offer, core::TimePoint now);

  /// An order ended. \p serviceTime runs from sending to the end of the answer.
  void finished(Ticket id, Outcome outcome, core::Duration serviceTime,
                core::TimePoint now);

  /// Takes a waiting request out, without a call of a hook. Returns false for
  /// an order in flight, which ends with `finished`.
  bool cancel(Ticket id, core::TimePoint now);

  /// Refuses the waiting requests of a slice that moves away.
  void refuseQueued(core::SliceIndex slice, core::ErrorKind reason);

  /// Returns when `expire` has something to do next.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Refuses what can no longer finish in time.
  void expire(core::TimePoint now);

  std::uint32_t inFlight() const;
  std::uint32_t queued() const;

  /// Returns the orders that may be in flight now.
  std::uint32_t limit() const;

  /// Returns whether the upstream counts as being in its cold start.
  bool isCold() const;

  /// Returns whether no request of \p slice waits or is in flight.
  bool isIdle(core::SliceIndex slice) const;

  const std::optional<UpstreamAnnouncement> &upstream() const;
  LoadReport loadReport() const;

private:
  struct ClassState {
    LatencyBaseline Latency;
    std::uint32_t InFlight = 0;
  };
  struct Request {
    std::string Account;
    ClassIndex Class = 0;
    std::optional<core::SliceIndex> Slice;
    bool Started = false;
    /// Start of the upstream's process that the order went to.
    std::uint64_t Generation = 0;
    core::Duration Cost{};
  };

  explicit Admission(AdmissionHooks hooks);
  ClassIndex classOf(std::string_view name);
  core::Duration requiredServiceTime(ClassIndex workClass) const;
  bool canFinish(const Offer &offer, ClassIndex workClass,
                 core::TimePoint now) const;
  Decision enqueue(const Offer &offer, ClassIndex workClass);
  Request &addRequest(const Offer &offer, ClassIndex workClass);
  void forget(Ticket id);
  void markStarted(Request &request);
  void refuse(Ticket id, core::ErrorKind reason);
  void startQueued(core::TimePoint now);
  void recordOutcome(const Request &request, Outcome outcome,
                     core::Duration serviceTime, core::TimePoint now);
  void recordAnswer(ClassState &state, core::Duration serviceTime,
                    core::TimePoint now);
  void enterColdStart(core::TimePoint now);
  void completeColdStart();
  std::uint32_t hardLimit() const;

  AdmissionHooks Hooks;
  std::optional<FairQueue> Queue;
  std::optional<UpstreamAnnouncement> Upstream;
  std::optional<ConcurrencyLimit> AdaptiveLimit;
  std::optional<ColdStartRamp> Ramp;
  ColdStartDetector Detector;
  std::map<std::string, ClassIndex, std::less<>> ClassNames;
  std::vector<ClassState> Classes;
  std::unordered_map<Ticket, Request> Requests;
  SliceCounts Slices;
  LatencyBaseline OverallLatency;
  std::uint32_t InFlight = 0;
  std::uint64_t Generation = 0;
  /// Slots up to which the present process was observed to be warm.
  std::uint32_t VerifiedSlots = 0;
  bool Draining = false;
};

} // namespace acaciaroad::upstream

#endif
