#include <functional>
#include <map>
#include <set>
#include <vector>

#include "Requests/IdempotencyRegister.h"
#include "Requests/IdempotencyWitness.h"
#include "Support/EventLoop.h"
#include "Support/Random.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using namespace acaciaroad::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::SliceId Slice{"booking", 3};
constexpr std::size_t Witnesses = 9;
constexpr std::uint64_t Ids = 40;

struct FaultRow {
  const char *Name;
  double Loss;
  double Duplication;
  /// Upper bound of the delay of a message.
  core::Duration Delay;
  /// Share of requests that the upstream refuses as not run.
  double NotRun;
  /// Witnesses lost at each takeover; a majority of three survives the loss of
  /// one.
  int LostWitnesses;
};

const FaultRow FaultRows[] = {
    {"no faults", 0, 0, milliseconds(1), 0, 0},
    {"loss", 0.3, 0, milliseconds(1), 0, 0},
    {"delays and duplicates", 0, 0.5, milliseconds(400), 0, 0},
    {"refusals", 0, 0.3, milliseconds(400), 0.5, 0},
    {"lost witnesses", 0, 0, milliseconds(50), 0.2, 1},
    {"all faults", 0.1, 0.4, milliseconds(400), 0.4, 1},
};

constexpr std::uint64_t Seeds = 60;

/// Simulates owners that take over from each other unplanned, each with three
/// witnesses of its own, and callers that send every id repeatedly. A former
/// owner does not notice the takeover and still receives requests, but none of
/// them run once its successor has started, since its lease has expired.
class Takeovers {
public:
  Takeovers(EventLoop &loop, Random &random, const FaultRow &row)
      : Loop(loop), Source(random), Row(row) {
    for (std::uint64_t n = 0; n < Witnesses; ++n)
      Members.push_back(
          IdempotencyWitness::create(core::InstanceId{100 + n}, {}).value());
    addOwner();
    Owners[0].IsStarted = true;
  }

  void run() {
    sendRequests(Loop.now() + seconds(20));
    for (int n = 1; n <= 2; ++n)
      Loop.after(seconds(5 * n), [this] { takeOver(); });
    Loop.runUntil(Loop.now() + seconds(25));
  }

  /// Repeated runs: those of an id after its first.
  int Repeated = 0;
  int Runs = 0;
  std::size_t started() const {
    std::size_t n = 0;
    for (const Owner &it : Owners)
      n += it.IsStarted ? 1U : 0U;
    return n;
  }

private:
  struct Owner {
    core::Epoch Epoch = 0;
    IdempotencyRegister Register;
    std::vector<std::size_t> Witnesses;
    bool IsStarted = false;
    bool IsOver = false;
    /// Witnesses that have handed over their ids, by former owner.
    std::map<std::size_t, std::set<std::size_t>> HandedOver;
  };

  void addOwner() {
    const std::size_t n = Owners.size();
    Owner it{n + 1,
             IdempotencyRegister::create(core::InstanceId{n + 1}, {}).value(),
             {3 * n, 3 * n + 1, 3 * n + 2},
             false,
             false,
             {}};
    std::vector<core::InstanceId> ids;
    for (const std::size_t w : it.Witnesses)
      ids.push_back(core::InstanceId{100 + w});
    it.Register.setWitnesses({ids});
    Owners.push_back(std::move(it));
  }

  void send(const std::function<void()> &call) {
    const int copies = Source.chance(Row.Duplication) ? 2 : 1;
    for (int n = 0; n < copies; ++n)
      if (!Source.chance(Row.Loss))
        Loop.after(core::Duration(static_cast<std::int64_t>(Source.below(
                       static_cast<std::uint64_t>(Row.Delay.count())))),
                   call);
  }

  void sendRequests(core::TimePoint end) {
    if (Loop.now() >= end)
      return;
    // Callers reach any instance that considers itself the owner.
    const std::size_t owner = Source.below(Owners.size());
    if (Owners[owner].IsStarted)
      request(owner, Source.below(Ids));
    Loop.after(milliseconds(5), [this, end] { sendRequests(end); });
  }

  void request(std::size_t owner, std::uint64_t key) {
    const IdempotencyId id = IdempotencyId::of("a", std::to_string(key));
    const BeginDecision decision = Owners[owner].Register.begin(
        {Slice, Owners[owner].Epoch, id, 1}, Loop.now());
    if (decision.Verdict == BeginVerdict::AwaitWitnesses)
      tell(owner, decision.Message);
  }

  void tell(std::size_t owner, const IdempotencyTell &message) {
    for (const std::size_t w : Owners[owner].Witnesses) {
      if (Lost.contains(w))
        continue;
      send([this, owner, w, message] {
        if (Lost.contains(w))
          return;
        const IdempotencyAck ack = Members[w].onTell(message, Loop.now());
        send([this, owner, ack] {
          const QuorumState state = Owners[owner].Register.onAck(ack);
          if (state == QuorumState::Reached)
            dispatch(owner, ack.Id);
          if (state == QuorumState::Impossible)
            removeNotRunId(owner, ack.Id);
        });
      });
    }
  }

  void dispatch(std::size_t owner, IdempotencyId id) {
    // Fencing: requests from a former owner do not run.
    if (Owners[owner].IsOver)
      return;
    if (Source.chance(Row.NotRun)) {
      removeNotRunId(owner, id);
      return;
    }
    ++Runs;
    if (++RunsOf[id] > 1)
      ++Repeated;
    if (Source.chance(0.5))
      Owners[owner].Register.markCompleted(id, "answer");
    else
      Owners[owner].Register.markOutcomeUnknown(id);
  }

  void removeNotRunId(std::size_t owner, IdempotencyId id) {
    const auto forget = Owners[owner].Register.removeNotRun(id);
    if (!forget)
      return;
    for (const std::size_t w : Owners[owner].Witnesses)
      send([this, w, message = *forget] { Members[w].forget(message); });
  }

  /// Adds an owner, which asks the witnesses of its predecessors for their ids.
  void takeOver() {
    const std::size_t former = Owners.size() - 1;
    for (int n = 0; n < Row.LostWitnesses; ++n)
      Lost.insert(Owners[former].Witnesses[Source.below(3)]);
    addOwner();
    ask(Owners.size() - 1);
  }

  void ask(std::size_t successor) {
    if (Owners[successor].IsStarted || successor + 1 < Owners.size())
      return;
    for (std::size_t former = firstPredecessor(successor); former < successor;
         ++former)
      for (const std::size_t w : Owners[former].Witnesses)
        if (!Lost.contains(w))
          askWitness(successor, former, w);
    tryToStart(successor);
    Loop.after(milliseconds(300), [this, successor] { ask(successor); });
  }

  /// Returns the last owner that started: it has imported the ids of all owners
  /// before it.
  std::size_t firstPredecessor(std::size_t successor) const {
    std::size_t n = successor;
    while (n > 0 && !Owners[n - 1].IsStarted)
      --n;
    return n == 0 ? 0 : n - 1;
  }

  void askWitness(std::size_t successor, std::size_t former, std::size_t w) {
    send([this, successor, former, w] {
      const IdempotencyHandover handover = Members[w].handOver(
          {core::InstanceId{successor + 1}, Slice, Owners[successor].Epoch},
          Loop.now());
      send([this, successor, former, w, handover] {
        if (Owners[successor].IsStarted)
          return;
        (void)Owners[successor].Register.importIds(handover, Loop.now());
        Owners[successor].HandedOver[former].insert(w);
      });
    });
  }

  void tryToStart(std::size_t successor) {
    Owner &it = Owners[successor];
    for (std::size_t former = firstPredecessor(successor); former < successor;
         ++former)
      if (it.HandedOver[former].size() < 2)
        return;
    if (!HasTold[successor]) {
      HasTold[successor] = true;
      for (const IdempotencyTell &message :
           it.Register.replicateSlice(Slice, it.Epoch, Loop.now()))
        tell(successor, message);
      return;
    }
    for (const IdempotencyTell &message :
         it.Register.pendingTells(Slice, Loop.now()))
      tell(successor, message);
    if (!it.Register.isReplicated(Slice))
      return;
    for (std::size_t former = 0; former < successor; ++former)
      Owners[former].IsOver = true;
    it.IsStarted = true;
  }

  EventLoop &Loop;
  Random &Source;
  const FaultRow &Row;
  std::vector<IdempotencyWitness> Members;
  std::vector<Owner> Owners;
  std::map<std::size_t, bool> HasTold;
  std::set<std::size_t> Lost;
  std::map<IdempotencyId, int> RunsOf;
};

} // namespace

ACACIA_TABLE_TEST(IdempotencyTakeoverTest, noIdRunsTwice, FaultRows) {
  std::size_t started = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    EventLoop loop;
    Random random(seed);
    Takeovers it(loop, random, row);
    it.run();
    started += it.started();
    cr_assert_eq(it.Repeated, 0, "%s, seed %lu: %d repeated", row.Name, seed,
                 it.Repeated);
    cr_assert_gt(it.Runs, 10, "%s, seed %lu: only %d runs", row.Name, seed,
                 it.Runs);
  }
  // Unless most successors started, the test would not exercise takeovers.
  cr_assert_gt(started, Seeds * 2, "%s: %zu owners started", row.Name, started);
}

Test(IdempotencyWitnessTest, keepsNothingOfAFormerEpochAfterHandover) {
  IdempotencyWitness it =
      IdempotencyWitness::create(core::InstanceId{1}, {}).value();
  const core::TimePoint now(seconds(9));
  const IdempotencyId id = IdempotencyId::of("a", "k");
  const IdempotencyTell tell{core::InstanceId{2}, Slice, 4, id, 7, 1, {}};
  cr_assert(it.onTell(tell, now).IsKept);
  const IdempotencyHandover first =
      it.handOver({core::InstanceId{3}, Slice, 5}, now);
  cr_assert_eq(first.Ids.size(), 1);
  IdempotencyTell late = tell;
  late.Id = IdempotencyId::of("a", "l");
  cr_assert(!it.onTell(late, now).IsKept);
  // The ids are kept for the next successor.
  cr_assert_eq(it.handOver({core::InstanceId{4}, Slice, 6}, now).Ids.size(), 1);
}

Test(IdempotencyWitnessTest, lateForgetSparesTheNextUse) {
  IdempotencyWitness it =
      IdempotencyWitness::create(core::InstanceId{1}, {}).value();
  const core::TimePoint now(seconds(9));
  const IdempotencyId id = IdempotencyId::of("a", "k");
  const IdempotencyForget forget{core::InstanceId{2}, Slice, 4, id, 1};
  it.onTell({core::InstanceId{2}, Slice, 4, id, 7, 1, {}}, now);
  it.forget(forget);
  cr_assert_eq(it.size(), 0);
  it.onTell({core::InstanceId{2}, Slice, 4, id, 7, 2, {}}, now);
  it.forget(forget);
  cr_assert_eq(it.size(), 1);
}

Test(IdempotencyWitnessTest, fullWitnessRefuses) {
  IdempotencyWitness it =
      IdempotencyWitness::create(core::InstanceId{1}, {seconds(60), 1}).value();
  const core::TimePoint now(seconds(9));
  const auto tell = [&](const char *key, core::TimePoint at) {
    return it
        .onTell({core::InstanceId{2},
                 Slice,
                 4,
                 IdempotencyId::of("a", key),
                 7,
                 1,
                 {}},
                at)
        .IsKept;
  };
  cr_assert(tell("k", now));
  cr_assert(tell("k", now));
  cr_assert(!tell("l", now));
  cr_assert(tell("l", now + seconds(60)));
}
