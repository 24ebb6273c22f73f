#include "Requests/IdempotencyRegister.h"

#include <string>
#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using core::ErrorKind;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start(seconds(1000));
const core::SliceId Slice{"booking", 3};
const IdempotencyId Id = IdempotencyId::of("account", "key");

/// What happened to an id before it is used again.
enum class Past : std::uint8_t {
  Nothing,
  Told,
  Sent,
  Done,
  DoneLarge,
  Unknown,
  NotSent,
  NotRun,
  LateNotRun,
  Expired,
  AlmostExpired,
};

struct RepeatRow {
  const char *Name;
  Past Before;
  std::uint64_t Fingerprint;
  BeginVerdict Verdict;
  ErrorKind Reason;
};

const RepeatRow RepeatRows[] = {
    {"first use", Past::Nothing, 1, BeginVerdict::AwaitWitnesses, {}},
    {"waiting for the witnesses", Past::Told, 1, BeginVerdict::Refused,
     ErrorKind::DuplicateRequest},
    {"in flight", Past::Sent, 1, BeginVerdict::Refused,
     ErrorKind::DuplicateRequest},
    {"done", Past::Done, 1, BeginVerdict::Replay, {}},
    {"done, another request", Past::Done, 2, BeginVerdict::Refused,
     ErrorKind::IdempotencyKeyReused},
    {"done, with a large answer", Past::DoneLarge, 1, BeginVerdict::Refused,
     ErrorKind::DuplicateRequest},
    {"outcome unknown", Past::Unknown, 1, BeginVerdict::Refused,
     ErrorKind::OutcomeUnknown},
    {"never sent", Past::NotSent, 1, BeginVerdict::AwaitWitnesses, {}},
    {"refused by the upstream",
     Past::NotRun,
     1,
     BeginVerdict::AwaitWitnesses,
     {}},
    {"late refusal after the answer",
     Past::LateNotRun,
     1,
     BeginVerdict::Replay,
     {}},
    {"after the window", Past::Expired, 1, BeginVerdict::AwaitWitnesses, {}},
    {"just before the end of the window",
     Past::AlmostExpired,
     1,
     BeginVerdict::Replay,
     {}},
};

constexpr RegisterLimits Limits{seconds(60), 4, 100, 10};

IdempotencyRegister makeRegister() {
  IdempotencyRegister out =
      IdempotencyRegister::create(core::InstanceId{1}, Limits).value();
  out.setWitnesses(
      {{core::InstanceId{11}, core::InstanceId{12}, core::InstanceId{13}}});
  return out;
}

QuorumState ack(IdempotencyRegister &it, const IdempotencyTell &tell,
                std::uint64_t witness, bool isKept = true) {
  return it.onAck({core::InstanceId{witness}, tell.Id, tell.Sequence, isKept});
}

void applyPast(IdempotencyRegister &it, Past past) {
  if (past == Past::Nothing)
    return;
  const BeginDecision first = it.begin({Slice, 1, Id, 1}, Start);
  if (past == Past::Told)
    return;
  if (past == Past::NotSent) {
    cr_assert(it.removeNotRun(Id).has_value());
    return;
  }
  ack(it, first.Message, 11);
  ack(it, first.Message, 12);
  if (past == Past::Sent)
    return;
  if (past == Past::Unknown) {
    it.markOutcomeUnknown(Id);
    cr_assert(!it.removeNotRun(Id).has_value());
    return;
  }
  if (past == Past::NotRun) {
    cr_assert(it.removeNotRun(Id).has_value());
    return;
  }
  it.markCompleted(Id, past == Past::DoneLarge ? "a large answer" : "answer");
  if (past == Past::LateNotRun)
    cr_assert(!it.removeNotRun(Id).has_value());
}

struct QuorumRow {
  const char *Name;
  WitnessSets Sets;
  /// Witnesses in the order of their answers; a negative number refuses.
  std::vector<int> Answers;
  QuorumState Expected;
};

core::InstanceId witness(std::uint64_t n) { return core::InstanceId{n}; }

const QuorumRow QuorumRows[] = {
    {"no witnesses", {}, {}, QuorumState::Reached},
    {"one of three",
     {{witness(1), witness(2), witness(3)}},
     {1},
     QuorumState::Open},
    {"two of three",
     {{witness(1), witness(2), witness(3)}},
     {1, 3},
     QuorumState::Reached},
    {"one of three, twice",
     {{witness(1), witness(2), witness(3)}},
     {1, 1},
     QuorumState::Open},
    {"an instance that is not a witness",
     {{witness(1), witness(2), witness(3)}},
     {1, 4},
     QuorumState::Open},
    {"two of three refuse",
     {{witness(1), witness(2), witness(3)}},
     {-1, 3, -2},
     QuorumState::Impossible},
    {"majority of the old set only",
     {{witness(1), witness(2), witness(3)},
      {witness(3), witness(4), witness(5)}},
     {1, 2, 3},
     QuorumState::Open},
    {"majorities of both sets",
     {{witness(1), witness(2), witness(3)},
      {witness(3), witness(4), witness(5)}},
     {1, 3, 5},
     QuorumState::Reached},
};

} // namespace

ACACIA_TABLE_TEST(IdempotencyRegisterTest, repeatedId, RepeatRows) {
  IdempotencyRegister it = makeRegister();
  applyPast(it, row.Before);
  core::TimePoint now = Start;
  if (row.Before == Past::Expired)
    now += Limits.Window;
  if (row.Before == Past::AlmostExpired)
    now += Limits.Window - core::Duration(1);
  const BeginDecision second = it.begin({Slice, 1, Id, row.Fingerprint}, now);
  cr_assert(second.Verdict == row.Verdict, "%s", row.Name);
  if (row.Verdict == BeginVerdict::Refused)
    cr_assert(second.Error == row.Reason, "%s", row.Name);
  if (row.Verdict == BeginVerdict::Replay)
    cr_assert(second.Answer == "answer", "%s", row.Name);
}

ACACIA_TABLE_TEST(IdempotencyRegisterTest, majorityOfWitnesses, QuorumRows) {
  WitnessQuorum quorum(row.Sets);
  for (const int n : row.Answers)
    quorum.add(witness(static_cast<std::uint64_t>(std::abs(n))), n > 0);
  cr_assert(quorum.state() == row.Expected, "%s", row.Name);
}

Test(IdempotencyRegisterTest, orderWaitsForTheMajorityOfItsOwnTell) {
  IdempotencyRegister it = makeRegister();
  const BeginDecision first = it.begin({Slice, 1, Id, 1}, Start);
  cr_assert(ack(it, first.Message, 11) == QuorumState::Open);
  cr_assert(it.removeNotRun(Id).has_value());
  const BeginDecision second = it.begin({Slice, 1, Id, 1}, Start);
  // An answer to the first tell does not count for the second.
  cr_assert(ack(it, first.Message, 12) == QuorumState::Open);
  cr_assert(ack(it, second.Message, 13) == QuorumState::Open);
  cr_assert(ack(it, second.Message, 11) == QuorumState::Reached);
  // Reached is returned once, so that the request is sent once.
  cr_assert(ack(it, second.Message, 12) == QuorumState::Open);
}

Test(IdempotencyRegisterTest, fullRegisterRefusesNewIds) {
  IdempotencyRegister it = makeRegister();
  for (int n = 0; n < 4; ++n)
    cr_assert(it.begin({Slice, 1, IdempotencyId::of("a", std::to_string(n)), 1},
                       Start)
                  .Verdict == BeginVerdict::AwaitWitnesses);
  const BeginDecision fifth = it.begin({Slice, 1, Id, 1}, Start);
  cr_assert(fifth.Verdict == BeginVerdict::Refused);
  cr_assert(fifth.Error == ErrorKind::RegisterFull);
  cr_assert(it.nextDeadline() == Start + Limits.Window);
  it.expire(Start + Limits.Window);
  cr_assert_eq(it.size(), 0);
}

Test(IdempotencyRegisterTest, storedAnswersAreBounded) {
  RegisterLimits limits = Limits;
  limits.MaxIds = 1000;
  IdempotencyRegister it =
      IdempotencyRegister::create(core::InstanceId{1}, limits).value();
  for (int n = 0; n < 1000; ++n) {
    const IdempotencyId id = IdempotencyId::of("a", std::to_string(n));
    cr_assert(it.begin({Slice, 1, id, 1}, Start).Verdict == BeginVerdict::Send);
    it.markCompleted(id, "0123456789");
    cr_assert_leq(it.answerBytes(), limits.MaxTotalAnswerBytes);
  }
  cr_assert_eq(it.answerBytes(), limits.MaxTotalAnswerBytes);
  it.expire(Start + Limits.Window);
  cr_assert_eq(it.answerBytes(), 0);
}

Test(IdempotencyRegisterTest, accountsDoNotShareIds) {
  cr_assert(IdempotencyId::of("a", "bc") != IdempotencyId::of("ab", "c"));
  cr_assert(IdempotencyId::of("a", "k") != IdempotencyId::of("b", "k"));
}
