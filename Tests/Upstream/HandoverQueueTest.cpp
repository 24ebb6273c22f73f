#include "Upstream/HandoverQueue.h"

#include <chrono>
#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Three orders for the keys 1, 2 and 3 wait for 500 ms. Ownership of a key: h
/// for held, a for in handover (awaited), e for not owned (elsewhere).
struct ResolveRow {
  const char *Name;
  int ElapsedMs;
  const char *Ownerships;
  /// Ticket and ownership letter of each resolved order.
  const char *Resolved;
};

const ResolveRow ResolveRows[] = {
    {"all keys in handover", 100, "aaa", ""},
    {"one key is held", 100, "aha", "2h"},
    {"one key is held, one is not owned", 100, "hae", "1h3e"},
    {"the wait times out", 500, "aaa", "1a2a3a"},
    {"a held key at the time-out", 500, "haa", "1h2a3a"},
};

char letterOf(KeyOwnership ownership) {
  switch (ownership) {
  case KeyOwnership::Held:
    return 'h';
  case KeyOwnership::InHandover:
    return 'a';
  case KeyOwnership::NotOwned:
    break;
  }
  return 'e';
}

KeyOwnership ownershipOf(char letter) {
  if (letter == 'h')
    return KeyOwnership::Held;
  return letter == 'a' ? KeyOwnership::InHandover : KeyOwnership::NotOwned;
}

} // namespace

ACACIA_TABLE_TEST(HandoverQueue, ReleasesResolvedOrders, ResolveRows) {
  const TimePoint start = TimePoint() + std::chrono::seconds(1);
  HandoverQueue queue;
  for (Ticket it = 1; it <= 3; ++it)
    cr_assert(queue.add(it, static_cast<std::uint32_t>(it),
                        start + milliseconds(500), start));
  std::string out;
  const auto resolved = queue.takeResolved(
      [&](std::uint32_t key) { return ownershipOf(row.Ownerships[key - 1]); },
      start + milliseconds(row.ElapsedMs));
  for (const auto &it : resolved)
    out += std::to_string(it.Id) + letterOf(it.Ownership);
  cr_assert_eq(out, row.Resolved, "%s: resolved %s", row.Name, out.c_str());
}

Test(HandoverQueue, RefusesExpiredWait) {
  HandoverQueue queue;
  cr_assert_not(queue.add(1, 1, TimePoint(), TimePoint()));
  cr_assert(queue.isEmpty());
}

Test(HandoverQueue, TakesAllInOrder) {
  HandoverQueue queue;
  for (const Ticket it : {2U, 1U})
    cr_assert(queue.add(it, 1, TimePoint() + milliseconds(500), TimePoint()));
  cr_assert(queue.takeAll() == std::vector<Ticket>({1, 2}));
  cr_assert(queue.isEmpty());
}

Test(HandoverQueue, IsBounded) {
  HandoverQueue queue;
  Ticket id = 0;
  while (queue.add(++id, 1, TimePoint() + milliseconds(500), TimePoint()))
    cr_assert_lt(id, 10'000U);
  cr_assert(queue.cancel(1));
  cr_assert(queue.add(id, 1, TimePoint() + milliseconds(500), TimePoint()));
}
