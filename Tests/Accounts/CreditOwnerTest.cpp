#include "Accounts/CreditOwner.h"

#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::accounts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint Start(seconds(100));
constexpr AccountRate Rate{10, 20};

/// One step of a test of the owner of account "a", which starts ready and with
/// a full bucket.
struct Call {
  enum class Kind { Ask, Settle, Wait };
  Kind What;
  std::uint64_t Holder = 1;
  AskId Ask = 1;
  /// Requests needed, requests unspent, or milliseconds to wait.
  std::uint32_t Amount = 0;
};

using K = Call::Kind;

struct OwnerRow {
  const char *Name;
  std::vector<Call> Calls;
  /// Needed by a final ask of holder 9, and granted to it.
  std::uint32_t Needed;
  std::uint32_t Granted;
  CreditStatus Status;
};

const OwnerRow OwnerRows[] = {
    {"full bucket", {}, 30, 20, CreditStatus::Granted},
    {"exhausted bucket", {{K::Ask, 1, 1, 20}}, 1, 0, CreditStatus::Exhausted},
    {"unexpired credit stays reserved",
     {{K::Ask, 1, 1, 20}, {K::Wait, 0, 0, 400}},
     1,
     0,
     CreditStatus::Exhausted},
    {"capacity of expired credit refills at the rate",
     {{K::Ask, 1, 1, 20}, {K::Wait, 0, 0, 1005}},
     20,
     5,
     CreditStatus::Granted},
    {"capacity of spent credit refills once settled",
     {{K::Ask, 1, 1, 20}, {K::Settle, 1, 1, 0}, {K::Wait, 0, 0, 300}},
     20,
     3,
     CreditStatus::Granted},
    {"unspent credit returns to the bucket",
     {{K::Ask, 1, 1, 20}, {K::Settle, 1, 1, 7}},
     20,
     7,
     CreditStatus::Granted},
    {"a duplicate settlement is ignored",
     {{K::Ask, 1, 1, 10},
      {K::Ask, 2, 1, 10},
      {K::Settle, 1, 1, 7},
      {K::Settle, 1, 1, 7}},
     20,
     7,
     CreditStatus::Granted},
    {"settlement of another holder's grant is ignored",
     {{K::Ask, 1, 1, 20}, {K::Settle, 2, 1, 20}},
     1,
     0,
     CreditStatus::Exhausted},
    {"no more credit returns than was granted",
     {{K::Ask, 1, 1, 5}, {K::Ask, 2, 1, 15}, {K::Settle, 1, 1, 50}},
     50,
     5,
     CreditStatus::Granted},
    {"a duplicate ask yields one grant",
     {{K::Ask, 1, 1, 8}, {K::Ask, 1, 1, 8}},
     20,
     12,
     CreditStatus::Granted},
};

CreditAsk ask(std::uint64_t holder, AskId id, std::uint32_t needed) {
  return {core::InstanceId{holder}, id, "a", needed, 0, {}};
}

} // namespace

ACACIA_TABLE_TEST(CreditOwnerTest, grantsWithinBurst, OwnerRows) {
  CreditOwner owner;
  cr_assert(owner.takeOwnership("a", Rate, Start));
  core::TimePoint now = Start + seconds(10);
  for (const Call &call : row.Calls) {
    const core::InstanceId holder{call.Holder};
    if (call.What == K::Ask)
      owner.handleAsk(ask(call.Holder, call.Ask, call.Amount), now);
    else if (call.What == K::Settle)
      owner.handleReturn({holder, "a", {{call.Ask, call.Amount}}}, now);
    else
      now += milliseconds(call.Amount);
    const TokenBucket &bucket = owner.find("a")->bucket();
    cr_assert_leq(bucket.level() + bucket.reserved(), 20 * NanoTokensPerToken,
                  "%s: level and reserve exceed the burst", row.Name);
  }
  const CreditGrant grant = owner.handleAsk(ask(9, 1, row.Needed), now);
  cr_assert_eq(grant.Amount, row.Granted, "%s: granted %u", row.Name,
               grant.Amount);
  cr_assert(grant.Status == row.Status, "%s", row.Name);
}

Test(CreditOwnerTest, newOwnerWaitsAndStartsEmpty) {
  CreditOwner owner;
  cr_assert(owner.takeOwnership("a", Rate, Start));
  const CreditGrant early = owner.handleAsk(ask(1, 1, 1), Start);
  cr_assert(early.Status == CreditStatus::NotReady);
  cr_assert(early.RetryAfter == CreditExpiry);
  const core::TimePoint ready = Start + CreditExpiry;
  const CreditGrant first = owner.handleAsk(ask(1, 2, 1), ready);
  cr_assert_eq(first.Amount, 0);
  cr_assert(first.Status == CreditStatus::NotReady);
  cr_assert_eq(owner.handleAsk(ask(1, 3, 9), ready + milliseconds(300)).Amount,
               3);
  const core::TimePoint later = ready + TakeoverGracePeriod;
  cr_assert_eq(owner.handleAsk(ask(1, 4, 20), later).Amount, 7);
  const CreditGrant empty = owner.handleAsk(ask(1, 5, 1), later);
  cr_assert_eq(empty.Amount, 0);
  cr_assert(empty.Status == CreditStatus::Exhausted);
}

Test(CreditOwnerTest, plannedMoveKeepsLevelAndCredit) {
  CreditOwner from;
  CreditOwner to;
  cr_assert(from.takeOwnership("a", Rate, Start));
  cr_assert(!from.handOver("a", Start));
  const core::TimePoint now = Start + seconds(10);
  cr_assert_eq(from.handleAsk(ask(1, 1, 12), now).Amount, 12);
  const auto handover = from.handOver("a", now);
  cr_assert(handover.has_value());
  cr_assert(from.handleAsk(ask(1, 2, 1), now).Status == CreditStatus::NotOwner);
  cr_assert(to.takeOwnership(*handover, Rate, now));
  cr_assert(!to.takeOwnership(*handover, Rate, now));
  cr_assert_eq(to.handleAsk(ask(2, 1, 20), now).Amount, 8);
  to.handleReturn({core::InstanceId{1}, "a", {{1, 5}}}, now);
  cr_assert_eq(to.handleAsk(ask(2, 2, 20), now).Amount, 5);
}

Test(CreditOwnerTest, lowerRateTakesEffectAtOnce) {
  CreditOwner owner;
  cr_assert(owner.takeOwnership("a", Rate, Start));
  const core::TimePoint now = Start + seconds(10);
  cr_assert(owner.change("a", {10, 4}, now));
  cr_assert_eq(owner.handleAsk(ask(1, 1, 20), now).Amount, 4);
  cr_assert(!owner.change("b", Rate, now));
}
