#include "Accounts/TokenBucket.h"

#include <cmath>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::accounts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct RateRow {
  const char *Name;
  AccountRate Rate;
  bool IsValid;
};

const RateRow RateRows[] = {
    {"valid rate", {10, 5}, true},
    {"no refill", {0, 5}, true},
    {"negative rate", {-1, 5}, false},
    {"burst below one request", {10, 0.5}, false},
    {"NaN rate", {std::nan(""), 5}, false},
    {"infinite rate", {INFINITY, 5}, false},
    {"burst above the maximum", {10, 1e18}, false},
};

struct FillRow {
  const char *Name;
  AccountRate Rate;
  core::Duration Elapsed;
  std::uint32_t Reserved;
  std::uint32_t Available;
};

const FillRow FillRows[] = {
    {"starts empty", {10, 5}, {}, 0, 0},
    {"less than one token", {10, 5}, milliseconds(99), 0, 0},
    {"one token", {10, 5}, milliseconds(100), 0, 1},
    {"up to the burst", {10, 5}, seconds(100), 0, 5},
    {"up to the burst minus the reserve", {10, 5}, seconds(100), 3, 2},
    {"all capacity reserved", {10, 5}, seconds(100), 5, 0},
    {"clock goes backwards", {10, 5}, -seconds(1), 0, 0},
    {"refill over years",
     {1e6, 1e9},
     std::chrono::hours(100'000),
     0,
     1'000'000'000},
};

} // namespace

ACACIA_TABLE_TEST(TokenBucketTest, checksItsRate, RateRows) {
  cr_assert_eq(TokenBucket::create(row.Rate, {}).has_value(), row.IsValid, "%s",
               row.Name);
}

ACACIA_TABLE_TEST(TokenBucketTest, fillsUpToItsRoom, FillRows) {
  const core::TimePoint start(seconds(10));
  TokenBucket bucket = TokenBucket::create(row.Rate, start).value();
  bucket.addReserved(row.Reserved);
  bucket.refill(start + row.Elapsed);
  cr_assert_eq(bucket.available(), row.Available, "%s: %u tokens available",
               row.Name, bucket.available());
}
