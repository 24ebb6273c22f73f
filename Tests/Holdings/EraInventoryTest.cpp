#include "Holdings/EraInventory.h"

#include <string>
#include <vector>

#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingAgent.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::holdings;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// "FROM-TO:NODE:TOKEN" for each row, separated by spaces.
std::string describe(std::span<const Holding> rows) {
  std::string out;
  for (const Holding &it : rows) {
    out += out.empty() ? "" : " ";
    out += std::to_string(it.Keys.From) + "-" + std::to_string(it.Keys.To) +
           ":" + it.Node + ":" + std::to_string(it.Token);
  }
  return out;
}

Holding row(Key from, Key to, const char *node, FencingToken token) {
  return {{from, to}, node, {"u", 1}, token, {}};
}

struct RowsRow {
  const char *Name;
  std::vector<HoldingPart> Parts;
  /// Of one node each.
  std::vector<std::vector<Holding>> Claims;
  const char *Rows;
  bool IsWhole;
};

const RowsRow RowsRows[] = {
    {"nothing", {}, {}, "", false},
    {"two claims",
     {},
     {{row(0, 9, "a", 3)}, {row(10, 65535, "b", 4)}},
     "0-9:a:3 10-65535:b:4",
     true},
    {"a key is missing",
     {},
     {{row(0, 9, "a", 3)}, {row(11, 65535, "b", 4)}},
     "0-9:a:3 11-65535:b:4",
     false},
    {"a change wins over a claim",
     {{0, {row(5, 6, "c", 9)}}},
     {{row(0, 65535, "a", 3)}},
     "0-4:a:3 5-6:c:9 7-65535:a:3",
     true},
    {"a change wins over all of a claim",
     {{0, {row(0, 1023, "c", 9)}}},
     {{row(100, 200, "a", 3)}},
     "0-1023:c:9",
     false},
    {"claims around several changes",
     {{0, {row(0, 1, "c", 9), row(4, 5, "d", 9)}}},
     {{row(1, 4, "a", 3)}, {row(5, 7, "b", 3)}},
     "0-1:c:9 2-3:a:3 4-5:d:9 6-7:b:3",
     false},
    {"of overlapping claims, the higher token",
     {},
     {{row(0, 9, "a", 3)}, {row(0, 9, "b", 4)}},
     "0-9:b:4",
     false},
};

struct AssignRow {
  const char *Name;
  core::LogEra Era;
  core::Duration Age;
  bool IsWhole;
  AssignableKeys Keys;
};

const AssignRow AssignRows[] = {
    {"no restoration", 0, {}, false, AssignableKeys::All},
    {"a new era", 1, {}, false, AssignableKeys::None},
    {"all keys are claimed", 1, {}, true, AssignableKeys::All},
    {"leases of earlier eras may last", 1, NodeLease, false,
     AssignableKeys::None},
    {"they may on a slow clock", 1, NodeLapseTimeout, false,
     AssignableKeys::None},
    {"no lease of an earlier era lasts", 1, NodeLapseTimeout + milliseconds(1),
     false, AssignableKeys::Orphans},
    {"the same, all claimed", 1, NodeLapseTimeout + milliseconds(1), true,
     AssignableKeys::All},
};

struct ClaimRow {
  const char *Name;
  std::vector<KeyRange> Withheld;
  /// Of the lease, when the era is seen.
  core::Duration Left;
  const char *Rows;
};

const ClaimRow ClaimRows[] = {
    {"all keys", {}, seconds(1), "0-9:a:3"},
    {"without withheld ones", {{2, 3}}, seconds(1), "0-1:a:3 4-9:a:3"},
    {"the lease ends now", {}, {}, ""},
    {"the lease has ended", {}, -seconds(1), ""},
};

} // namespace

ACACIA_TABLE_TEST(EraInventory, CombinesChangesAndClaims, RowsRows) {
  EraInventory inventory;
  // The order in the log must not matter.
  for (const bool claimsFirst : {true, false}) {
    for (std::size_t n = 0; claimsFirst && n < row.Claims.size(); ++n)
      inventory.applyClaim(std::to_string(n), row.Claims[n]);
    for (const HoldingPart &it : row.Parts)
      inventory.applyPart(it);
    for (std::size_t n = row.Claims.size(); !claimsFirst && n-- > 0;)
      inventory.applyClaim(std::to_string(n), row.Claims[n]);
    const std::string rows = describe(inventory.rows());
    cr_assert_str_eq(rows.c_str(), row.Rows, "%s: %s", row.Name, rows.c_str());
    cr_assert_eq(inventory.isWhole(), row.IsWhole, "%s", row.Name);
    inventory = {};
  }
}

ACACIA_TABLE_TEST(EraInventory, WaitsForClaims, AssignRows) {
  EraInventory inventory;
  if (row.IsWhole)
    inventory.applyClaim("a", {::row(0, KeyCount - 1, "a", 3)});
  const TimePoint since{seconds(100)};
  cr_assert(assignableKeys(row.Era, since, inventory, since + row.Age) ==
                row.Keys,
            "%s", row.Name);
}

ACACIA_TABLE_TEST(EraInventory, ClaimsWhatMayBeGranted, ClaimRows) {
  const TimePoint now{seconds(100)};
  const Holding own[] = {::row(0, 9, "a", 3)};
  const std::string rows =
      describe(claimableRows(own, row.Withheld, now + row.Left, now));
  cr_assert_str_eq(rows.c_str(), row.Rows, "%s: %s", row.Name, rows.c_str());
}

// Requests reach the holders of an earlier era until there are claims.
Test(FleetLedger, RoutesByEarlierErasUntilKeysAreClaimed) {
  FleetLedger ledger;
  ledger.applyHoldings("s", {0, {row(0, 99, "a", 3), row(100, 199, "b", 4)}});
  ledger.enterEra(1, TimePoint{});
  cr_assert(ledger.holdingsOf("s").empty());
  cr_assert_eq(describe(ledger.routingRowsOf("s")), "0-99:a:3 100-199:b:4");
  ledger.applyClaim({"b", "s", {row(50, 199, "b", 9)}});
  cr_assert_eq(describe(ledger.holdingsOf("s")), "50-199:b:9");
  ledger.enterEra(2, TimePoint{});
  cr_assert_eq(describe(ledger.routingRowsOf("s")), "0-49:a:3 50-199:b:9");
}

Test(FleetLedger, TokensRiseOverEras) {
  FleetLedger ledger;
  ledger.setEnd(500);
  cr_assert_eq(ledger.nextToken(), 501U);
  const FencingToken before = ledger.nextToken();
  ledger.enterEra(1, TimePoint{});
  cr_assert_gt(ledger.nextToken(), before);
  constexpr FencingToken JsonLimit = FencingToken{1} << 53U;
  cr_assert_lt(makeToken(8191, (core::Offset{1} << 40U) - 2), JsonLimit);
}
