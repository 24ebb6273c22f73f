#include "Codec/ControlCodec.h"

#include <limits>
#include <set>

#include "Support/Mutation.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::codec;
using namespace acaciaroad::tests;
using namespace std::chrono_literals;

namespace {

constexpr core::InstanceId Sender{5};
constexpr core::InstanceId Other{std::numeric_limits<std::uint64_t>::max()};
constexpr std::uint64_t Large = std::numeric_limits<std::uint64_t>::max();
const core::SliceId Slice{"quotas", 63};

struct BodyRow {
  const char *Name;
  ControlBody Body;
};

using ownership::ControlMessage;

const BodyRow BodyRows[] = {
    {"lease ask", ControlMessage(ownership::LeaseAsk{Other, -1, 9, 2})},
    {"lease promise", ControlMessage(ownership::LeasePromise{Other, 7, 8})},
    {"lease refusal", ControlMessage(ownership::LeaseRefusal{Other})},
    {"confirm query", ControlMessage(ownership::ConfirmQuery{Other, {6}})},
    {"lapse confirmed", ControlMessage(ownership::LapseConfirmed{Other})},
    {"released",
     ControlMessage(ownership::Released{{{Slice, Large}, {{"a", 0}, 1}}})},
    {"released nothing", ControlMessage(ownership::Released{})},
    {"probe", ControlMessage(ownership::Probe{Other})},
    {"probe reply", ControlMessage(ownership::ProbeReply{3})},
    {"silence query", ControlMessage(ownership::SilenceQuery{Other})},
    {"silence report", ControlMessage(ownership::SilenceReport{Other, 4})},
    {"credit ask", accounts::CreditAsk{Other, 2, "x", 3, 4, {{1, 5}, {6, 7}}}},
    {"credit grant",
     accounts::CreditGrant{2, "x", accounts::CreditStatus{}, 9, 24h, 1ns}},
    {"credit grant by another",
     accounts::CreditGrant{2, "x", accounts::CreditStatus::NotOwner, 0, 0ns,
                           0ns}},
    {"credit return", accounts::CreditReturn{Other, "x", {{1, 5}}}},
    {"credit handover",
     accounts::CreditHandover{"x", -12, {{Other, 3, 4, 5ms}}}},
    {"tell",
     requests::IdempotencyTell{Other, Slice, 3, {Large, 1}, Large, 4, 5s}},
    {"ack", requests::IdempotencyAck{Other, {1, Large}, 4, true}},
    {"refusing ack", requests::IdempotencyAck{Other, {1, Large}, 4, false}},
    {"forget", requests::IdempotencyForget{Other, Slice, 3, {1, 2}, 4}},
    {"handover ask", requests::IdempotencyHandoverAsk{Other, Slice, Large}},
    {"handover",
     requests::IdempotencyHandover{
         Other,
         Slice,
         3,
         {{{1, 2}, 3, 4s, true, std::string("\0\xff", 2)},
          {{5, 6}, 7, 0s, false, ""}}}},
    {"offset query", OffsetQuery{Large}},
    {"offset report", OffsetReport{1}},
};

/// Whether both hold the same values; OffsetQuery and OffsetReport have no
/// operator==.
bool isSame(const ControlBody &a, const ControlBody &b) {
  return std::visit(
      [&](const auto &left) {
        using Body = std::decay_t<decltype(left)>;
        const auto *right = std::get_if<Body>(&b);
        if (right == nullptr)
          return false;
        if constexpr (std::is_same_v<Body, OffsetQuery>)
          return left.Offset == right->Offset;
        else if constexpr (std::is_same_v<Body, OffsetReport>)
          return left.NextOffset == right->NextOffset;
        else
          return left == *right;
      },
      a);
}

} // namespace

ACACIA_TABLE_TEST(ControlCodecTest, roundTrips, BodyRows) {
  const auto found = decodeControl(encode({Sender, row.Body}));
  cr_assert(found.has_value(), "%s", row.Name);
  cr_assert(found->From == Sender, "%s", row.Name);
  cr_assert(isSame(found->Body, row.Body), "%s", row.Name);
}

// A kind that is added without a row is noticed here.
Test(ControlCodecTest, everyKindHasARow) {
  std::set<std::size_t> kinds;
  std::set<std::size_t> ownershipKinds;
  for (const BodyRow &it : BodyRows) {
    kinds.insert(it.Body.index());
    if (const auto *message = std::get_if<ControlMessage>(&it.Body))
      ownershipKinds.insert(message->index());
  }
  cr_assert_eq(kinds.size(), std::variant_size_v<ControlBody>);
  cr_assert_eq(ownershipKinds.size(), std::variant_size_v<ControlMessage>);
}

namespace {

constexpr int MutationsPerRow = 4000;

} // namespace

// What still decodes must be a message that the codec itself could send.
ACACIA_TABLE_TEST(ControlCodecTest, survivesMutatedBytes, BodyRows) {
  std::mt19937_64 random(2027);
  const std::string bytes = encode({Sender, row.Body});
  for (int n = 0; n < MutationsPerRow; ++n) {
    const auto found = decodeControl(mutate(bytes, random));
    if (!found) {
      cr_assert(found.error().Kind == core::ErrorKind::CorruptMessage, "%s %d",
                row.Name, n);
      continue;
    }
    const auto again = decodeControl(encode(*found));
    cr_assert(again.has_value(), "%s %d", row.Name, n);
    cr_assert(again->From == found->From, "%s %d", row.Name, n);
    cr_assert(isSame(again->Body, found->Body), "%s %d", row.Name, n);
  }
}

namespace {

struct HostileRow {
  const char *Name;
  std::string Bytes;
};

std::string encodeFrom(core::InstanceId from, ControlBody body) {
  return encode({from, std::move(body)});
}

const HostileRow HostileRows[] = {
    {"empty", ""},
    {"zeros", std::string(64, '\0')},
    {"all ones", std::string(64, '\xff')},
    {"no sender", encodeFrom({}, OffsetQuery{1})},
    {"no body", encodeFrom(Sender, OffsetQuery{1}).substr(0, 9)},
    {"too long", std::string(MaxControlBytes + 1, '\0')},
    {"long service name",
     encodeFrom(Sender,
                requests::IdempotencyHandoverAsk{
                    Other, {std::string(513, 'a'), 0}, 1})},
    {"service name with a line end",
     encodeFrom(Sender,
                requests::IdempotencyHandoverAsk{Other, {"a\nb", 0}, 1})},
    {"unknown credit status",
     encodeFrom(
         Sender,
         accounts::CreditGrant{1, "x", accounts::CreditStatus{99}, 0, 0s, 0s})},
    {"lifetime over a day",
     encodeFrom(Sender, accounts::CreditGrant{1, "x", accounts::CreditStatus{},
                                              1, 24h + 1ns, 0s})},
    {"too many slices",
     encodeFrom(Sender, ControlMessage(ownership::Released{
                            std::vector<ownership::SliceEpoch>(65'537)}))},
};

} // namespace

ACACIA_TABLE_TEST(ControlCodecTest, refusesHostileBytes, HostileRows) {
  const auto found = decodeControl(row.Bytes);
  cr_assert(!found.has_value(), "%s", row.Name);
  cr_assert(found.error().Kind == core::ErrorKind::CorruptMessage, "%s",
            row.Name);
}
