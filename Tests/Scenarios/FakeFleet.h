/// \file
/// Simulated fleet: real ownership agents with a fake log, fake network links
/// and fake upstreams, driven by a virtual clock.

#ifndef ACACIAROAD_SCENARIOS_FAKEFLEET_H
#define ACACIAROAD_SCENARIOS_FAKEFLEET_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Ownership/OwnershipAgent.h"
#include "Scenarios/FakeUpstreams.h"
#include "Scenarios/VirtualClock.h"

namespace acaciaroad::scenarios {

/// The only service whose keys these tests request.
inline constexpr char Service[] = "catalogue";

/// Name of the log in cut() and heal().
inline constexpr char LogName[] = "log";

struct FleetOptions {
  std::uint64_t Seed = 1;
  std::uint32_t SliceCount = 6;
  /// Interval between generated requests; 0 disables them.
  Duration RequestInterval = std::chrono::milliseconds(20);
  /// One in this many requests is delayed between the ownership check and the
  /// send; 0 disables the delay.
  unsigned PauseBeforeSendOneIn = 0;
  ownership::AgentOptions Agent;
};

/// A simulated process and its local upstream.
struct FakeNode {
  std::string Name;
  std::string DataCentre;
  core::InstanceId Id;
  std::unique_ptr<ownership::OwnershipAgent> Agent;
  bool IsRunning = false;
  /// Whether the upstream rejects requests whose grant has expired and aborts
  /// running ones at the expiry.
  bool HonoursDeadlines = true;
  Duration PausedUntil{0};
  Duration KilledAt{0};
  /// The node's monotonic clock is simulated time plus this offset, with a
  /// drift of DriftPpm parts per million.
  Duration ClockOffset{0};
  std::int64_t DriftPpm = 0;
  std::size_t ReadPosition = 0;
  std::uint64_t TickToken = 0;
  std::optional<ownership::Grant> HeldGrant;
  /// Requests that passed the ownership check but were not sent yet, by key.
  std::map<std::uint64_t, unsigned> Admitted;
};

class FakeFleet {
public:
  explicit FakeFleet(FleetOptions options);

  void addNode(const std::string &name, const std::string &dataCentre);

  // Faults and operator actions.
  void start(const std::string &name);
  void kill(const std::string &name);
  void pause(const std::string &name, Duration length);
  /// Drops messages from \p from to \p to; either may be the log.
  void cut(const std::string &from, const std::string &to);
  void heal() { Cuts.clear(); }
  void heal(const std::string &from, const std::string &to);
  void leave(const std::string &name);
  void setLog(bool isUp, Duration delay);
  /// Appends a record as an operator does; succeeds even while the log is down.
  void append(const ownership::OwnershipRecord &record);

  void runUntil(Duration time) { Clock.runUntil(time); }
  Duration now() const { return Clock.now(); }

  // The fleet as the traffic threads see it.
  core::Result<ownership::Grant> mayServe(const std::string &name,
                                          std::uint64_t key);
  /// Returns the nodes that may serve \p key now.
  std::vector<std::string> servers(std::uint64_t key);
  /// Sends a request of duration \p length to the upstream of \p name under
  /// \p grant. Returns whether the upstream accepted it.
  bool send(const std::string &name, std::uint64_t key,
            const ownership::Grant &grant, Duration length);

  FakeNode &node(const std::string &name);
  std::deque<FakeNode> &nodes() { return Nodes; }
  /// Returns the map that results from all records committed so far.
  const ownership::FleetMap &committedMap() const { return CommittedMap; }

  /// Returns the first invariant violation, or an empty string.
  const std::string &violation() const { return Violation; }
  /// Returns the first invariant violation and clears it.
  std::string takeViolation() { return std::exchange(Violation, {}); }
  std::uint64_t servedCount() const { return Served; }
  std::mt19937_64 &random() { return Random; }
  /// Returns a number in [0, bound).
  std::uint64_t pick(std::uint64_t bound) { return Random() % bound; }

private:
  core::TimePoint timeOf(const FakeNode &node) const;
  Duration trueTimeOf(const FakeNode &node, core::TimePoint time) const;
  void deliver(FakeNode &node, core::InstanceId incarnation, Duration delay,
               std::function<void(core::TimePoint)> input);
  void run(FakeNode &node, core::InstanceId incarnation,
           const std::function<void(core::TimePoint)> &input);
  void scheduleTick(FakeNode &node);
  void sendMessage(FakeNode &from, core::InstanceId to,
                   const ownership::ControlMessage &message);
  void appendFrom(FakeNode &from, const ownership::OwnershipRecord &record);
  void commitRecord(const ownership::OwnershipRecord &record);
  void readLog(FakeNode &node, core::TimePoint now);
  void poll(FakeNode &node, core::InstanceId incarnation);
  void reportIdle(FakeNode &node, core::TimePoint now);
  void generateRequest();
  void checkIsolation(const FakeNode &node);
  bool isCut(const std::string &from, const std::string &to) const {
    return Cuts.contains({from, to});
  }
  Duration delay(unsigned maxMilliseconds);
  void fail(std::string what);

  FleetOptions Options;
  std::mt19937_64 Random;
  VirtualClock Clock;
  /// Nodes are never removed, because scheduled events hold references to them.
  std::deque<FakeNode> Nodes;
  std::vector<ownership::OwnershipRecord> Log;
  ownership::FleetMap CommittedMap;
  bool IsLogUp = true;
  Duration LogDelay{0};
  std::set<std::pair<std::string, std::string>> Cuts;
  FakeUpstreams Upstreams;
  std::string Violation;
  std::uint64_t Served = 0;
};

/// Returns the keys of the generated requests.
std::span<const std::uint64_t> keys();

} // namespace acaciaroad::scenarios

#endif
