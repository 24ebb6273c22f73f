/// \file
/// One node: its threads, and how its modules are joined.

#ifndef ACACIAROAD_NODE_NODE_H
#define ACACIAROAD_NODE_NODE_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "Administration/AdministrationHooks.h"
#include "Administration/AdministrationServer.h"
#include "Administration/TotalsCollector.h"
#include "Core/Error.h"
#include "Http/CallerServer.h"
#include "Logging/Logger.h"
#include "Node/AdmissionGate.h"
#include "Node/ControlState.h"
#include "Node/ControlThread.h"
#include "Node/CreditGate.h"
#include "Node/DecisionLog.h"
#include "Node/EntryService.h"
#include "Node/IdempotencyGate.h"
#include "Node/OffsetBoard.h"
#include "Node/OrderService.h"
#include "Node/TrafficState.h"
#include "Node/UpstreamLink.h"
#include "Node/UpstreamMonitor.h"
#include "Node/ViewWaiter.h"
#include "Platform/LogFollower.h"
#include "Platform/LogWriter.h"
#include "Settings/NodeSettings.h"
#include "Wire/PeerEndpoint.h"

namespace acaciaroad::node {

/// Why a node ended.
enum class ExitReason : std::uint8_t {
  /// It was told to stop, and handed everything over.
  Stopped,
  /// The fleet has retired this incarnation; the process has to start anew.
  Retired,
  /// Records that this node needs are past the log's retention, so that it
  /// cannot know who owns what.
  LogGap,
};

/// The process's root object.
class Node {
public:
  /// Binds all addresses and starts all threads, but takes no caller before the
  /// log was read. Errors: InvalidSettings.
  static core::Result<std::shared_ptr<Node>>
  create(const settings::NodeSettings &settings);

  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Serves until requestStop() or until the fleet retires this incarnation,
  /// then hands over, finishes what runs and returns.
  ExitReason run();

  /// Callable from any thread.
  void requestStop();

private:
  /// Longest wait for the fleet to accept that this instance leaves.
  static constexpr std::chrono::seconds LeaveTimeout{20};
  /// Longest wait for the log to take the last totals.
  static constexpr std::chrono::seconds FlushTimeout{5};

  explicit Node(const settings::NodeSettings &settings);

  core::Result<void> start();
  core::Result<void> startLogger();
  core::Result<void> startPeers();
  core::Result<void> startGates();
  core::Result<void> startControl();
  core::Result<void> startLog();
  core::Result<void> startAdministration();
  core::Result<void> startCallers();
  void makeServices();

  ControlStateHooks controlHooks();
  core::TimePoint onTick(core::TimePoint now);
  void onUpstreamState(UpstreamMonitor::State state);
  void publish(std::shared_ptr<const NodeView> view);
  void releaseSlices(std::span<const core::SliceId> slices);
  void deliverToTraffic(const codec::ControlBody &body);
  void onControlMessage(const wire::PeerMessageView &message);
  void onBatch(const platform::LogBatch &batch);
  void append(const codec::LogEntry &entry, std::function<void()> onFailed);
  void sendControl(std::string_view address, const codec::PeerControl &message);
  void sendToAccountOwner(const std::string &account, codec::ControlBody body);
  void sendToInstance(core::InstanceId to, codec::ControlBody body);
  void cutTotals(core::TimePoint now);
  /// Appends the totals since the last record.
  void appendTotals(const platform::AppendHandler &onDone);
  /// Appends the totals of the running interval and waits for the outcome.
  void flushTotals();
  core::Result<core::Offset> submit(const codec::LogEntry &entry);

  administration::AdministrationHooks administrationHooks();
  administration::FleetStatus status();
  core::Result<administration::OwnerReport> findOwner(std::string_view service,
                                                      std::string_view key);
  administration::InForceReport inForce(core::Offset offset,
                                        std::chrono::milliseconds wait);
  core::Result<administration::DayTotals>
  totals(const administration::DayRange &range);
  core::Result<void>
  announced(const upstream::UpstreamAnnouncement &announcement);
  std::string metrics() const;

  void awaitStart();
  void leave();

  const settings::NodeSettings Settings;
  const core::InstanceId Self;
  std::shared_ptr<logging::Logger> Logger;
  std::shared_ptr<DecisionLog> Decisions;
  const std::shared_ptr<PublishedView> View;
  const std::shared_ptr<ViewWaiter> ViewChanges;
  const std::shared_ptr<TrafficState> Traffic;
  OffsetBoard Offsets;
  administration::TotalsCollector Totals;
  core::TimePoint NextTotals;

  std::shared_ptr<ControlThread> Control;
  std::unique_ptr<ControlState> State;
  UpstreamMonitor Monitor;
  UpstreamMonitor::State UpstreamState = UpstreamMonitor::State::Unknown;

  std::shared_ptr<platform::LogClient> Log;
  std::shared_ptr<platform::LogWriter> Writer;
  std::shared_ptr<platform::LogFollower> Follower;
  std::atomic<bool> IsLogReachable{false};
  std::atomic<bool> HasLogGap{false};
  std::atomic<std::uint64_t> CorruptEntries{0};
  std::atomic<std::uint64_t> CorruptMessages{0};

  std::shared_ptr<wire::PeerEndpoint> Peers;
  std::shared_ptr<CreditGate> Credit;
  std::shared_ptr<AdmissionGate> Admission;
  std::shared_ptr<IdempotencyGate> Idempotency;
  UpstreamLink Upstream;
  std::unique_ptr<OrderService> Orders;
  std::unique_ptr<EntryService> Entries;
  std::unique_ptr<http::CallerServer> Callers;
  std::unique_ptr<administration::AdministrationServer> Administration;

  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsStopWanted = false;
  bool IsCurrent = false;
  bool HasLeft = false;
};

} // namespace acaciaroad::node

#endif
