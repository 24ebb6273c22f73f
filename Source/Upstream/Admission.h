/// \file
/// The aggregate for admission control between a node and its upstream.

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

/// Hooks for the decisions on queued requests. A hook must not call the
/// Admission.
struct AdmissionHooks {
  std::function<void(Ticket)> OnStart;
  /// The answer for this error kind always states that the request wasn't run.
  std::function<void(Ticket, core::ErrorKind)> OnRefused;
};

/// Limits the orders in flight to one upstream by its slots, its connections,
/// an adaptive concurrency limit and, during a cold start, a ramp. Other
/// requests wait in a fair queue as long as they can still meet their deadline.
/// The caller serialises all calls.
class Admission {
public:
  /// There is no upstream until `setUpstream` is called. Fails with
  /// InvalidArgument if a hook is missing or a queue limit is 0.
  static core::Result<std::unique_ptr<Admission>> create(FairQueueLimits limits,
                                                         AdmissionHooks hooks);

  /// Applies an announcement of the upstream; one without slots or connections
  /// removes it. The cold start ramp restarts on the first announcement, a new
  /// boot id, a change to cold, a hard limit (slots and connections) above the
  /// verified one and, during a cold start, any other hard limit. An
  /// announcement never raises the limit above what was verified.
  void setUpstream(const UpstreamAnnouncement &upstream, core::TimePoint now);

  /// Handles an upstream that leaves or is lost: refuses all waiting requests.
  void removeUpstream(core::TimePoint now);

  /// Starts draining: refuses new requests, but still runs waiting ones.
  void beginDrain();

  /// Decides on a request. Reasons for refusal: NodeStopping, NoUpstream,
  /// DeadlineTooShort, QueueFull, and DuplicateRequest for a ticket in use.
  Decision offer(const Offer &offer, core::TimePoint now);

  /// Reports that an order ended. \p serviceTime is the time from sending the
  /// order to the end of the answer.
  void finished(Ticket id, Outcome outcome, core::Duration serviceTime,
                core::TimePoint now);

  /// Removes a waiting request without calling a hook for it. Returns false if
  /// it isn't waiting; an order in flight ends with `finished`.
  bool cancel(Ticket id, core::TimePoint now);

  /// Refuses the waiting requests of a slice that moves to another node.
  void refuseQueued(core::SliceIndex slice, core::ErrorKind reason);

  /// Returns the time at which `expire` must be called next, if any request
  /// waits.
  std::optional<core::TimePoint> nextDeadline() const;

  /// Refuses waiting requests that can no longer meet their deadline.
  void expire(core::TimePoint now);

  std::uint32_t inFlight() const;
  std::uint32_t queued() const;

  /// Returns the current concurrency limit.
  std::uint32_t limit() const;

  /// Returns whether the upstream is treated as being in its cold start.
  bool isCold() const;

  /// Returns whether \p slice has neither waiting requests nor orders in
  /// flight.
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
    /// Identifies the upstream process that the order was sent to.
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
  /// Number of slots that the ramp has verified for the current upstream
  /// process.
  std::uint32_t VerifiedSlots = 0;
  bool Draining = false;
};

} // namespace acaciaroad::upstream

#endif
