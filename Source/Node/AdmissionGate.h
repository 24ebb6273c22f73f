/// \file
/// Lets traffic threads wait for their turn at the upstream.

#ifndef ACACIAROAD_NODE_ADMISSIONGATE_H
#define ACACIAROAD_NODE_ADMISSIONGATE_H

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Upstream/Admission.h"

namespace acaciaroad::node {

class AdmissionGate;

/// The right to send one order. Its destruction without `finish` counts the
/// order as failed.
class Permit {
public:
  Permit(std::shared_ptr<AdmissionGate> gate, upstream::Ticket ticket);
  Permit(Permit &&other) noexcept;
  Permit(const Permit &) = delete;
  Permit &operator=(const Permit &) = delete;
  Permit &operator=(Permit &&) = delete;
  ~Permit();

  /// Tells how the order ended and how long the upstream took.
  void finish(upstream::Outcome outcome, core::Duration serviceTime);

private:
  std::shared_ptr<AdmissionGate> Gate;
  upstream::Ticket Ticket;
};

/// What a request that wants a permit tells.
struct PermitRequest {
  std::string Account;
  std::string WorkClass;
  core::TimePoint Deadline{};
  std::optional<core::SliceIndex> Slice;
};

/// What the gate tells the node.
struct AdmissionGateHooks {
  /// No request of the slices waits or runs any more.
  std::function<void(std::span<const core::SliceIndex>)> OnSlicesIdle;
  core::NowFunction Now;
};

/// Serialises the calls of an upstream::Admission. Traffic threads block in
/// `acquire` on a condition variable.
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
public:
  /// Fails as upstream::Admission::create does.
  static core::Result<std::shared_ptr<AdmissionGate>>
  create(const upstream::FairQueueLimits &limits, AdmissionGateHooks hooks);

  /// Waits until the order may be sent. Errors: those of
  /// upstream::Admission::offer; all mean "not run".
  core::Result<Permit> acquire(const PermitRequest &request);

  void announced(const upstream::UpstreamAnnouncement &upstream);
  void left();
  void beginDrain();

  /// Refuses what waits for slices that move away, and reports each slice idle
  /// as soon as nothing of it runs; those idle at once in one call, since each
  /// call becomes a record of the log.
  void releaseSlices(std::span<const core::SliceIndex> slices);

  std::optional<upstream::UpstreamAnnouncement> upstream() const;
  upstream::LoadReport loadReport() const;
  bool isCold() const;

private:
  friend class Permit;

  /// One waiting request, on the stack of its thread.
  struct Waiter {
    std::condition_variable Wakeup;
    bool IsDone = false;
    std::optional<core::ErrorKind> Refusal;
  };

  explicit AdmissionGate(AdmissionGateHooks hooks);
  core::Result<void> await(upstream::Ticket ticket,
                           std::unique_lock<std::mutex> &lock);
  void conclude(upstream::Ticket ticket,
                std::optional<core::ErrorKind> refusal);
  void finish(upstream::Ticket ticket, upstream::Outcome outcome,
              core::Duration serviceTime);
  std::vector<core::SliceIndex> takeIdleSlices();

  const AdmissionGateHooks Hooks;
  mutable std::mutex Mutex;
  std::unique_ptr<upstream::Admission> Decisions;
  std::unordered_map<upstream::Ticket, Waiter *> Waiters;
  /// Slices that move away and still have requests.
  std::vector<core::SliceIndex> Releasing;
  upstream::Ticket LastTicket = 0;
};

} // namespace acaciaroad::node

#endif
