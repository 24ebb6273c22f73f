#include "Configuration/Validation.h"

#include <cmath>
#include <limits>

#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::configuration;
using namespace acaciaroad::tests;

namespace {

struct ClassRow {
  /// Name of the rejected field; null if the class is valid.
  const char *Field;
  void (*Edit)(WorkClass &);
};

using std::chrono::milliseconds;

const ClassRow ClassRows[] = {
    {nullptr, [](WorkClass &) {}},
    {nullptr, [](WorkClass &it) { it.PathPrefix = "/"; }},
    {"name", [](WorkClass &it) { it.Name = ""; }},
    {"name", [](WorkClass &it) { it.Name = "A b"; }},
    {"name", [](WorkClass &it) { it.Name = std::string(65, 'a'); }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "q"; }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "/q/"; }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "/q//r"; }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "/q/../r"; }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "/q%41"; }},
    {"path_prefix", [](WorkClass &it) { it.PathPrefix = "/q?x"; }},
    {"service", [](WorkClass &it) { it.Service = ""; }},
    {"key", [](WorkClass &it) { it.Key = static_cast<KeySource>(9); }},
    {"key_name", [](WorkClass &it) { it.Key = KeySource::Header; }},
    {"key_name", [](WorkClass &it) { it.KeyName = "unused"; }},
    {"execution",
     [](WorkClass &it) { it.ExecutionMode = static_cast<Execution>(2); }},
    {"deadline_ms", [](WorkClass &it) { it.Deadline = milliseconds(0); }},
    {"deadline_ms", [](WorkClass &it) { it.Deadline = milliseconds(600'001); }},
    {"latency_target_ms",
     [](WorkClass &it) { it.LatencyTarget = milliseconds(1001); }},
    {"availability_ppm", [](WorkClass &it) { it.AvailabilityPpm = 1'000'001; }},
    {"body_limit_bytes",
     [](WorkClass &it) {
       it.BodyLimitBytes = std::numeric_limits<std::uint64_t>::max();
     }},
};

struct AccountRow {
  const char *Field;
  double Rate;
  double Burst;
};

const AccountRow AccountRows[] = {
    {nullptr, 0, 0},
    {nullptr, 10, 1},
    {"rate_per_second", -1, 1},
    {"rate_per_second", std::nan(""), 1},
    {"rate_per_second", std::numeric_limits<double>::infinity(), 1},
    {"burst", 10, 0.5},
    {"burst", 10, std::nan("")},
};

struct KeyRow {
  const char *Field;
  void (*Edit)(KeyGranted &);
};

const KeyRow KeyRows[] = {
    {nullptr, [](KeyGranted &) {}},
    {"change_id", [](KeyGranted &it) { it.Origin.ChangeId = 0; }},
    {"operator", [](KeyGranted &it) { it.Origin.Operator = ""; }},
    {"operator", [](KeyGranted &it) { it.Origin.Operator = "\xff"; }},
    {"key_id", [](KeyGranted &it) { it.KeyId = "a.b"; }},
    {"account", [](KeyGranted &it) { it.Account = ""; }},
    {"salt", [](KeyGranted &it) { it.Salt = "short"; }},
    {"hash", [](KeyGranted &it) { it.Hash += "x"; }},
};

void assertField(const core::Result<void> &result, const char *field) {
  if (!field) {
    cr_assert(result.has_value());
    return;
  }
  cr_assert(!result.has_value(), "%s", field);
  cr_assert(result.error().Kind == core::ErrorKind::InvalidArgument);
  cr_assert(result.error().Detail == field, "%s", field);
}

} // namespace

ACACIA_TABLE_TEST(ValidationTest, checksClasses, ClassRows) {
  ClassSet record = classSet(0, "a", "/a");
  row.Edit(record.Value);
  assertField(validateFields(record), row.Field);
}

ACACIA_TABLE_TEST(ValidationTest, checksAccounts, AccountRows) {
  AccountSet record = accountSet(0, "x");
  record.Value.RatePerSecond = row.Rate;
  record.Value.Burst = row.Burst;
  assertField(validateFields(record), row.Field);
}

ACACIA_TABLE_TEST(ValidationTest, checksKeys, KeyRows) {
  KeyGranted record = keyGranted(0, "k", "x");
  row.Edit(record);
  assertField(validateFields(record), row.Field);
}
