#include "Codec/LogCodec.h"

#include <set>
#include <variant>

#include "Codec/Generated/Record.pb.h"
#include "Support/LogEntrySamples.h"
#include "Support/Mutation.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::codec;
using namespace acaciaroad::tests;

namespace {

core::Result<LogEntry> decodeText(std::string_view text) {
  return decode(std::as_bytes(std::span(text)));
}

void assertCorrupt(const std::string &bytes, const char *name) {
  const auto entry = decodeText(bytes);
  cr_assert(!entry.has_value(), "%s", name);
  cr_assert(entry.error().Kind == core::ErrorKind::CorruptMessage, "%s", name);
}

} // namespace

ACACIA_TABLE_TEST(LogCodecTest, decodesWhatItEncodes, LogEntrySamples) {
  const auto entry = decodeText(encode(row.Entry));
  cr_assert(entry.has_value(), "%s", row.Name);
  cr_assert(*entry == row.Entry, "%s", row.Name);
}

Test(LogCodecTest, samplesHoldEveryKind) {
  std::set<std::size_t> ownershipKinds;
  std::set<std::size_t> configurationKinds;
  std::set<std::size_t> kinds;
  for (const LogEntrySample &it : LogEntrySamples) {
    kinds.insert(it.Entry.index());
    if (const auto *record = std::get_if<ownership::OwnershipRecord>(&it.Entry))
      ownershipKinds.insert(record->index());
    if (const auto *record =
            std::get_if<configuration::ConfigurationRecord>(&it.Entry))
      configurationKinds.insert(record->index());
  }
  cr_assert_eq(kinds.size(), std::variant_size_v<LogEntry>);
  cr_assert_eq(ownershipKinds.size(),
               std::variant_size_v<ownership::OwnershipRecord>);
  cr_assert_eq(configurationKinds.size(),
               std::variant_size_v<configuration::ConfigurationRecord>);
}

// A truncated or altered entry gives an error, or an entry that survives its
// own round trip; it never crashes the reader.
ACACIA_TABLE_TEST(LogCodecTest, survivesMutation, LogEntrySamples) {
  constexpr int Rounds = 3000;
  std::mt19937_64 random(core::hashOf(row.Name));
  const std::string bytes = encode(row.Entry);
  for (int n = 0; n < Rounds; ++n) {
    const auto entry = decodeText(mutate(bytes, random));
    if (!entry) {
      cr_assert(entry.error().Kind == core::ErrorKind::CorruptMessage);
      continue;
    }
    const std::string again = encode(*entry);
    const auto second = decodeText(again);
    cr_assert(second.has_value(), "%s", row.Name);
    cr_assert(encode(*second) == again, "%s", row.Name);
  }
}

namespace {

struct HostileRow {
  const char *Name;
  void (*Fill)(pb::Entry &);
};

const HostileRow HostileRows[] = {
    {"no kind", [](pb::Entry &) {}},
    {"retire reason",
     [](pb::Entry &it) { it.mutable_instance_retired()->set_reason(3); }},
    {"key source",
     [](pb::Entry &it) {
       it.mutable_class_set()->mutable_value()->set_key(4);
     }},
    {"negative deadline",
     [](pb::Entry &it) {
       it.mutable_class_set()->mutable_value()->set_deadline_ms(-1);
     }},
    {"long name",
     [](pb::Entry &it) {
       it.mutable_account_removed()->set_name(std::string(513, 'a'));
     }},
    {"control character",
     [](pb::Entry &it) { it.mutable_account_removed()->set_name("a\n"); }},
    {"many witnesses",
     [](pb::Entry &it) {
       for (int n = 0; n < 65; ++n)
         it.mutable_instance_joined()->add_witnesses(1);
     }},
    {"error kind",
     [](pb::Entry &it) {
       auto *line = it.mutable_totals()->add_lines();
       line->add_refused()->set_number(core::ErrorKindCount);
     }},
    {"bucket",
     [](pb::Entry &it) {
       auto *line = it.mutable_totals()->add_lines();
       line->add_latency()->set_number(10'000);
     }},
    {"count",
     [](pb::Entry &it) {
       it.mutable_totals()->add_lines()->set_served(1ULL << 60U);
     }},
    {"chunk index",
     [](pb::Entry &it) { it.mutable_checkpoint_chunk()->set_index(0); }},
    {"too long",
     [](pb::Entry &it) {
       auto *chunk = it.mutable_checkpoint_chunk();
       chunk->set_count(1);
       chunk->set_payload(std::string(MaxEntryBytes, 'x'));
     }},
};

} // namespace

ACACIA_TABLE_TEST(LogCodecTest, refusesHostileEntries, HostileRows) {
  pb::Entry entry;
  row.Fill(entry);
  assertCorrupt(entry.SerializeAsString(), row.Name);
}
