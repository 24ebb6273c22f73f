#include "Accounts/HeldCredit.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::accounts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint AskedAt(seconds(100));
constexpr core::Duration Lifetime = milliseconds(400);

struct ExpiryRow {
  const char *Name;
  /// Milliseconds from the ask to the grant and to the request.
  int ArrivesAfter;
  int TakenAfter;
  bool IsTaken;
  /// Whether the second, unspent request is returned to the owner.
  bool IsReturned;
};

const ExpiryRow ExpiryRows[] = {
    {"immediately", 1, 2, true, false},
    {"just before expiry", 1, 399, true, true},
    {"at expiry", 1, 400, false, false},
    {"delayed grant, unexpired since the ask", 300, 399, true, true},
    {"delayed grant, expired since the ask", 300, 401, false, false},
    {"grant expired on arrival", 400, 401, false, false},
    {"after a pause of the node", 1, 5000, false, false},
};

} // namespace

ACACIA_TABLE_TEST(HeldCreditTest, expiryCountsFromAsking, ExpiryRows) {
  const CreditGrant grant{1, "a", CreditStatus::Granted, 2, Lifetime, {}};
  HeldCredit credit;
  credit.add(grant, AskedAt, AskedAt + milliseconds(row.ArrivesAfter));
  const core::TimePoint now = AskedAt + milliseconds(row.TakenAfter);
  cr_assert_eq(credit.take(now), row.IsTaken, "%s", row.Name);
  credit.closeNearExpiry(now);
  const auto settled = credit.takeSettled();
  cr_assert_eq(settled.size(), row.IsReturned ? 1 : 0, "%s", row.Name);
  if (row.IsReturned)
    cr_assert_eq(settled[0].Unspent, 1, "%s", row.Name);
}
