#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Adapter/Headers.h"
#include "Codec/FleetRecords.h"
#include "Holdings/KeyPlacement.h"
#include "Proxy/PeerFields.h"
#include "Support/Random.h"
#include "Support/Table.h"
#include "platform/RecordFraming.h"

using namespace acaciaroad;
using namespace acaciaroad::adapter;
using namespace acaciaroad::tests;

namespace {

/// A parser of untrusted input, with valid inputs as the seed corpus. It must
/// not crash, and what it accepts must be in range. Parse returns whether the
/// input was accepted.
struct ParserRow {
  const char *Name;
  std::vector<std::string> Corpus;
  std::function<bool(std::string_view)> Parse;
};

const std::string Configuration =
    R"({"version":"0000000c","routes":[{"name":"r","host":"h","pathPrefix":)"
    R"("/p/","kind":"safe","timeout":"500ms","latencySlo":"0.2s","priority":2,)"
    R"("trafficSplit":[{"service":"s","weight":9}],"maxAttempts":2}],)"
    R"("services":[{"name":"s","coldStart":"3s","coldPerS":38.0,"sharded":)"
    R"(true}],"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":44,"burst":5)"
    R"(}],"limits":{"idleTimeout":"15000ms","maxBodyBytes":1048576}})";

const std::string HeartbeatBody =
    R"({"address":"10.0.0.1:80","born":1792427007160,"info":{"service":"s",)"
    R"("version":"v1","zone":"a","slots":18},"status":{"state":"ready",)"
    R"("seq":4,"coldRemaining":"0ms"},"holds":[[0,4095,7]],)"
    R"("freed":[[4096,8191,"5c0e"]]})";

holdings::Holding makeHolding() {
  return {{0, 1023}, "node", {"upstream", 1}, 7, "handover"};
}

std::string makeTail() {
  std::string out(16, '\0');
  out[7] = 3;
  return out + frameRecord({"node/a", "value"}) + frameRecord({"b", {}});
}

rollouts::CountReport makeReport() {
  rollouts::CountReport out{"node", 1, "s", "v2", core::Duration(5), {}};
  out.Routes.push_back({"r", {}, {}});
  out.Routes[0].Former.add(true, core::Duration(5));
  return out;
}

const ParserRow ParserRows[] = {
    {"order of a roll-out",
     {R"({"service":"s","toVersion":"v2","duration":"40s"})"},
     [](std::string_view text) {
       return decodeRolloutOrder("s", text).has_value();
     }},
    {"roll-out record",
     {codec::encodeRollout({{"s", "v2", core::Duration(9)},
                            rollouts::Phase::Comparing,
                            {"v1"},
                            {"v0"},
                            core::Duration(5),
                            "cause"})},
     [](std::string_view bytes) {
       return codec::decodeRollout(bytes, "s").has_value();
     }},
    {"configuration",
     {Configuration},
     [](std::string_view text) {
       return decodeConfiguration(text).has_value();
     }},
    {"heartbeat",
     {HeartbeatBody},
     [](std::string_view text) {
       const auto heartbeat =
           decodeHeartbeat("u", text, sidecar::KeyLists::Required);
       for (const auto &it :
            heartbeat ? heartbeat->Holds : std::vector<holdings::HeldKeys>())
         cr_assert(it.Keys.From <= it.Keys.To &&
                   it.Keys.To < holdings::KeyCount);
       return heartbeat.has_value();
     }},
    {"tail of a log",
     {makeTail()},
     [](std::string_view bytes) { return parseTail(bytes, 5).has_value(); }},
    {"page of the newest records",
     {R"({"items":[{"key":"a","value":"dg==","offset":1},{"key":"b"}],)"
      R"("hasMore":true,"end":9})"},
     [](std::string_view text) { return parseNewestPage(text).has_value(); }},
    {"node record",
     {codec::encodeNode({"node",
                         "dc",
                         "s",
                         {"10.0.0.1", 80},
                         1,
                         2,
                         {"u", 3},
                         holdings::UpstreamState::Ready,
                         18,
                         false,
                         7,
                         "v1"})},
     [](std::string_view bytes) {
       return codec::decodeNode(bytes).has_value();
     }},
    {"holdings record",
     {codec::encodeHoldings({{makeHolding()}})},
     [](std::string_view bytes) {
       const auto part =
           codec::decodeHoldings(bytes, 0, holdings::makeToken(0, 9));
       for (const auto &it :
            part ? part->Rows : std::vector<holdings::Holding>())
         cr_assert(it.Keys.From <= it.Keys.To &&
                   it.Keys.To < holdings::KeysPerPart);
       return part.has_value();
     }},
    {"datagram between nodes",
     {codec::encodeDatagram(codec::FleetHint{"node", 9, {0.5, 0.01}}),
      codec::encodeDatagram(
          holdings::ReleaseNotice{"node", 1, {{makeHolding(), "target"}}}),
      codec::encodeDatagram(makeReport())},
     [](std::string_view bytes) {
       return codec::decodeDatagram(bytes).has_value();
     }},
    {"credit datagram",
     {codec::encodeCredit({"account", core::Endpoint{"10.0.0.1", 80}, 3, 4})},
     [](std::string_view bytes) {
       return codec::decodeCredit(bytes).has_value();
     }},
    {"relayed tail",
     {codec::encodeTail(
         {{{"a", "1"}, {"b", {}}}, 7, 7, core::Duration(5), {}})},
     [](std::string_view bytes) {
       return codec::decodeTail(bytes).has_value();
     }},
    {"outcome of a forwarded request",
     {"0,12,1,250"},
     [](std::string_view text) {
       net::HttpFields fields;
       fields.set("Acacia-Outcome", net::toBeast(text));
       fields.set("Acacia-Load", net::toBeast(text));
       return proxy::readOutcome(fields).RetryAfter.count() > 0;
     }},
    {"record key",
     {"node/a", "keys/s/63", "rollouts/s"},
     [](std::string_view text) {
       const auto key = codec::parseFleetKey(text);
       cr_assert_lt(key.Part, holdings::PartCount);
       return key.What != codec::FleetKey::Kind::Unknown;
     }},
};

/// Applies one random mutation: replaces, deletes, duplicates or inserts bytes,
/// or truncates the text.
void mutate(std::string &text, Random &rng) {
  const std::size_t at = rng.below(text.size() + 1);
  switch (rng.below(5)) {
  case 0:
    if (at < text.size())
      text[at] = static_cast<char>(rng.below(256));
    return;
  case 1:
    text.erase(at, rng.below(8));
    return;
  case 2:
    text.insert(at, text.substr(at, rng.below(16)));
    return;
  case 3:
    text.insert(at, 1, "0-9[]{}\",:.\xff"[rng.below(12)]);
    return;
  default:
    text.resize(at);
  }
}

/// Mutated inputs per row; ACACIA_FUZZ_RUNS multiplies it for longer manual
/// runs.
constexpr std::uint64_t RunsPerRow = 3000;

std::uint64_t runMultiplier() {
  const char *text = std::getenv("ACACIA_FUZZ_RUNS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

ACACIA_TABLE_TEST(Mutation, ParsersHandleAnyInput, ParserRows) {
  for (const std::string &it : row.Corpus)
    cr_assert(row.Parse(it), "%s: a valid input is rejected", row.Name);
  codec::silenceLibrary();
  Random rng(1);
  for (std::uint64_t n = 0; n < RunsPerRow * runMultiplier(); ++n) {
    std::string text = row.Corpus[rng.below(row.Corpus.size())];
    for (std::uint64_t k = rng.below(6) + 1; k > 0; --k)
      mutate(text, rng);
    row.Parse(text);
  }
}
