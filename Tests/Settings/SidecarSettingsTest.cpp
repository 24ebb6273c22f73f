#include "Settings/SidecarSettings.h"

#include <string>

#include "Settings/Field.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::settings;

namespace {

const std::string Whole = R"([node]
name = "n"
data_centre = "dc"
service = "s"
[callers]
listen = "10.0.0.1:80"
[peers]
listen = "10.0.0.1:81"
[control]
listen = "10.0.0.1:82"
[gossip]
listen = "10.0.0.1:83"
[credit]
listen = "10.0.0.1:84"
[relay]
listen = "10.0.0.1:83"
[health]
listen = "10.0.0.1:85"
[upstream]
address = "10.0.0.1:86"
heartbeat = "870ms"
[store]
address = "10.0.0.2:90"
[limits]
withdrawn_key = "5000ms"
retry_ratio = 0.2
)";

struct FileRow {
  const char *Name;
  const char *From;
  const char *To;
  /// Part of the error; empty if the file is good.
  const char *Error;
};

const FileRow FileRows[] = {
    {"as it is", "", "", ""},
    {"a whole number for a real one", "= 0.2", "= 1", ""},
    {"a time without a unit", "870ms", "870", "upstream.heartbeat"},
    {"a negative time", "870ms", "-1ms", "upstream.heartbeat"},
    {"a name for an address", "10.0.0.2:90", "store:90", "store.address"},
    {"no service", "service = \"s\"\n", "", "node.service is missing"},
    {"an unknown field", "retry_ratio", "retries", "unknown field"},
    {"an unknown table", "[limits]", "[bounds]", "unknown table bounds"},
    {"a ratio above one", "= 0.2", "= 1.5", "limits.retry_ratio"},
    {"too little memory", "retry_ratio", "memory_mb = 63\nretry_ratio",
     "limits.memory_mb"},
    {"a size of memory", "retry_ratio", "memory_mb = 160\nretry_ratio", ""},
    {"no TOML", "[node]", "[node", "sidecar.toml"},
};

struct AbsentRow {
  const char *Name;
  bool HasKeyBound;
  const char *Limits;
  std::size_t Absent;
};

const AbsentRow AbsentRows[] = {
    {"all", true, "account_window = \"5s\"\n", 0},
    {"no window", true, "", 1},
    {"no accounts", false, "", 2},
};

struct OverrideRow {
  const char *Text;
  bool IsValid;
  double NetworkMegabits;
  int HeartbeatMs;
};

const OverrideRow OverrideRows[] = {
    {"", true, 0, 870},
    {"node.network_mbit=10", true, 10, 870},
    {"node.network_mbit=12.5,upstream.heartbeat=500ms", true, 12.5, 500},
    {"node.network_mbit=,upstream.heartbeat=", true, 0, 870},
    {"node.network_mbit=ten", false, 0, 0},
    {"node.other=1", false, 0, 0},
    {"other.network_mbit=1", false, 0, 0},
    {"network_mbit=10", false, 0, 0},
    {"node.network_mbit", false, 0, 0},
};

struct DurationRow {
  const char *Text;
  std::int64_t Nanoseconds;
};

// -1 for a text that is no time.
const DurationRow DurationRows[] = {
    {"1500ms", 1'500'000'000},
    {"2.5s", 2'500'000'000},
    {"0s", 0},
    {"870", -1},
    {"ms", -1},
    {"1 s", -1},
    {"-1s", -1},
    {"1e9s", -1},
    {"nans", -1},
};

} // namespace

ACACIA_TABLE_TEST(SidecarSettings, Reads, FileRows) {
  std::string text = Whole;
  if (row.From[0] != '\0')
    text.replace(text.find(row.From), std::string(row.From).size(), row.To);
  const auto settings = parseSidecarSettings(text, "sidecar.toml");
  const bool isGood = row.Error[0] == '\0';
  cr_assert_eq(settings.has_value(), isGood, "%s", row.Name);
  if (!isGood)
    cr_assert_neq(settings.error().Detail.find(row.Error), std::string::npos,
                  "%s: %s", row.Name, settings.error().Detail.c_str());
}

ACACIA_TABLE_TEST(SidecarSettings, TellsWhatIsOff, AbsentRows) {
  std::string text = Whole + row.Limits;
  if (!row.HasKeyBound)
    text.replace(text.find("withdrawn_key"),
                 std::string("withdrawn_key = \"5000ms\"\n").size(), "");
  const auto settings = parseSidecarSettings(text, "sidecar.toml");
  cr_assert(settings.has_value(), "%s", row.Name);
  cr_assert_eq(settings->Limits.KeyFreshness.has_value(), row.HasKeyBound);
  cr_assert_eq(describeAbsentLimits(settings->Limits).size(), row.Absent, "%s",
               row.Name);
}

ACACIA_TABLE_TEST(SidecarSettings, TakesOverrides, OverrideRows) {
  const auto settings = parseSidecarSettings(Whole, "sidecar.toml", row.Text);
  cr_assert_eq(settings.has_value(), row.IsValid, "%s", row.Text);
  if (!settings)
    return;
  cr_assert_float_eq(settings->Node.NetworkMegabits, row.NetworkMegabits, 1e-9,
                     "%s", row.Text);
  cr_assert_eq(
      settings->Upstream.Heartbeat.count(),
      core::Duration(std::chrono::milliseconds(row.HeartbeatMs)).count(), "%s",
      row.Text);
}

ACACIA_TABLE_TEST(Duration, Parses, DurationRows) {
  const auto parsed = parseDuration(row.Text);
  cr_assert_eq(parsed ? parsed->count() : -1, row.Nanoseconds, "%s", row.Text);
}
