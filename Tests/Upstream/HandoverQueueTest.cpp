#include "Upstream/HandoverQueue.h"

#include <chrono>
#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Three orders for the keys 1, 2 and 3 wait for half a second. Letters of the
/// keys' standings: h held, a awaited, e elsewhere.
struct SettleRow {
  const char *Name;
  int AfterMs;
  const char *Standings;
  /// What comes back, an order's number and a letter each.
  const char *Settled;
};

const SettleRow SettleRows[] = {
    {"nothing has happened", 100, "aaa", ""},
    {"one key arrives", 100, "aha", "2h"},
    {"one arrives, one goes", 100, "hae", "1h3e"},
    {"too late", 500, "aaa", "1a2a3a"},
    {"late, and yet there", 500, "haa", "1h2a3a"},
};

char letterOf(KeyStanding standing) {
  switch (standing) {
  case KeyStanding::Held:
    return 'h';
  case KeyStanding::Awaited:
    return 'a';
  case KeyStanding::Elsewhere:
    break;
  }
  return 'e';
}

KeyStanding standingOf(char letter) {
  if (letter == 'h')
    return KeyStanding::Held;
  return letter == 'a' ? KeyStanding::Awaited : KeyStanding::Elsewhere;
}

} // namespace

ACACIA_TABLE_TEST(HandoverQueue, Settles, SettleRows) {
  const TimePoint start = TimePoint() + std::chrono::seconds(1);
  HandoverQueue wait;
  for (Ticket it = 1; it <= 3; ++it)
    cr_assert(wait.add(it, static_cast<std::uint32_t>(it),
                       start + milliseconds(500), start));
  std::string out;
  const auto settled = wait.settle(
      [&](std::uint32_t key) { return standingOf(row.Standings[key - 1]); },
      start + milliseconds(row.AfterMs));
  for (const auto &it : settled)
    out += std::to_string(it.Id) + letterOf(it.Standing);
  cr_assert_eq(out, row.Settled, "%s: %s", row.Name, out.c_str());
}

Test(HandoverQueue, TakesNoneThatIsLate) {
  HandoverQueue wait;
  cr_assert_not(wait.add(1, 1, TimePoint(), TimePoint()));
  cr_assert(wait.isEmpty());
}

Test(HandoverQueue, GivesAllBack) {
  HandoverQueue wait;
  for (const Ticket it : {2U, 1U})
    cr_assert(wait.add(it, 1, TimePoint() + milliseconds(500), TimePoint()));
  cr_assert(wait.takeAll() == std::vector<Ticket>({1, 2}));
  cr_assert(wait.isEmpty());
}

Test(HandoverQueue, IsBounded) {
  HandoverQueue wait;
  Ticket id = 0;
  while (wait.add(++id, 1, TimePoint() + milliseconds(500), TimePoint()))
    cr_assert_lt(id, 10'000U);
  cr_assert(wait.cancel(1));
  cr_assert(wait.add(id, 1, TimePoint() + milliseconds(500), TimePoint()));
}
