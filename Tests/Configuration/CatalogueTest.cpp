#include "Configuration/Catalogue.h"

#include <optional>

#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::configuration;
using namespace acaciaroad::tests;

namespace {

constexpr std::optional<core::ErrorKind> Accepted;
constexpr std::optional<core::ErrorKind> Stale = core::ErrorKind::Conflict;
constexpr std::optional<core::ErrorKind> Invalid =
    core::ErrorKind::InvalidArgument;

struct Step {
  ConfigurationRecord Record;
  std::optional<core::ErrorKind> Verdict;
};

struct FoldRow {
  const char *Name;
  /// The record at index n has offset n and sets version n + 1.
  std::vector<Step> Steps;
};

const FoldRow FoldRows[] = {
    {"a change needs the current version as its basis",
     {{classSet(0, "a", "/a"), Accepted},
      {classSet(1, "a", "/b"), Accepted},
      {classSet(1, "a", "/c"), Stale},
      {classSet(2, "a", "/c"), Accepted}}},
    {"a duplicate record is rejected",
     {{accountSet(0, "x"), Accepted},
      {accountSet(0, "x"), Stale},
      {accountSet(1, "x", 5), Accepted},
      {accountSet(1, "x", 5), Stale}}},
    {"a delayed duplicate does not restore a removed item",
     {{classSet(0, "a", "/a"), Accepted},
      {classRemoved(1, "a"), Accepted},
      {classSet(0, "a", "/a"), Stale},
      {classRemoved(1, "a"), Stale},
      {classSet(2, "a", "/a"), Accepted}}},
    {"a basis in the future is rejected",
     {{accountSet(9, "x"), Stale}, {accountSet(0, "x"), Accepted}}},
    {"a path prefix belongs to one class at a time",
     {{classSet(0, "a", "/a"), Accepted},
      {classSet(0, "b", "/a"), Invalid},
      {classSet(1, "a", "/c"), Accepted},
      {classSet(0, "b", "/a"), Accepted}}},
    {"a key needs its account and a unique id",
     {{keyGranted(0, "k1", "x"), Stale},
      {accountSet(0, "x"), Accepted},
      {keyGranted(2, "k1", "x"), Accepted},
      {keyGranted(3, "k1", "x"), Stale},
      {keyWithdrawn("k1"), Accepted},
      {keyWithdrawn("k1"), Stale},
      {keyGranted(2, "k1", "x"), Stale}}},
    {"a key is not granted for an account that was replaced",
     {{accountSet(0, "x"), Accepted},
      {accountRemoved(1, "x"), Accepted},
      {accountSet(2, "x"), Accepted},
      {keyGranted(1, "k1", "x"), Stale},
      {keyGranted(3, "k1", "x"), Accepted}}},
};

std::optional<core::ErrorKind> kindOf(const core::Result<void> &result) {
  if (result)
    return std::nullopt;
  return result.error().Kind;
}

} // namespace

ACACIA_TABLE_TEST(CatalogueTest, foldsRecords, FoldRows) {
  Catalogue catalogue;
  for (std::size_t n = 0; n < row.Steps.size(); ++n) {
    const Step &step = row.Steps[n];
    const auto expected = kindOf(catalogue.validate(step.Record));
    const auto verdict = kindOf(catalogue.apply(step.Record, n));
    cr_assert(verdict == step.Verdict, "%s: step %zu", row.Name, n);
    cr_assert(verdict == expected, "%s: validate at step %zu", row.Name, n);
  }
}

// A reader that starts from a checkpoint at any point of the log must accept
// the same records and reach the same state as a reader of the whole log.
ACACIA_TABLE_TEST(CatalogueTest, checkpointThenLogEqualsLog, FoldRows) {
  Catalogue whole;
  for (std::size_t n = 0; n < row.Steps.size(); ++n)
    whole.apply(row.Steps[n].Record, n);
  for (std::size_t cut = 0; cut <= row.Steps.size(); ++cut) {
    Catalogue first;
    for (std::size_t n = 0; n < cut; ++n)
      first.apply(row.Steps[n].Record, n);
    auto second = Catalogue::fromSnapshot(first.snapshot());
    cr_assert(second.has_value(), "%s", row.Name);
    // Reads the log from its start; records before the checkpoint are stale.
    for (std::size_t n = 0; n < row.Steps.size(); ++n) {
      const auto verdict = kindOf((*second)->apply(row.Steps[n].Record, n));
      cr_assert(verdict == (n < cut ? Stale : row.Steps[n].Verdict), "%s",
                row.Name);
    }
    cr_assert((*second)->snapshot() == whole.snapshot(), "%s", row.Name);
  }
}

namespace {

struct PathRow {
  const char *Path;
  const char *Class;
  core::ErrorKind Error = core::ErrorKind::Internal;
};

const PathRow PathRows[] = {
    {"/q", "q"},
    {"/q/17/next", "q"},
    {"/q/admin", "admin"},
    {"/q/admin/x", "admin"},
    {"/q/administrator", "q"},
    {"/%71/17", "q"},
    {"/q/%61dmin", "admin"},
    {"/q%2Fadmin", nullptr, core::ErrorKind::UnknownClass},
    {"/quota", nullptr, core::ErrorKind::UnknownClass},
    {"/", nullptr, core::ErrorKind::UnknownClass},
    {"/x/../q", nullptr, core::ErrorKind::MalformedRequest},
    {"/q/%2e%2E/admin", nullptr, core::ErrorKind::MalformedRequest},
    {"/q/./admin", nullptr, core::ErrorKind::MalformedRequest},
    {"/q/%zz", nullptr, core::ErrorKind::MalformedRequest},
    {"q", nullptr, core::ErrorKind::MalformedRequest},
    {"", nullptr, core::ErrorKind::MalformedRequest},
};

} // namespace

ACACIA_TABLE_TEST(CatalogueTest, findsLongestPrefix, PathRows) {
  Catalogue catalogue;
  catalogue.apply(classSet(0, "q", "/q"), 0);
  catalogue.apply(classSet(0, "admin", "/q/admin"), 1);
  const auto found = catalogue.findClass(row.Path);
  if (row.Class) {
    cr_assert(found.has_value(), "%s", row.Path);
    cr_assert((*found)->Name == row.Class, "%s", row.Path);
  } else {
    cr_assert(!found.has_value(), "%s", row.Path);
    cr_assert(found.error().Kind == row.Error, "%s", row.Path);
  }
}

namespace {

struct BearerRow {
  const char *Bearer;
  const char *Account;
  core::ErrorKind Error = core::ErrorKind::KeyUnknown;
};

const std::string LongBearer = "k1.secret-of-k1" + std::string(400, 'x');

const BearerRow BearerRows[] = {
    {"k1.secret-of-k1", "x"},
    {"k2.secret-of-k1", nullptr},
    {"k1.secret-of-k2", nullptr},
    {"k1.", nullptr},
    {"k1", nullptr},
    {".secret-of-k1", nullptr},
    {"k1.secret-of-k1 ", nullptr},
    {"withdrawn.secret-of-withdrawn", nullptr},
    {"inherited.secret-of-inherited", nullptr},
    {LongBearer.c_str(), nullptr},
    {"", nullptr, core::ErrorKind::KeyMissing},
};

} // namespace

ACACIA_TABLE_TEST(CatalogueTest, authenticates, BearerRows) {
  Catalogue catalogue;
  catalogue.apply(accountSet(0, "x"), 0);
  catalogue.apply(keyGranted(1, "k1", "x"), 1);
  catalogue.apply(keyGranted(1, "withdrawn", "x"), 2);
  catalogue.apply(keyWithdrawn("withdrawn"), 3);
  catalogue.apply(accountSet(0, "y"), 4);
  catalogue.apply(keyGranted(5, "inherited", "y"), 5);
  catalogue.apply(accountRemoved(5, "y"), 6);
  catalogue.apply(accountSet(7, "y"), 7);
  const auto account = catalogue.authenticate(row.Bearer);
  if (row.Account) {
    cr_assert(account.has_value(), "%s", row.Bearer);
    cr_assert((*account)->Name == row.Account, "%s", row.Bearer);
  } else {
    cr_assert(!account.has_value(), "%s", row.Bearer);
    cr_assert(account.error().Kind == row.Error, "%s", row.Bearer);
  }
}

Test(CatalogueTest, publishedCopyDoesNotChange) {
  Catalogue catalogue;
  catalogue.apply(accountSet(0, "x", 5), 0);
  const Catalogue published = catalogue;
  catalogue.apply(accountSet(1, "x", 9), 1);
  catalogue.apply(accountSet(0, "y"), 2);
  cr_assert(published.findAccount("x")->RatePerSecond == 5);
  cr_assert_null(published.findAccount("y"));
  cr_assert(catalogue.findAccount("x")->RatePerSecond == 9);
}

Test(CatalogueTest, historyAndRemovalsAreBounded) {
  Catalogue catalogue;
  core::Offset offset = 0;
  const std::size_t rounds = Catalogue::MaxRemovals + 100;
  for (std::size_t n = 0; n < rounds; ++n) {
    const std::string name = "c" + std::to_string(n);
    cr_assert(catalogue.apply(classSet(offset, name, "/a"), offset));
    cr_assert(catalogue.apply(classRemoved(offset + 1, name), offset + 1));
    offset += 2;
  }
  const CatalogueSnapshot snapshot = catalogue.snapshot();
  cr_assert_eq(snapshot.History.size(), Catalogue::MaxHistory);
  cr_assert_eq(snapshot.Removals.size(), Catalogue::MaxRemovals);
  // The tombstone of c0 was dropped, but its first record is still too old.
  cr_assert(!catalogue.apply(classSet(0, "c0", "/a"), offset));
  cr_assert(catalogue.apply(classSet(offset, "c0", "/a"), offset + 1));
}
