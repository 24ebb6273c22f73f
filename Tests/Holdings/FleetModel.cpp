#include "Holdings/FleetModel.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace acaciaroad::tests {

using namespace acaciaroad::holdings;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string ServiceName = "questionnaires";
constexpr core::Duration Step = milliseconds(10);
constexpr core::Duration HeartbeatInterval = milliseconds(870);
constexpr core::Duration LongestGrant = seconds(10);
constexpr core::Duration TickInterval = milliseconds(50);
constexpr core::Duration ReadInterval = milliseconds(600);
/// Longest time that another node holds a renewal before it appends it.
constexpr std::uint64_t MaxRenewalDelayMs = 1000;
/// Longest time from a renewal to the next round.
constexpr std::uint64_t MaxRenewalRoundMs = 2300;

/// Longest time whose records a restored log lacks.
constexpr std::uint64_t MaxLostMs = 6000;
/// Longest time for which the log is away before it is restored.
constexpr std::uint64_t MaxAwayMs = 2000;
/// Longest time between two restorations of a series.
constexpr std::uint64_t MaxSeriesGapMs = 4000;

/// Record of the log: of a node, of a part of the holdings, or a claim.
struct LogRecord {
  std::optional<NodeRecord> Node;
  std::optional<HoldingPart> Part;
  std::optional<HoldingClaim> Claim;
  /// Era that holdings or a claim were written for.
  core::LogEra Era = 0;
  core::TimePoint AppendedAt{};

  std::string key() const {
    if (Node)
      return Node->Name;
    const std::string prefix = std::to_string(Era) + "/";
    return Part ? prefix + std::to_string(Part->Number)
                : prefix + "claim/" + Claim->Node;
  }
};

/// Calls functions at given times of the virtual clock.
class Schedule {
public:
  void at(core::TimePoint when, std::function<void()> what) {
    Events.emplace(when, std::move(what));
  }
  void runUntil(core::TimePoint now) {
    while (!Events.empty() && Events.begin()->first <= now) {
      auto what = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      what();
    }
  }

private:
  std::multimap<core::TimePoint, std::function<void()>> Events;
};

struct HeldRow {
  Holding Row;
  core::TimePoint Until{};
};

struct ModelUpstream {
  UpstreamProcess Process;
  bool IsUp = true;
  std::uint64_t Sequence = 0;
  core::TimePoint NextHeartbeat{};
  core::TimePoint RestartAt{};
  std::vector<HeldRow> Held;
  std::vector<FreedKeys> Freed;
};

struct ModelNode {
  std::string Name;
  bool IsUp = true;
  bool IsPartitioned = false;
  core::TimePoint FrozenUntil{};
  core::TimePoint RestartAt{};
  core::TimePoint PartitionEndsAt{};
  std::uint64_t Incarnation = 0;
  std::unique_ptr<HoldingAgent> Agent;
  FleetLedger Ledger;
  std::size_t Position = 0;
  bool HasReadLog = false;
  /// The next read is one of a snapshot.
  bool IsSnapshotDue = true;
  /// Latest era of an answer of the log.
  core::LogEra Era = 0;
  /// Replaces the agent's claim if a rule is broken.
  std::optional<HoldingClaim> ForcedClaim;
  bool IsReading = false;
  bool IsAppending = false;
  core::TimePoint NextRead{};
  core::TimePoint NextTick{};
  ModelUpstream Upstream;
};

class FleetModel {
public:
  explicit FleetModel(const ModelOptions &options)
      : Options(options), Rng(options.Seed) {
    for (int n = 0; n < Options.Nodes; ++n) {
      auto node = std::make_unique<ModelNode>();
      node->Name = "node-" + std::to_string(n);
      node->Upstream.Process = {"upstream-" + std::to_string(n), 1};
      node->Upstream.NextHeartbeat = Now + randomDelay(870);
      startNode(*node);
      Nodes.push_back(std::move(node));
    }
  }

  ModelResult run() {
    const core::TimePoint end = Now + Options.Length;
    int samples = 0;
    int held = 0;
    while (Now < end && Out.Violation.empty()) {
      Now += Step;
      if (Options.HasFaults)
        injectFaults();
      if (Options.HasRestorations)
        injectRestorations();
      Events.runUntil(Now);
      for (const auto &it : Nodes) {
        stepUpstream(*it);
        stepNode(*it);
      }
      checkOwners();
      if (Now.time_since_epoch() > seconds(6)) {
        ++samples;
        held += isHeld(static_cast<Key>(Rng.below(KeyCount))) ? 1 : 0;
      }
    }
    Out.HeldFraction = samples == 0 ? 0 : static_cast<double>(held) / samples;
    return Out;
  }

private:
  core::Duration randomDelay(std::uint64_t ms) {
    return milliseconds(static_cast<std::int64_t>(Rng.below(ms)));
  }

  core::Duration delay() {
    // Usually 4 to 12 ms; in 5% of the calls up to 500 ms, which the platform's
    // log can take.
    return Rng.chance(0.05) ? randomDelay(500)
                            : milliseconds(4) + randomDelay(8);
  }

  void startNode(ModelNode &node) {
    node.IsUp = true;
    node.Incarnation = Rng.next();
    node.Agent = std::make_unique<HoldingAgent>(
        AgentIdentity{
            node.Name, "here", ServiceName, {"127.0.0.1", 1}, node.Incarnation},
        AgentTiming{HeartbeatInterval, LongestGrant}, Now);
    node.Ledger = FleetLedger();
    node.Position = 0;
    node.HasReadLog = false;
    node.IsSnapshotDue = true;
    node.Era = 0;
    node.ForcedClaim.reset();
    node.IsReading = false;
    node.IsAppending = false;
    node.NextRead = Now;
    node.NextTick = Now;
  }

  bool isRunning(const ModelNode &node, std::uint64_t incarnation) const {
    return node.IsUp && node.Incarnation == incarnation;
  }

  void injectFaults() {
    for (const auto &it : Nodes) {
      ModelNode &node = *it;
      if (!node.IsUp && Now >= node.RestartAt)
        startNode(node);
      if (node.IsPartitioned && Now >= node.PartitionEndsAt)
        node.IsPartitioned = false;
      // About one fault of each kind per node in 20 s.
      if (node.IsUp && Rng.chance(0.0004)) {
        node.IsUp = false;
        node.RestartAt = Now + randomDelay(4000);
      }
      if (Rng.chance(0.0004))
        node.FrozenUntil = Now + randomDelay(9000);
      if (Rng.chance(0.0004)) {
        node.IsPartitioned = true;
        node.PartitionEndsAt = Now + randomDelay(12000);
      }
      if (node.IsUp && Rng.chance(0.01))
        randomizeLoad(node);
      ModelUpstream &upstream = node.Upstream;
      // A live upstream refuses connections while its queue is full.
      if (node.IsUp && Now >= node.FrozenUntil && Rng.chance(0.002))
        node.Agent->upstreamRefused(Now);
      if (upstream.IsUp && Rng.chance(0.0004))
        crashUpstream(node);
      if (!upstream.IsUp && Now >= upstream.RestartAt)
        restartUpstream(upstream);
    }
  }

  /// Restores the log about once in 12 s, at times in a series.
  void injectRestorations() {
    if (Now.time_since_epoch() < seconds(8) || Now < AwayUntil)
      return;
    if (Now >= NextRestoration) {
      restoreLog();
      AwayUntil = Now + randomDelay(MaxAwayMs);
      const bool isSeries = Options.HasFaults && Rng.chance(0.3);
      NextRestoration =
          AwayUntil + (isSeries ? randomDelay(MaxSeriesGapMs)
                                : seconds(4) + randomDelay(16000));
    }
  }

  /// Drops the newest records. Their offsets are given out again.
  void restoreLog() {
    FormerLogs.push_back(Log);
    const core::TimePoint copied = Now - randomDelay(MaxLostMs);
    while (!Log.empty() && Log.back().AppendedAt > copied)
      Log.pop_back();
    ++Era;
    ++Out.Restorations;
  }

  void crashUpstream(ModelNode &node) {
    ModelUpstream &upstream = node.Upstream;
    upstream.IsUp = false;
    upstream.Held.clear();
    upstream.Freed.clear();
    upstream.RestartAt = Now + randomDelay(5000);
    // In half of the cases the node notices refused connections.
    if (node.IsUp && Rng.chance(0.5))
      Events.at(Now + randomDelay(2000),
                [this, &node, incarnation = node.Incarnation] {
                  if (isRunning(node, incarnation) && !node.Upstream.IsUp)
                    node.Agent->upstreamRefused(Now);
                });
  }

  void restartUpstream(ModelUpstream &upstream) {
    upstream.IsUp = true;
    upstream.Process.StartUnixMs = Now.time_since_epoch() / milliseconds(1) + 2;
    if (Rng.chance(0.5))
      upstream.Process.Id += "x";
    upstream.Sequence = 0;
    upstream.NextHeartbeat = Now;
  }

  void stepUpstream(ModelNode &node) {
    ModelUpstream &upstream = node.Upstream;
    if (!upstream.IsUp)
      return;
    std::erase_if(upstream.Held,
                  [&](const HeldRow &it) { return Now >= it.Until; });
    if (Now < upstream.NextHeartbeat)
      return;
    upstream.NextHeartbeat = Now + HeartbeatInterval;
    Heartbeat heartbeat;
    heartbeat.Process = upstream.Process;
    heartbeat.Service = ServiceName;
    heartbeat.Slots = 12;
    heartbeat.Sequence = ++upstream.Sequence;
    for (const HeldRow &it : upstream.Held)
      heartbeat.Holds.push_back({it.Row.Keys, it.Row.Token});
    heartbeat.Freed = std::exchange(upstream.Freed, {});
    const bool isLate = Options.HasFaults && Rng.chance(0.02);
    const core::Duration latency = isLate ? randomDelay(4000) : milliseconds(1);
    Events.at(Now + latency, [this, &node, heartbeat, sent = Now] {
      deliver(node, heartbeat, sent);
    });
  }

  void deliver(ModelNode &node, const Heartbeat &heartbeat,
               core::TimePoint sent) {
    if (!node.IsUp)
      return;
    if (Now < node.FrozenUntil) {
      Events.at(node.FrozenUntil, [this, &node, heartbeat, sent] {
        deliver(node, heartbeat, sent);
      });
      return;
    }
    if (!node.Agent->acceptHeartbeat(heartbeat, Now) || !node.HasReadLog)
      return;
    const auto grant = node.Agent->grant(node.Ledger, Now);
    // The upstream waits one second for an answer.
    if (!grant || Now - sent > seconds(1))
      return;
    Events.at(Now + milliseconds(1), [this, &node, heartbeat, grant, sent] {
      applyGrant(node, heartbeat.Process, *grant, sent);
    });
  }

  void applyGrant(ModelNode &node, const UpstreamProcess &process,
                  const Grant &grant, core::TimePoint sent) {
    ModelUpstream &upstream = node.Upstream;
    if (!upstream.IsUp || !(upstream.Process == process))
      return;
    // The upstream's clock is 2% slow.
    const core::TimePoint until = sent + grant.Length * 102 / 100;
    std::vector<HeldRow> held;
    for (const Holding &row : grant.Rows) {
      checkToken(row, process);
      held.push_back({row, until});
    }
    bool isReleasing = false;
    for (const HeldRow &it : upstream.Held) {
      const bool isKept =
          std::any_of(held.begin(), held.end(), [&](const HeldRow &other) {
            return other.Row.Keys.contains(it.Row.Keys);
          });
      if (isKept)
        continue;
      isReleasing = true;
      upstream.Freed.push_back({it.Row.Keys, "handover"});
    }
    upstream.Held = std::move(held);
    if (isReleasing)
      upstream.NextHeartbeat = Now + milliseconds(100);
  }

  void checkToken(const Holding &row, const UpstreamProcess &process) {
    for (const auto &[known, who] : Tokens) {
      if (who == process || !known.Keys.intersects(row.Keys))
        continue;
      if (known.Token >= row.Token)
        Out.Violation = "a fencing token does not increase";
    }
    const bool isKnown =
        std::any_of(Tokens.begin(), Tokens.end(), [&](const auto &it) {
          return it.second == process && it.first.Token == row.Token &&
                 it.first.Keys.contains(row.Keys);
        });
    if (!isKnown)
      Tokens.emplace_back(row, process);
  }

  void stepNode(ModelNode &node) {
    if (!node.IsUp || Now < node.FrozenUntil)
      return;
    if (!node.IsReading && Now >= node.NextRead)
      read(node);
    if (Now >= node.NextTick) {
      node.NextTick = Now + TickInterval;
      node.Agent->ledgerChanged(node.Ledger, Now);
      if (node.HasReadLog)
        tell(node);
      append(node);
    }
  }

  /// Sends a due notice. As datagrams, notices may be lost, delayed or
  /// duplicated.
  void tell(ModelNode &node) {
    const auto notice = node.Agent->nextNotice(node.Ledger, Now);
    if (!notice || node.IsPartitioned)
      return;
    for (const auto &it : Nodes) {
      if (it->Name != notice->To)
        continue;
      ModelNode &to = *it;
      const int copies = static_cast<int>(Rng.below(3));
      for (int n = 0; n < copies; ++n)
        Events.at(Now + (Rng.chance(0.1) ? randomDelay(6000) : randomDelay(5)),
                  [this, &to, notice] {
                    if (to.IsUp)
                      to.Agent->receiveNotice(notice->Notice, Now);
                  });
    }
  }

  /// Gives the node's upstream a random load, which is high in 30% of the
  /// cases.
  void randomizeLoad(ModelNode &node) {
    KeyedLoad load;
    load.BucketKeys = 64;
    load.Rates.assign(KeyCount / load.BucketKeys, 0);
    const bool isHot = Rng.chance(0.3);
    load.Node = {isHot ? 1.5 : 0.1, 0.01};
    for (int n = 0; isHot && n < 40; ++n)
      load.Rates[Rng.below(load.Rates.size())] += 4;
    for (const auto &it : Nodes)
      if (it->IsUp && it->Name != node.Name)
        it->Agent->setPeerLoad(node.Name, load.Node, Now);
    node.Agent->setLoad(std::move(load));
  }

  void read(ModelNode &node) {
    node.IsReading = true;
    Events.at(Now + delay(),
              [this, &node, incarnation = node.Incarnation, end = Log.size(),
               era = Era, isLost = node.IsPartitioned || Now < AwayUntil] {
                if (!isRunning(node, incarnation))
                  return;
                finishRead(node, era, end, isLost);
              });
  }

  /// Returns the log as it was in \p era.
  const std::vector<LogRecord> &logOf(core::LogEra era) const {
    return era == Era ? Log : FormerLogs[era];
  }

  void enterEra(ModelNode &node, core::LogEra era) {
    if (Options.Broken == BrokenRule::ClaimWithheld ||
        Options.Broken == BrokenRule::ClaimAfterLease)
      forceClaim(node);
    node.Agent->enterEra(node.Ledger, Now);
    // What was first seen long ago needs no wait.
    const core::Duration age = Options.Broken == BrokenRule::AssignAtOnce
                                   ? 2 * NodeLapseTimeout
                                   : core::Duration{};
    node.Ledger.enterEra(era, Now - age);
    node.Position = 0;
    node.IsSnapshotDue = true;
  }

  void forceClaim(ModelNode &node) {
    const bool isAuthorized = Now < node.Agent->authorityUntil();
    node.ForcedClaim.reset();
    if (isAuthorized != (Options.Broken == BrokenRule::ClaimWithheld))
      return;
    HoldingClaim claim{node.Name, ServiceName, {}};
    for (const Holding &it : node.Ledger.holdingsOf(ServiceName))
      if (it.Node == node.Name && it.Process == node.Agent->upstreamProcess())
        claim.Rows.push_back(it);
    if (!claim.Rows.empty())
      node.ForcedClaim = std::move(claim);
  }

  std::optional<HoldingClaim> pendingClaim(const ModelNode &node) const {
    if (Options.Broken == BrokenRule::RenewWithoutClaim)
      return std::nullopt;
    if (node.ForcedClaim && !node.Ledger.hasClaimOf(node.Name, ServiceName))
      return node.ForcedClaim;
    return node.Agent->pendingClaim(node.Ledger);
  }

  void finishRead(ModelNode &node, core::LogEra era, std::size_t end,
                  bool isLost) {
    if (Now < node.FrozenUntil) {
      Events.at(node.FrozenUntil, [this, &node, era, end, isLost,
                                   incarnation = node.Incarnation] {
        if (isRunning(node, incarnation))
          finishRead(node, era, end, isLost);
      });
      return;
    }
    node.IsReading = false;
    node.NextRead = Now + ReadInterval;
    if (isLost || era < node.Era)
      return;
    node.Era = era;
    if (era != node.Ledger.era() && Options.Broken != BrokenRule::IgnoreEra) {
      enterEra(node, era);
      if (node.HasReadLog) {
        node.NextRead = Now;
        append(node);
        return;
      }
    }
    const std::vector<LogRecord> &log = logOf(era);
    core::TimePoint readAt = Now;
    if (Options.Broken == BrokenRule::EarlyLapse)
      readAt -= NodeLapseTimeout / 2;
    // A node that starts reads a snapshot, which lacks replaced records.
    const std::vector<bool> isReplaced =
        std::exchange(node.IsSnapshotDue, false)
            ? replacedRecords(log, end)
            : std::vector<bool>(end, false);
    for (; node.Position < end; ++node.Position) {
      if (isReplaced[node.Position])
        continue;
      const LogRecord &it = log[node.Position];
      const bool isOfEra = it.Era == node.Ledger.era() ||
                           (Options.Broken == BrokenRule::TrustFormerHoldings &&
                            it.Era < node.Ledger.era());
      if (it.Node)
        node.Ledger.applyNode(*it.Node, readAt);
      if (it.Part && isOfEra)
        node.Ledger.applyHoldings(ServiceName, *it.Part);
      if (it.Claim && isOfEra)
        node.Ledger.applyClaim(*it.Claim);
    }
    node.Ledger.setEnd(node.Position);
    node.HasReadLog = true;
    node.Agent->ledgerChanged(node.Ledger, Now);
    append(node);
  }

  /// Returns for each record of \p log before \p end whether one with the same
  /// key follows it.
  static std::vector<bool> replacedRecords(std::span<const LogRecord> log,
                                           std::size_t end) {
    std::vector<bool> out(end, false);
    std::set<std::string> known;
    for (std::size_t n = end; n-- > 0;)
      out[n] = !known.insert(log[n].key()).second;
    return out;
  }

  void append(ModelNode &node) {
    if (node.IsAppending || !node.HasReadLog)
      return;
    if (const auto record = node.Agent->nextRecord(node.Ledger, false, Now)) {
      // Renewals wait for those of other nodes.
      const auto claim = pendingClaim(node);
      const bool isBatched = isRenewal(*record, node.Ledger) && !claim;
      node.IsAppending = !isBatched;
      core::TimePoint sent = Now;
      if (Options.Broken == BrokenRule::LeaseFromAnswer)
        sent += NodeLease / 2;
      node.Agent->recordSent(record->Sequence, sent);
      std::vector<LogRecord> records(1);
      records.front().Node = *record;
      if (claim) {
        records.emplace_back().Claim = *claim;
        records.back().Era = node.Ledger.era();
      }
      submit(node, std::move(records), std::nullopt,
             isBatched ? milliseconds(1) + randomDelay(MaxRenewalDelayMs)
                       : core::Duration{});
      if (isBatched)
        node.Agent->joinRenewalRound(Now + randomDelay(MaxRenewalRoundMs));
      return;
    }
    if (auto change = node.Agent->nextChange(node.Ledger, Now)) {
      node.IsAppending = true;
      if (Options.Broken == BrokenRule::SameToken)
        for (HoldingPart &part : change->Parts)
          for (Holding &it : part.Rows)
            it.Token = 1;
      if (Options.Broken == BrokenRule::TokenWithoutEra)
        for (HoldingPart &part : change->Parts)
          for (Holding &it : part.Rows)
            if (it.Token == node.Ledger.nextToken())
              it.Token = change->At + 1;
      checkRows(change->Rows);
      std::vector<LogRecord> records;
      for (HoldingPart &it : change->Parts) {
        records.emplace_back().Part = std::move(it);
        records.back().Era = node.Ledger.era();
      }
      std::optional<std::size_t> at = change->At;
      if (Options.Broken == BrokenRule::Unconditional)
        at.reset();
      submit(node, std::move(records), at);
    }
  }

  /// Appends records as the platform does: the append may be delayed or lost,
  /// and so may its answer. \p wait is the time until the records are sent.
  void submit(ModelNode &node, std::vector<LogRecord> records,
              std::optional<std::size_t> at, core::Duration wait = {}) {
    const bool isChange = records.front().Part.has_value();
    const bool isClaim = records.back().Claim.has_value();
    core::Duration latency = delay() + wait;
    bool isAnswered = !node.IsPartitioned && Now >= AwayUntil;
    bool isDone = isAnswered;
    if (Options.HasFaults && Rng.chance(0.08)) {
      isAnswered = false;
      isDone = Rng.chance(0.7);
      if (Rng.chance(0.5))
        latency += randomDelay(6000);
    }
    const auto incarnation = node.Incarnation;
    const core::TimePoint answerAt =
        isAnswered ? Now + latency + milliseconds(2) : Now + seconds(1);
    const auto isAccepted = std::make_shared<bool>(false);
    const auto answerEra = std::make_shared<core::LogEra>(0);
    if (isDone)
      Events.at(Now + latency, [this, records = std::move(records), at,
                                isAccepted, answerEra, isChange]() mutable {
        *answerEra = Era;
        if (at && *at != Log.size())
          return;
        *isAccepted = true;
        Out.Changes += isChange ? 1 : 0;
        for (LogRecord &it : records) {
          it.AppendedAt = Now;
          Log.push_back(std::move(it));
        }
      });
    const bool isBatched = wait.count() > 0;
    Events.at(answerAt, [this, &node, incarnation, isAnswered, isAccepted,
                         answerEra, isChange, isClaim, isBatched] {
      if (!isRunning(node, incarnation))
        return;
      if (isAnswered && *answerEra > node.Era) {
        node.Era = *answerEra;
        node.NextRead = Now;
      }
      node.IsAppending = node.IsAppending && isBatched;
      // The lease of an earlier era may end soon.
      if (isClaim && isAnswered)
        node.NextRead = Now;
      if (!isChange)
        return;
      auto end = ChangeOutcome::Unknown;
      if (isAnswered)
        end = *isAccepted ? ChangeOutcome::Appended : ChangeOutcome::Refused;
      node.Agent->changeCompleted(end, Now);
      node.NextRead = Now;
    });
  }

  /// Checks that each key is in exactly one row.
  void checkRows(std::span<const Holding> rows) {
    Key next = 0;
    for (const Holding &it : rows) {
      if (it.Keys.From != next)
        Out.Violation = "proposed rows have a gap or an overlap";
      next = it.Keys.To + 1;
    }
    if (next != KeyCount)
      Out.Violation = "proposed rows lack the last keys";
  }

  void checkOwners() {
    for (std::size_t a = 0; a < Nodes.size(); ++a)
      for (std::size_t b = a + 1; b < Nodes.size(); ++b)
        for (const HeldRow &first : Nodes[a]->Upstream.Held)
          for (const HeldRow &second : Nodes[b]->Upstream.Held)
            if (first.Row.Keys.intersects(second.Row.Keys))
              Out.Violation = describe(*Nodes[a], first) + " and " +
                              describe(*Nodes[b], second);
  }

  std::string describe(const ModelNode &node, const HeldRow &held) const {
    const auto ms = [&](core::TimePoint when) {
      return std::to_string((when - Now) / milliseconds(1)) + " ms";
    };
    return node.Name + " holds [" + std::to_string(held.Row.Keys.From) + "," +
           std::to_string(held.Row.Keys.To) + "] under token " +
           std::to_string(held.Row.Token) + " until " + ms(held.Until) +
           " (lease " + ms(node.Agent->authorityUntil()) + ", at " +
           std::to_string(Now.time_since_epoch() / milliseconds(1)) + ")";
  }

  bool isHeld(Key key) const {
    return std::any_of(Nodes.begin(), Nodes.end(), [&](const auto &node) {
      const auto &held = node->Upstream.Held;
      return std::any_of(held.begin(), held.end(), [&](const HeldRow &it) {
        return it.Row.Keys.contains(key);
      });
    });
  }

  ModelOptions Options;
  Random Rng;
  core::TimePoint Now{};
  Schedule Events;
  std::vector<LogRecord> Log;
  core::LogEra Era = 0;
  /// The log at the end of each earlier era.
  std::vector<std::vector<LogRecord>> FormerLogs;
  core::TimePoint AwayUntil{};
  core::TimePoint NextRestoration{};
  std::vector<std::unique_ptr<ModelNode>> Nodes;
  std::vector<std::pair<Holding, UpstreamProcess>> Tokens;
  ModelResult Out;
};

} // namespace

ModelResult runFleetModel(const ModelOptions &options) {
  return FleetModel(options).run();
}

} // namespace acaciaroad::tests
