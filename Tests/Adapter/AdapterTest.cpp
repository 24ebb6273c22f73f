#include <string>

#include <fmt/format.h>

#include "Adapter/Headers.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::adapter;
using std::chrono::milliseconds;

namespace {

const std::string RouteText =
    R"({"name":"r","host":"h.example","pathPrefix":"/p/","kind":"safe",)"
    R"("timeout":"500ms","latencySlo":"0.2s","priority":2,"service":"s",)"
    R"("maxAttempts":2,"public":false})";
const std::string ServiceText =
    R"({"name":"s","healthPath":"/healthz","maxConnections":120,)"
    R"("coldStart":"3s","coldPerS":38.0,"sharded":true,"warmup":"2s"})";

std::string configuration(const std::string &route,
                          const std::string &version = "\"0000000c\"") {
  return R"({"version":)" + version + R"(,"routes":[)" + route +
         R"(],"services":[)" + ServiceText +
         R"(],"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":44,)"
         R"("burst":50}],"limits":{"idleTimeout":"15000ms"}})";
}

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  const auto at = text.find(from);
  return text.replace(at, from.size(), to);
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

struct ConfigurationRow {
  const char *Name;
  std::string Text;
  bool IsValid;
};

const ConfigurationRow ConfigurationRows[] = {
    {"as in the specification", configuration(RouteText), true},
    {"a traffic split",
     configuration(replaced(RouteText, R"("service":"s")",
                            R"("trafficSplit":[{"service":"s","weight":9},)"
                            R"({"service":"t","weight":1}])")),
     true},
    {"an unknown field",
     configuration(replaced(RouteText, "{", R"({"new":[1],)")), true},
    {"malformed JSON", "{\"version\":", false},
    {"an array instead of an object", "[]", false},
    {"a version that isn't hexadecimal", configuration(RouteText, "\"x\""),
     false},
    {"a version of another type", configuration(RouteText, "12"), false},
    {"an empty kind", configuration(replaced(RouteText, "\"safe\"", "\"\"")),
     false},
    {"a duration without a unit",
     configuration(replaced(RouteText, "\"500ms\"", "\"500\"")), false},
    {"no timeout",
     configuration(replaced(RouteText, R"("timeout":"500ms",)", "")), false},
    {"a priority of 2^32",
     configuration(
         replaced(RouteText, "\"priority\":2", "\"priority\":4294967296")),
     false},
    {"a negative priority",
     configuration(replaced(RouteText, "\"priority\":2", "\"priority\":-1")),
     false},
    {"attempts of 2^32",
     configuration(replaced(RouteText, "\"maxAttempts\":2",
                            "\"maxAttempts\":4294967296")),
     false},
    {"a weight that overflows a double",
     configuration(
         replaced(RouteText, R"("service":"s")",
                  R"("trafficSplit":[{"service":"s","weight":1e999}])")),
     false},
    {"a weight that overflows a sum",
     configuration(
         replaced(RouteText, R"("service":"s")",
                  R"("trafficSplit":[{"service":"s","weight":1e308}])")),
     false},
    {"connections of 2^32",
     replaced(configuration(RouteText), ":120", ":4294967296"), false},
    {"negative connections", replaced(configuration(RouteText), ":120", ":-1"),
     false},
    {"a cold rate that overflows",
     replaced(configuration(RouteText), ":38.0", ":1e300"), false},
    {"a negative cold rate",
     replaced(configuration(RouteText), ":38.0", ":-1.0"), false},
    {"an account's rate that overflows",
     replaced(configuration(RouteText), ":44", ":1e300"), false},
    {"a negative burst", replaced(configuration(RouteText), ":50", ":-50"),
     false},
    {"a header limit of 2^32",
     replaced(configuration(RouteText), R"("idleTimeout":)",
              R"("maxHeaderBytes":4294967296,"idleTimeout":)"),
     false},
    {"a negative body limit",
     replaced(configuration(RouteText), R"("idleTimeout":)",
              R"("maxBodyBytes":-1,"idleTimeout":)"),
     false},
    {"a timeout that overflows",
     configuration(replaced(RouteText, "500ms", "1e300s")), false},
    {"API keys as a string",
     replaced(configuration(RouteText), R"(["k"])", R"("k")"), false},
    {"arrays nested too deep",
     configuration(
         replaced(RouteText, "{", R"({"new":)" + nested(100'000) + ",")),
     false},
    {"a number as a string",
     configuration(replaced(RouteText, "\"priority\":2", "\"priority\":\"2\"")),
     false},
};

const std::string HeartbeatText =
    R"({"address":"10.1.0.9:8080","born":17,"info":{"service":"s",)"
    R"("version":"v1","zone":"here","slots":12},"status":{"state":"ready",)"
    R"("seq":4,"coldRemaining":"1.5s"},"holds":[[0,9,7]],)"
    R"("freed":[[10,19,"abc"]]})";

struct HeartbeatRow {
  const char *Name;
  std::string Text;
  bool IsValid;
};

const HeartbeatRow HeartbeatRows[] = {
    {"as in the specification", HeartbeatText, true},
    {"without keys",
     replaced(replaced(HeartbeatText, R"("holds":[[0,9,7]],)", ""),
              R"("freed":[[10,19,"abc"]])", R"("other":1)"),
     true},
    {"draining", replaced(HeartbeatText, "ready", "draining"), true},
    {"malformed JSON", "\x01\x02", false},
    {"no process start time", replaced(HeartbeatText, R"("born":17,)", ""),
     false},
    {"a process start time of another type",
     replaced(HeartbeatText, "17", "\"17\""), false},
    {"an unknown state", replaced(HeartbeatText, "ready", "asleep"), false},
    {"no sequence", replaced(HeartbeatText, R"("seq":4,)", ""), false},
    {"slots of another type", replaced(HeartbeatText, "12", "\"12\""), false},
    {"keys out of range", replaced(HeartbeatText, "[0,9,7]", "[0,70000,7]"),
     false},
    {"keys of another type", replaced(HeartbeatText, "[0,9,7]", "[0,\"9\",7]"),
     false},
    {"an address with a host name", replaced(HeartbeatText, "10.1.0.9", "host"),
     false},
    {"the highest port", replaced(HeartbeatText, ":8080", ":65535"), true},
    {"no port", replaced(HeartbeatText, ":8080", ":0"), false},
    {"a port out of range", replaced(HeartbeatText, ":8080", ":65536"), false},
    {"a port far out of range",
     replaced(HeartbeatText, ":8080", ":18446744073709551617"), false},
    {"a negative port", replaced(HeartbeatText, ":8080", ":-1"), false},
    {"the unspecified IPv4 address",
     replaced(HeartbeatText, "10.1.0.9", "0.0.0.0"), false},
    {"the unspecified IPv6 address",
     replaced(HeartbeatText, "10.1.0.9", "[::]"), false},
    {"the broadcast address",
     replaced(HeartbeatText, "10.1.0.9", "255.255.255.255"), false},
    {"a multicast address", replaced(HeartbeatText, "10.1.0.9", "224.0.0.1"),
     false},
    {"a NUL character in the address",
     replaced(HeartbeatText, "10.1.0.9", "10.1.0.9\\u0000"), false},
    {"a negative process start time", replaced(HeartbeatText, "17", "-5"),
     false},
    {"a process start time of 2^63-1",
     replaced(HeartbeatText, "17", "9223372036854775807"), false},
    {"a process start time of 2^64-1",
     replaced(HeartbeatText, "17", "18446744073709551615"), false},
    {"a process start time in microseconds",
     replaced(HeartbeatText, "17", "1792427007160000"), false},
    {"a process start time that overflows a double",
     replaced(HeartbeatText, "17", "1e999"), false},
    {"a fractional process start time", replaced(HeartbeatText, "17", "17.5"),
     false},
    {"a sequence of 2^63-1",
     replaced(HeartbeatText, R"("seq":4)", R"("seq":9223372036854775807)"),
     false},
    {"a sequence of 2^64-1",
     replaced(HeartbeatText, R"("seq":4)", R"("seq":18446744073709551615)"),
     false},
    {"a negative sequence",
     replaced(HeartbeatText, R"("seq":4)", R"("seq":-1)"), false},
    {"slots of 2^32", replaced(HeartbeatText, ":12", ":4294967296"), false},
    {"slots of 2^32-1", replaced(HeartbeatText, ":12", ":4294967295"), false},
    {"slots of 10^18", replaced(HeartbeatText, ":12", ":1000000000000000000"),
     false},
    {"slots of 2^64-1", replaced(HeartbeatText, ":12", ":18446744073709551615"),
     false},
    {"negative slots", replaced(HeartbeatText, ":12", ":-1"), false},
    {"a cold start of thousands of years",
     replaced(HeartbeatText, "1.5s", "1e12s"), false},
    {"keys as an object",
     replaced(HeartbeatText, R"([[0,9,7]])", R"({"a":[0,9,7]})"), false},
    {"keys as a string", replaced(HeartbeatText, R"([[0,9,7]])", R"("0")"),
     false},
    {"freed keys as an object",
     replaced(HeartbeatText, R"([[10,19,"abc"]])", R"({"a":[10,19,"abc"]})"),
     false},
    {"a handover above the size limit",
     replaced(HeartbeatText, "abc", std::string(100'000, 'a')), false},
    {"arrays of a usual depth",
     replaced(HeartbeatText, "{", R"({"more":)" + nested(20) + ","), true},
    {"arrays nested too deep",
     replaced(HeartbeatText, "{", R"({"more":)" + nested(100'000) + ","),
     false},
    {"a process start time nested too deep",
     replaced(HeartbeatText, "17", nested(500'000)), false},
    {"a string with many brackets",
     replaced(HeartbeatText, "v1", std::string(1000, '[') + R"(\\\")"), true},
};

struct FieldFaultRow {
  /// Path of the field.
  const char *Field;
  /// JSON text in its place; Missing drops it.
  const char *Value;
};

const char *const Missing = "";

const FieldFaultRow FieldFaultRows[] = {
    {"address", Missing},
    {"address", R"(null)"},
    {"address", R"(7)"},
    {"address", R"("10.1.0.9")"},
    {"born", Missing},
    {"born", R"(null)"},
    {"born", R"("17")"},
    {"born", R"(-1)"},
    {"born", R"(32503680000001)"},
    {"born", R"(17.5)"},
    {"info", Missing},
    {"info", R"(null)"},
    {"info", R"([1])"},
    {"info.service", Missing},
    {"info.service", R"(null)"},
    {"info.service", R"(7)"},
    {"info.service", R"("")"},
    {"info.version", Missing},
    {"info.version", R"(null)"},
    {"info.version", R"(7)"},
    {"info.version", R"("")"},
    {"info.version", R"({})"},
    {"info.zone", Missing},
    {"info.zone", R"(null)"},
    {"info.zone", R"(["here"])"},
    {"info.zone", R"("")"},
    {"info.slots", Missing},
    {"info.slots", R"(null)"},
    {"info.slots", R"("12")"},
    {"info.slots", R"(-1)"},
    {"info.slots", R"(65536)"},
    {"info.slots", R"(12.5)"},
    {"status", Missing},
    {"status", R"(null)"},
    {"status", R"("ready")"},
    {"status.state", Missing},
    {"status.state", R"(null)"},
    {"status.state", R"(1)"},
    {"status.state", R"("asleep")"},
    {"status.state", R"("READY")"},
    {"status.seq", Missing},
    {"status.seq", R"(null)"},
    {"status.seq", R"("4")"},
    {"status.seq", R"(-1)"},
    {"status.seq", R"(1000000000001)"},
    {"status.seq", R"(4.5)"},
    {"status.coldRemaining", Missing},
    {"status.coldRemaining", R"(null)"},
    {"status.coldRemaining", R"(0)"},
    {"status.coldRemaining", R"("soon")"},
    {"status.coldRemaining", R"("-1s")"},
    {"status.coldRemaining", R"("1e300s")"},
    {"holds", Missing},
    {"holds", R"(null)"},
    {"holds", R"({})"},
    {"holds", R"([[0,70000,7]])"},
    {"holds", R"([[9,0,7]])"},
    {"holds", R"([[0,9]])"},
    {"holds", R"([[0,9,"7"]])"},
    {"freed", Missing},
    {"freed", R"(null)"},
    {"freed", R"("none")"},
    {"freed", R"([[0,70000,"a"]])"},
    {"freed", R"([[0,9,7]])"},
};

/// Returns the heartbeat with the fault of \p row.
std::string withFault(const FieldFaultRow &row) {
  const std::string path = row.Field;
  const auto dot = path.find('.');
  const std::string name = "\"" + path.substr(dot + 1) + "\":";
  std::string out = HeartbeatText;
  const auto at = out.find(name);
  // The value ends at the next comma or brace outside of brackets.
  int depth = 0;
  auto end = at + name.size();
  for (; depth > 0 || (out[end] != ',' && out[end] != '}'); ++end)
    depth += out[end] == '[' || out[end] == '{'
                 ? 1
                 : (out[end] == ']' || out[end] == '}' ? -1 : 0);
  if (*row.Value != '\0')
    return out.replace(at, end - at, name + row.Value);
  return out.replace(at, name.size(), "\"other\":");
}

struct KindRow {
  const char *Text;
  routing::WorkKind Kind;
};

const KindRow KindRows[] = {
    {"safe", routing::WorkKind::Idempotent},
    {"download", routing::WorkKind::Idempotent},
    {"unsafe", routing::WorkKind::AtMostOnce},
    {"upload", routing::WorkKind::Upload},
    {"fast", routing::WorkKind::Unsupported},
};

struct CallRow {
  const char *Name;
  net::http::verb Method;
  const char *Target;
  sidecar::UpstreamCall::Kind What;
};

using CallKind = sidecar::UpstreamCall::Kind;
const CallRow CallRows[] = {
    {"heartbeat", net::http::verb::put, "/instances/i-1", CallKind::Heartbeat},
    {"upstream leaves", net::http::verb::delete_, "/instances/i-1",
     CallKind::Leaves},
    {"no id", net::http::verb::put, "/instances/", CallKind::Unknown},
    {"another path", net::http::verb::put, "/other/i-1", CallKind::Unknown},
    {"another method", net::http::verb::get, "/instances/i-1",
     CallKind::Unknown},
    {"an id that isn't ASCII", net::http::verb::put, "/instances/i-\xff",
     CallKind::Unknown},
    {"an id with a slash", net::http::verb::put, "/instances/i-1/x",
     CallKind::Unknown},
};

struct ParentRow {
  const char *Id;
  const char *Parent;
};

const ParentRow ParentRows[] = {
    {"9c41", ""},
    {"9c41.07be", "9c41"},
    {"9c41.07be.2a", "9c41.07be"},
    {".07be", ""},
    {"", ""},
};

struct OrderRow {
  const char *Name;
  const char *Text;
  bool IsValid;
};

const OrderRow OrderRows[] = {
    {"as in the specification",
     R"({"service":"s","toVersion":"v2","duration":"40s"})", true},
    {"another service", R"({"service":"t","toVersion":"v2","duration":"40s"})",
     false},
    {"no version", R"({"service":"s","duration":"40s"})", false},
    {"a version without end",
     R"({"service":"s","toVersion":"0123456789012345678901234567890123456789)"
     R"(0123456789012345678901234","duration":"40s"})",
     false},
    {"an empty version", R"({"service":"s","toVersion":"","duration":"40s"})",
     false},
    {"no time", R"({"service":"s","toVersion":"v2"})", false},
    {"a time of nothing", R"({"service":"s","toVersion":"v2","duration":"0s"})",
     false},
    {"malformed JSON", "{", false},
};

struct StatusRow {
  rollouts::Phase Current;
  const char *State;
};

const StatusRow StatusRows[] = {
    {rollouts::Phase::Warming, "running"},
    {rollouts::Phase::Comparing, "running"},
    {rollouts::Phase::Settling, "running"},
    {rollouts::Phase::Complete, "complete"},
    {rollouts::Phase::RolledBack, "rolled_back"},
};

struct OperatorKeyRow {
  const char *Key;
  sidecar::OperatorKey::Kind What;
  const char *Service;
};

using KeyKind = sidecar::OperatorKey::Kind;
const OperatorKeyRow OperatorKeyRows[] = {
    {"config", KeyKind::Configuration, ""},
    {"evacuate/a", KeyKind::DataCentreOut, ""},
    {"rollout/s", KeyKind::Rollout, "s"},
    {"rollout/", KeyKind::Unknown, ""},
};

struct LoadRow {
  const char *Name;
  const char *Text;
  bool IsKnown;
  std::uint32_t DurationPercent;
};

const LoadRow LoadRows[] = {
    {"three values", "3,1,8", true, 100},
    {"four values", "3,1,8,250", true, 250},
    {"two values", "3,1", false, 0},
    {"a value that is not a number", "3,x,8", false, 0},
    {"absent", "", false, 0},
};

} // namespace

ACACIA_TABLE_TEST(Adapter, DecodesConfigurations, ConfigurationRows) {
  const auto decoded = decodeConfiguration(row.Text);
  cr_assert_eq(decoded.has_value(), row.IsValid, "%s: %s", row.Name,
               decoded ? "" : decoded.error().Detail.c_str());
}

Test(Adapter, KeepsTheFieldsOfAConfiguration) {
  const auto decoded = decodeConfiguration(configuration(RouteText));
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->Version, 12U);
  const routing::Route &route = decoded->Routes.at(0);
  cr_assert(route.Kind == routing::WorkKind::Idempotent);
  cr_assert_eq(route.Timeout.count(),
               core::Duration(milliseconds(500)).count());
  cr_assert_eq(route.LatencyTarget.count(),
               core::Duration(milliseconds(200)).count());
  cr_assert(decoded->Services.at(0).IsKeyed);
  cr_assert_float_eq(decoded->Accounts.at(0).Rate.Burst, 50.0, 1e-9);
}

ACACIA_TABLE_TEST(Adapter, DecodesKinds, KindRows) {
  const auto decoded = decodeConfiguration(configuration(
      replaced(RouteText, "\"safe\"", fmt::format("\"{}\"", row.Text))));
  cr_assert(decoded.has_value(), "%s", row.Text);
  const routing::Route &route = decoded->Routes.at(0);
  cr_assert(route.Kind == row.Kind, "%s", row.Text);
  cr_assert_eq(route.UnknownKind,
               row.Kind == routing::WorkKind::Unsupported ? row.Text : "");
}

ACACIA_TABLE_TEST(Adapter, DecodesHeartbeats, HeartbeatRows) {
  const auto decoded =
      decodeHeartbeat("i-1", row.Text, sidecar::KeyLists::Optional);
  cr_assert_eq(decoded.has_value(), row.IsValid, "%s: %s", row.Name,
               decoded ? "" : decoded.error().Detail.c_str());
}

// A heartbeat of another writer names no upstream, and the log tells the field
// that it falls short of.
ACACIA_TABLE_TEST(Adapter, RequiresTheFieldsOfAHeartbeat, FieldFaultRows) {
  const auto decoded =
      decodeHeartbeat("i-1", withFault(row), sidecar::KeyLists::Required);
  cr_assert_not(decoded.has_value(), "%s: %s", row.Field, row.Value);
  const std::string path = row.Field;
  cr_assert_neq(decoded.error().Detail.find(path.substr(path.find('.') + 1)),
                std::string::npos, "%s: %s: %s", row.Field, row.Value,
                decoded.error().Detail.c_str());
}

Test(Adapter, DecodesNoCutHeartbeat) {
  for (std::size_t n = 0; n < HeartbeatText.size(); ++n)
    cr_assert_not(decodeHeartbeat("i-1", HeartbeatText.substr(0, n),
                                  sidecar::KeyLists::Optional)
                      .has_value(),
                  "%zu bytes", n);
}

Test(Adapter, KeepsTheFieldsOfAHeartbeat) {
  const auto decoded =
      decodeHeartbeat("i-1", HeartbeatText, sidecar::KeyLists::Required);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->Process.StartUnixMs, 17);
  cr_assert_eq(decoded->ColdRemaining.count(),
               core::Duration(milliseconds(1500)).count());
  cr_assert_eq(decoded->Version, "v1");
  cr_assert_eq(decoded->Holds.at(0).Token, 7U);
  cr_assert_eq(decoded->Freed.at(0).Handover, "abc");
}

Test(Adapter, TakesALongVersionForUnknown) {
  const auto decoded = decodeHeartbeat(
      "i-1", replaced(HeartbeatText, "v1", std::string(65, 'v')),
      sidecar::KeyLists::Required);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->Version, "");
}

Test(Adapter, EncodesGrants) {
  cr_assert_eq(encodeGrant(std::nullopt), "{}");
  holdings::Grant grant;
  grant.Length = milliseconds(2500);
  grant.Rows.push_back({{0, 9}, "n", {"u", 1}, 7, "abc"});
  cr_assert_eq(encodeGrant(grant),
               R"({"hold_time":"2500ms","holds":[[0,9,7,"abc"]]})");
}

ACACIA_TABLE_TEST(Adapter, ParsesUpstreamCalls, CallRows) {
  const net::HttpRequest request{row.Method, row.Target, 11};
  cr_assert(parseUpstreamCall(request).What == row.What, "%s", row.Name);
}

ACACIA_TABLE_TEST(Adapter, ReadsParents, ParentRows) {
  net::HttpFields fields;
  fields.set("Request-Id", row.Id);
  cr_assert_eq(makeHeaderCodec().ReadCaller(fields).ParentId, row.Parent, "%s",
               row.Id);
}

ACACIA_TABLE_TEST(Adapter, DecodesOrders, OrderRows) {
  const auto order = decodeRolloutOrder("s", row.Text);
  cr_assert_eq(order.has_value(), row.IsValid, "%s", row.Name);
  if (order)
    cr_assert(*order == rollouts::Order({"s", "v2", std::chrono::seconds(40)}));
}

ACACIA_TABLE_TEST(Adapter, TellsTheStateOfRollouts, StatusRows) {
  const auto record = encodeRolloutStatus(
      {{"s", "v2", std::chrono::seconds(40)}, row.Current, {}, {}, {}, ""});
  cr_assert_eq(record.Key, "rollout/s");
  cr_assert_eq(*record.Value,
               fmt::format(R"({{"service":"s","state":"{}","toVersion":"v2"}})",
                           row.State),
               "%s: %s", row.State, record.Value->c_str());
}

ACACIA_TABLE_TEST(Adapter, ParsesOperatorKeys, OperatorKeyRows) {
  const auto key = parseOperatorKey(row.Key);
  cr_assert(key.What == row.What, "%s", row.Key);
  cr_assert_eq(key.Service, row.Service, "%s", row.Key);
}

ACACIA_TABLE_TEST(Adapter, ReadsLoads, LoadRows) {
  net::HttpFields fields;
  if (row.Text[0] != '\0')
    fields.set("Server-Load", row.Text);
  const auto load = makeHeaderCodec().ReadAnswer(fields).Load;
  cr_assert_eq(load.has_value(), row.IsKnown, "%s", row.Name);
  if (load)
    cr_assert_eq(load->DurationPercent, row.DurationPercent, "%s", row.Name);
}

namespace {

struct DeadlineRow {
  const char *Text;
  /// Expected minimum in milliseconds; -1 if the text is rejected. Long
  /// deadlines may be clamped, but not below this.
  std::int64_t AtLeast;
};

const DeadlineRow DeadlineRows[] = {
    {"250", 250},
    {"0", 0},
    {"-1", -1},
    {"x", -1},
    {"9223372036854", 3'600'000},
    {"9223372036855", 3'600'000},
    {"9223372036854775807", 3'600'000},
};

} // namespace

// Guards against long deadlines that overflowed the clock's nanoseconds and
// were then refused as too short.
ACACIA_TABLE_TEST(Adapter, ReadsLongDeadlines, DeadlineRows) {
  net::HttpFields fields;
  fields.set("Deadline-Ms", row.Text);
  const auto timeLimit = makeHeaderCodec().ReadCaller(fields).TimeLimit;
  cr_assert_eq(timeLimit.has_value(), row.AtLeast >= 0, "%s", row.Text);
  if (!timeLimit)
    return;
  const core::Duration atLeast = milliseconds(row.AtLeast);
  cr_assert_geq(timeLimit->count(), atLeast.count(), "%s", row.Text);
  const auto left = makeHeaderCodec().ReadOrder(fields).TimeLeft;
  cr_assert_geq(left.count(), atLeast.count(), "%s", row.Text);
}

Test(Adapter, ReplacesForgedHeaders) {
  net::HttpFields fields;
  for (const char *it : {"Tenant", "Caller-Service", "Expected-Instance",
                         "Authorization", "Deadline-Ms"})
    fields.set(it, "forged");
  makeHeaderCodec().WriteOrder(fields, {milliseconds(250), "i-1", "", "s"});
  cr_assert_eq(fields.count("Tenant"), 0U);
  cr_assert_eq(fields.count("Authorization"), 0U);
  cr_assert_eq(net::fieldOf(fields, "Caller-Service"), "s");
  cr_assert_eq(net::fieldOf(fields, "Expected-Instance"), "i-1");
  cr_assert_eq(net::fieldOf(fields, "Deadline-Ms"), "250");
}

Test(Adapter, FramesRecords) {
  const feed::KeyedRecord records[] = {{"a", "value"}, {"b", std::nullopt}};
  std::string bytes(16, '\0');
  bytes[7] = 12;
  for (const auto &it : records)
    bytes += frameRecord(it);
  const auto tail = parseTail(bytes, 10);
  cr_assert(tail.has_value());
  cr_assert_eq(tail->End, 12U);
  cr_assert_eq(tail->Next, 12U);
  cr_assert_eq(tail->Records.at(0).Value.value(), "value");
  cr_assert_not(tail->Records.at(1).Value.has_value());
  for (std::size_t n = 1; n < 8; ++n)
    cr_assert_not(parseTail(bytes.substr(0, bytes.size() - n), 10)
                      .value_or(feed::Tail{})
                      .Records.size() == 2);
}

namespace {

struct PageRow {
  const char *Name;
  /// Placed between two valid items.
  std::string Item;
  bool IsReadable;
};

const PageRow PageRows[] = {
    {"a valid item", R"({"key":"m","value":"dg==","offset":2})", true},
    {"no value", R"({"key":"m"})", true},
    {"no key", R"({"value":"dg=="})", false},
    {"an empty key", R"({"key":"","value":"dg=="})", false},
    {"a key of another type", R"({"key":7,"value":"dg=="})", false},
    {"a value of another type", R"({"key":"m","value":{"a":1}})", false},
    {"a value that isn't base64", R"({"key":"m","value":"%"})", false},
    {"a number instead of an object", "7", false},
    {"an offset too large",
     R"({"key":"m","value":"dg==","offset":99999999999999999999})", true},
    {"a nested array", nested(30), false},
};

struct FramingRow {
  const char *Name;
  /// Length prefix and record, placed between two valid records.
  std::string Record;
  std::size_t Records;
};

using namespace std::string_literals;
const FramingRow FramingRows[] = {
    {"a valid record", "\0\0\0\2\1m"s, 3},
    {"no bytes", "\0\0\0\0"s, 2},
    {"a key longer than the record", "\0\0\0\2\xff\1"s, 2},
    {"an empty key", "\0\0\0\2\0v"s, 3},
};

struct QueryRow {
  const char *Text;
  const char *Encoded;
};

const QueryRow QueryRows[] = {
    {"node/a-1_b.c~", "node/a-1_b.c~"},
    {"a key&after=%", "a%20key%26after%3D%25"},
    {"a\r\nb\xff", "a%0D%0Ab%FF"},
};

} // namespace

// Guards against one invalid item of a page stopping a node from reading
// further.
ACACIA_TABLE_TEST(Adapter, SkipsUnreadablePageItems, PageRows) {
  const auto page =
      parseNewestPage(R"({"items":[{"key":"a","value":"dg==","offset":1},)" +
                      row.Item + R"(,{"key":"z","value":"dg==","offset":3}],)" +
                      R"("hasMore":true,"end":9})");
  cr_assert(page.has_value(), "%s", row.Name);
  cr_assert_eq(page->Records.size(), row.IsReadable ? 3U : 2U, "%s", row.Name);
  cr_assert_eq(page->Unreadable.size(), row.IsReadable ? 0U : 1U, "%s",
               row.Name);
  cr_assert(page->HasMore);
  cr_assert_eq(page->End, 9U);
  cr_assert_eq(page->Records.back().Key, "z");
}

ACACIA_TABLE_TEST(Adapter, SkipsUnreadableTailRecords, FramingRows) {
  const auto tail = parseTail(std::string(16, '\0') + frameRecord({"a", "1"}) +
                                  row.Record + frameRecord({"z", "1"}),
                              10);
  cr_assert(tail.has_value(), "%s", row.Name);
  cr_assert_eq(tail->Next, 13U);
  cr_assert_eq(tail->Records.size(), row.Records, "%s", row.Name);
  cr_assert_eq(tail->Records.size() + tail->Unreadable.size(), 3U);
  cr_assert_eq(tail->Records.back().Key, "z");
}

// Guards against a key with special characters that broke the request for the
// next page when it was passed unencoded.
ACACIA_TABLE_TEST(Adapter, EncodesQueryValues, QueryRows) {
  cr_assert_eq(encodeQueryValue(row.Text), row.Encoded, "%s", row.Text);
}
