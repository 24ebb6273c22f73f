#include "Upstream/FairQueue.h"

#include <string>
#include <vector>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using std::chrono::milliseconds;

namespace {

struct Pushed {
  char Account;
  Ticket Id;
  ClassIndex Class;
  int CostMilliseconds;
};

struct OrderRow {
  const char *Name;
  std::vector<Pushed> Pushes;
  std::vector<Ticket> Order;
};

const OrderRow OrderRows[] = {
    {"one account is served in FIFO order",
     {{'a', 1, 0, 1}, {'a', 2, 0, 1}, {'a', 3, 0, 1}},
     {1, 2, 3}},
    {"accounts take turns",
     {{'a', 1, 0, 1}, {'a', 2, 0, 1}, {'a', 3, 0, 1}, {'b', 4, 0, 1}},
     {1, 4, 2, 3}},
    {"classes of an account take turns",
     {{'a', 1, 0, 1}, {'a', 2, 0, 1}, {'a', 3, 1, 1}, {'a', 4, 1, 1}},
     {1, 3, 2, 4}},
    {"a costly request takes several turns",
     {{'a', 1, 0, 30},
      {'b', 2, 0, 10},
      {'b', 3, 0, 10},
      {'b', 4, 0, 10},
      {'b', 5, 0, 10}},
     {2, 3, 1, 4, 5}},
};

struct BoundRow {
  const char *Name;
  FairQueueLimits Limits;
  std::string Pushes;
  /// One letter for each push: y if it is accepted, n if it is refused.
  std::string Accepted;
  std::vector<Ticket> Dropped;
};

const BoundRow BoundRows[] = {
    {"limit per account", {2, 10}, "aaab", "yyny", {}},
    {"the account with most requests drops one",
     {10, 4},
     "aaaab",
     "yyyyy",
     {4}},
    {"the account with most requests is refused",
     {10, 4},
     "aaaaa",
     "yyyyn",
     {}},
    {"one of two longest accounts drops a request",
     {10, 4},
     "aabbc",
     "yyyyy",
     {4}},
    {"no drop if all accounts have one request", {10, 2}, "abc", "yyn", {}},
};

} // namespace

ACACIA_TABLE_TEST(FairQueueTest, popsInFairOrder, OrderRows) {
  FairQueue queue = FairQueue::create({}, {}).value();
  for (const Pushed &it : row.Pushes)
    cr_assert(queue.push(std::string(1, it.Account),
                         {it.Id, it.Class, milliseconds(it.CostMilliseconds),
                          core::TimePoint::max()}));
  std::vector<Ticket> order;
  while (const auto id = queue.pop())
    order.push_back(*id);
  std::string seen;
  for (const Ticket id : order)
    seen += std::to_string(id) + " ";
  cr_assert(order == row.Order, "%s: popped %s", row.Name, seen.c_str());
}

ACACIA_TABLE_TEST(FairQueueTest, boundsHold, BoundRows) {
  std::vector<Ticket> dropped;
  FairQueue queue = FairQueue::create(row.Limits, [&](Ticket id) {
                      dropped.push_back(id);
                    }).value();
  for (std::size_t n = 0; n < row.Pushes.size(); ++n) {
    const bool accepted =
        queue.push(std::string(1, row.Pushes[n]),
                   {n + 1, 0, milliseconds(1), core::TimePoint::max()});
    cr_assert_eq(accepted, row.Accepted[n] == 'y', "%s: push %zu", row.Name,
                 n + 1);
    cr_assert_leq(queue.size(), row.Limits.Total);
  }
  cr_assert(dropped == row.Dropped, "%s: dropped requests differ", row.Name);
}
