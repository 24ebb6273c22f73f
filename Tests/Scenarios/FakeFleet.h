/// \file
/// A handful of real ownership agents between fakes of the log, the links and
/// the upstreams, on a virtual clock.

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

/// The one service with keys in these tests.
inline constexpr char Service[] = "catalogue";

/// Name under which a cut names the log.
inline constexpr char LogName[] = "log";

struct FleetOptions {
  std::uint64_t Seed = 1;
  std::uint32_t SliceCount = 6;
  /// Interval between requests for the keys; 0 for none.
  Duration RequestInterval = std::chrono::milliseconds(20);
  /// One in so many dispatches pauses between check and send; 0 for none.
  unsigned PauseBeforeSendOneIn = 0;
  ownership::AgentOptions Agent;
};

/// One process and the upstream beside it.
struct FakeNode {
  std::string Name;
  std::string DataCentre;
  core::InstanceId Id;
  std::unique_ptr<ownership::OwnershipAgent> Agent;
  bool IsRunning = false;
  /// Whether the upstream refuses orders past their deadline.
  bool HonoursDeadlines = true;
  Duration PausedUntil{0};
  Duration KilledAt{0};
  /// Boot clock: offset plus true time, off by some millionths.
  Duration ClockOffset{0};
  std::int64_t DriftPpm = 0;
  std::size_t ReadPosition = 0;
  std::uint64_t TickToken = 0;
  std::optional<ownership::Grant> HeldGrant;
  /// Requests between check and send, by key.
  std::map<std::uint64_t, unsigned> Admitted;
};

class FakeFleet {
public:
  explicit FakeFleet(FleetOptions options);

  void addNode(const std::string &name, const std::string &dataCentre);

  // Faults and operators' acts.
  void start(const std::string &name);
  void kill(const std::string &name);
  void pause(const std::string &name, Duration length);
  /// Cuts messages from \p from to \p to; either may be the log.
  void cut(const std::string &from, const std::string &to);
  void heal() { Cuts.clear(); }
  void heal(const std::string &from, const std::string &to);
  void leave(const std::string &name);
  void setLog(bool isUp, Duration delay);
  /// Appends as an operator, whatever the state of the log.
  void append(const ownership::OwnershipRecord &record);

  void runUntil(Duration time) { Clock.runUntil(time); }
  Duration now() const { return Clock.now(); }

  // What traffic sees.
  core::Result<ownership::Grant> mayServe(const std::string &name,
                                          std::uint64_t key);
  /// Returns the nodes that may serve \p key now.
  std::vector<std::string> servers(std::uint64_t key);
  /// Sends an order under \p grant. Returns whether the upstream ran it.
  bool send(const std::string &name, std::uint64_t key,
            const ownership::Grant &grant, Duration length);

  FakeNode &node(const std::string &name);
  std::deque<FakeNode> &nodes() { return Nodes; }
  /// Returns the fold of all records, as the log stands.
  const ownership::FleetMap &committedMap() const { return CommittedMap; }

  /// Returns the first broken invariant, or an empty string.
  const std::string &violation() const { return Violation; }
  /// Returns it, and forgets it.
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
  /// Nodes are never removed: events hold references.
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

/// Returns the keys that requests ask for.
std::span<const std::uint64_t> keys();

} // namespace acaciaroad::scenarios

#endif
