#include "Holdings/LoadMove.h"

#include "Holdings/KeyPlacement.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::holdings;

namespace {

struct MoveRow {
  const char *Name;
  NodeLoad Own;
  /// Requests a second for each bucket of ten keys, from key 0 on.
  std::vector<double> Rates;
  std::vector<MoveCandidate> Candidates;
  std::vector<LoadMove> Moves;
};

const MoveRow MoveRows[] = {
    {"no move below the overload threshold",
     {0.5, 0.005},
     {50, 50},
     {{"b", {0.0, 0.005}}},
     {}},
    {"no move for a small difference",
     {0.9, 0.005},
     {90, 90},
     {{"b", {0.8, 0.005}}},
     {}},
    {"moves to the least loaded candidate",
     {1.2, 0.01},
     {60, 20, 38},
     {{"b", {0.9, 0.01}}, {"c", {0.4, 0.01}}},
     {{{20, 29}, "c", 0.38}}},
    {"moves a neighbour of a hot bucket, not the bucket",
     {1.3, 0.01},
     {0, 15, 100, 15, 0},
     {{"b", {0.1, 0.01}}},
     {{{10, 19}, "b", 0.15}}},
    {"no move from a single hot bucket",
     {1.3, 0.01},
     {0, 0, 130},
     {{"b", {0.1, 0.01}}},
     {}},
    {"spreads a hot range over as many targets as needed",
     {2.0, 0.01},
     {35, 35, 35, 35, 35},
     {{"b", {0.1, 0.01}},
      {"c", {0.1, 0.01}},
      {"d", {0.1, 0.01}},
      {"e", {0.1, 0.01}},
      {"f", {0.1, 0.01}}},
     {{{0, 9}, "b", 0.35},
      {{10, 19}, "c", 0.35},
      {{20, 29}, "d", 0.35},
      {{30, 39}, "e", 0.35}}},
    {"no candidates", {1.3, 0.01}, {60, 70}, {}, {}},
};

struct HotRow {
  const char *Name;
  /// Utilization of the overloaded node, and the buckets that bring it.
  double Utilization;
  std::size_t Buckets;
  std::size_t Candidates;
  /// Utilization that the moves must not exceed on any target.
  double MaxTarget;
};

// One hundred nodes at a third of their capacity.
const HotRow HotRows[] = {
    {"twice the capacity on 15 buckets", 2, 15, 100, 1},
    {"14 times the capacity on 15 buckets", 14, 15, 100, 1.3},
    {"14 times the capacity on 50 buckets", 14, 50, 100, 1},
    {"few candidates", 14, 50, 5, 3},
};

struct SubtractRow {
  const char *Name;
  KeyRange Range;
  std::vector<KeyRange> Taken;
  std::vector<KeyRange> Left;
};

const SubtractRow SubtractRows[] = {
    {"nothing taken", {0, 9}, {}, {{0, 9}}},
    {"all taken", {0, 9}, {{0, 9}}, {}},
    {"the middle", {0, 9}, {{3, 5}}, {{0, 2}, {6, 9}}},
    {"both ends", {0, 9}, {{0, 1}, {8, 12}}, {{2, 7}}},
    {"outside the range", {0, 9}, {{10, 20}}, {{0, 9}}},
    {"overlapping ranges", {0, 9}, {{2, 5}, {4, 7}}, {{0, 1}, {8, 9}}},
};

struct SpreadRow {
  const char *Name;
  std::vector<Holding> Free;
  std::vector<Holding> Rows;
  /// Numbers of keys of a, b and c afterwards.
  std::vector<Key> Keys;
};

Holding held(Key from, Key to, std::string node) {
  return {{from, to}, std::move(node), {"u", 1}, 1, {}};
}

const SpreadRow SpreadRows[] = {
    {"evenly over empty nodes", {held(0, 299, "")}, {}, {100, 100, 100}},
    {"more keys to nodes with fewer",
     {held(0, 99, "")},
     {held(100, 199, "a")},
     {100, 50, 50}},
    {"several free ranges",
     {held(0, 9, ""), held(20, 29, "")},
     {held(10, 19, "b")},
     {10, 10, 10}},
};

} // namespace

ACACIA_TABLE_TEST(LoadMove, Plans, MoveRows) {
  KeyedLoad load{row.Own, row.Rates, 10};
  const KeyRange own[] = {{0, static_cast<Key>(row.Rates.size()) * 10 - 1}};
  const auto moves = planLoadMoves(load, own, row.Candidates);
  cr_assert_eq(moves.size(), row.Moves.size(), "%s: %zu", row.Name,
               moves.size());
  for (std::size_t n = 0; n < moves.size(); ++n) {
    cr_assert_eq(moves[n].Target, row.Moves[n].Target, "%s", row.Name);
    cr_assert_float_eq(moves[n].AddedUtilization, row.Moves[n].AddedUtilization,
                       1e-9, "%s", row.Name);
    cr_assert(moves[n].Keys == row.Moves[n].Keys, "%s: [%u,%u]", row.Name,
              moves[n].Keys.From, moves[n].Keys.To);
  }
}

// Keys that become hot together are spread at once, not over several rounds.
ACACIA_TABLE_TEST(LoadMove, SpreadsHotKeys, HotRows) {
  constexpr double Cost = 0.056;
  constexpr double Idle = 0.33;
  KeyedLoad load{{row.Utilization, Cost}, {}, 4};
  load.Rates.assign(row.Buckets,
                    row.Utilization / Cost / static_cast<double>(row.Buckets));
  const KeyRange own[] = {{0, static_cast<Key>(row.Buckets) * 4 - 1}};
  std::vector<MoveCandidate> candidates;
  for (std::size_t n = 0; n < row.Candidates; ++n)
    candidates.push_back({std::to_string(n), {Idle, Cost}});
  double left = row.Utilization;
  for (const LoadMove &it : planLoadMoves(load, own, candidates)) {
    cr_assert_leq(Idle + it.AddedUtilization, row.MaxTarget, "%s: %f", row.Name,
                  Idle + it.AddedUtilization);
    left -= it.AddedUtilization;
  }
  cr_assert_leq(left, std::max(1.0, row.Utilization / 2), "%s: %f left",
                row.Name, left);
}

ACACIA_TABLE_TEST(KeyPlacement, Subtracts, SubtractRows) {
  cr_assert(subtract(row.Range, row.Taken) == row.Left, "%s", row.Name);
}

ACACIA_TABLE_TEST(KeyPlacement, Spreads, SpreadRows) {
  std::vector<Member> members;
  for (const char *it : {"a", "b", "c"}) {
    members.emplace_back();
    members.back().Record.Name = it;
    members.back().Record.Process = {"u", 1};
  }
  std::vector<const Member *> recipients;
  recipients.reserve(members.size());
  for (const Member &it : members)
    recipients.push_back(&it);
  std::vector<Holding> rows = row.Rows;
  for (Holding &it : distributeKeys(row.Free, row.Rows, recipients, 7)) {
    cr_assert_eq(it.Token, 7U);
    rows.push_back(std::move(it));
  }
  for (std::size_t n = 0; n < members.size(); ++n)
    cr_assert_eq(countKeys(rows, members[n].Record.Name), row.Keys[n], "%s",
                 row.Name);
}
