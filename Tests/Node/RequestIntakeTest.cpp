#include "Node/RequestIntake.h"

#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::node;
using namespace acaciaroad::tests;

namespace {

constexpr std::uint64_t BodyLimitBytes = 1000;
constexpr std::size_t MaxIdempotencyKeyBytes = 256;

configuration::WorkClass workClass(const std::string &name,
                                   configuration::KeySource key,
                                   configuration::Execution runs) {
  configuration::WorkClass out = sampleClass(name, "/" + name);
  out.Key = key;
  out.ExecutionMode = runs;
  out.BodyLimitBytes = BodyLimitBytes;
  return out;
}

/// Classes "next" (keyed), "book" (keyed, at most once), "tender" (unkeyed, at
/// most once) and "free" (unkeyed, idempotent), and the keys of two accounts.
configuration::Catalogue sampleCatalogue() {
  using configuration::Execution;
  using configuration::KeySource;
  const configuration::WorkClass classes[] = {
      workClass("next", KeySource::PathSegment, Execution::Idempotent),
      workClass("book", KeySource::PathSegment, Execution::AtMostOnce),
      workClass("tender", KeySource::None, Execution::AtMostOnce),
      workClass("free", KeySource::None, Execution::Idempotent),
  };
  configuration::Catalogue out;
  core::Offset offset = 0;
  for (const configuration::WorkClass &it : classes)
    out.apply(configuration::ClassSet{originOf(offset + 1), 0, it}, offset++);
  for (const char *it : {"x", "y"}) {
    out.apply(accountSet(0, it), offset++);
    out.apply(keyGranted(offset, std::string("k") + it, it), offset);
    ++offset;
  }
  out.apply(keyGranted(offset, "gone", "x"), offset);
  ++offset;
  out.apply(keyWithdrawn("gone"), offset++);
  return out;
}

const wire::Header KeyOfX{"Authorization", "Bearer kx.secret-of-kx"};
const wire::Header KeyOfY{"Authorization", "Bearer ky.secret-of-ky"};
const wire::Header OnceId{"Idempotency-Key", "once"};

core::Result<AcceptedRequest> accept(std::string_view target,
                                     std::span<const wire::Header> headers,
                                     wire::BodyMode body = wire::BodyMode::None,
                                     std::uint64_t length = 0) {
  const CallerRequest request{"POST", target, headers, body, length};
  return acceptRequest(sampleCatalogue(), request, "r1");
}

struct VerdictRow {
  const char *Name;
  const char *Target;
  std::vector<wire::Header> Headers;
  std::optional<core::ErrorKind> Refusal;
  wire::BodyMode Body = wire::BodyMode::None;
  std::uint64_t BodyLength = 0;
};

using core::ErrorKind;

const VerdictRow VerdictRows[] = {
    {"keyed", "/next/7", {KeyOfX}, {}},
    {"scheme in lower case",
     "/next/7",
     {{"authorization", "bearer kx.secret-of-kx"}},
     {}},
    {"no key", "/next/7", {}, ErrorKind::KeyMissing},
    {"another scheme",
     "/next/7",
     {{"Authorization", "Basic kx.secret-of-kx"}},
     ErrorKind::KeyMissing},
    {"empty key",
     "/next/7",
     {{"Authorization", "Bearer "}},
     ErrorKind::KeyMissing},
    {"unknown key",
     "/next/7",
     {{"Authorization", "Bearer kz.secret-of-kz"}},
     ErrorKind::KeyUnknown},
    {"wrong secret",
     "/next/7",
     {{"Authorization", "Bearer kx.secret-of-ky"}},
     ErrorKind::KeyUnknown},
    {"withdrawn key",
     "/next/7",
     {{"Authorization", "Bearer gone.secret-of-gone"}},
     ErrorKind::KeyUnknown},
    {"unknown class", "/nowhere/7", {KeyOfX}, ErrorKind::UnknownClass},
    {"unknown class without a key", "/nowhere/7", {}, ErrorKind::KeyMissing},
    {"no routing key", "/next", {KeyOfX}, ErrorKind::RoutingKeyMissing},
    {"no id", "/book/7", {KeyOfX}, ErrorKind::IdempotencyKeyMissing},
    {"empty id",
     "/book/7",
     {KeyOfX, {"Idempotency-Key", ""}},
     ErrorKind::IdempotencyKeyMissing},
    {"id", "/book/7", {KeyOfX, OnceId}, {}},
    {"longest id",
     "/book/7",
     {KeyOfX, {"idempotency-key", std::string(MaxIdempotencyKeyBytes, 'i')}},
     {}},
    {"id too long",
     "/book/7",
     {KeyOfX,
      {"Idempotency-Key", std::string(MaxIdempotencyKeyBytes + 1, 'i')}},
     ErrorKind::MalformedRequest},
    {"unkeyed without id",
     "/tender",
     {KeyOfX},
     ErrorKind::IdempotencyKeyMissing},
    {"body at the limit",
     "/free",
     {KeyOfX},
     {},
     wire::BodyMode::Sized,
     BodyLimitBytes},
    {"body over the limit",
     "/free",
     {KeyOfX},
     ErrorKind::BodyTooLarge,
     wire::BodyMode::Sized,
     BodyLimitBytes + 1},
};

} // namespace

ACACIA_TABLE_TEST(RequestIntakeTest, judges, VerdictRows) {
  const auto found = accept(row.Target, row.Headers, row.Body, row.BodyLength);
  cr_assert_eq(found.has_value(), !row.Refusal, "%s", row.Name);
  if (row.Refusal)
    cr_assert(found.error().Kind == *row.Refusal, "%s", row.Name);
  else
    cr_assert(found->Head.Account == "x", "%s", row.Name);
}

namespace {

struct HeaderRow {
  const char *Name;
  bool IsForwarded;
};

const HeaderRow HeaderRows[] = {
    {"Authorization", false},
    {"AUTHORIZATION", false},
    {"Proxy-Authorization", false},
    {"Idempotency-Key", false},
    {"idempotency-key", false},
    {"X-Request-Id", false},
    {"X-Acacia-Epoch", false},
    {"x-acacia-anything", false},
    {"X-Acacia-", false},
    {"X-Acaci", true},
    {"X-Other", true},
    {"Authorization-Info", true},
};

} // namespace

// The caller's headers reach no upstream where a node or a key speaks by them,
// also when they are sent twice.
ACACIA_TABLE_TEST(RequestIntakeTest, stripsHeaders, HeaderRows) {
  const std::vector<wire::Header> headers{
      KeyOfX, OnceId, {row.Name, "a"}, {row.Name, "b"}};
  for (const char *target : {"/next/7", "/book/7", "/tender", "/free"}) {
    const auto found = accept(target, headers);
    cr_assert(found.has_value(), "%s %s", row.Name, target);
    cr_assert_eq(found->Head.Headers.size(), row.IsForwarded ? 2U : 0U, "%s %s",
                 row.Name, target);
  }
}

namespace {

struct HashRow {
  const char *Name;
  const char *Target;
  wire::Header Key;
  const char *Id;
  bool IsKeyed;
  /// Whether its hash is that of "/tender" by account x with id "once".
  bool IsSameHash;
};

const HashRow HashRows[] = {
    {"same", "/tender", KeyOfX, "once", true, true},
    {"another path of the class", "/tender/7", KeyOfX, "once", true, true},
    {"another id", "/tender", KeyOfX, "twice", true, false},
    {"another account", "/tender", KeyOfY, "once", true, false},
    {"keyed class", "/book/7", KeyOfX, "once", true, false},
    {"idempotent class", "/free", KeyOfX, "once", false, false},
};

} // namespace

ACACIA_TABLE_TEST(RequestIntakeTest, hashesIdsOfUnkeyedClasses, HashRows) {
  const std::vector<wire::Header> first{KeyOfX, OnceId};
  const std::vector<wire::Header> second{row.Key, {"Idempotency-Key", row.Id}};
  const auto expected = accept("/tender", first);
  const auto found = accept(row.Target, second);
  cr_assert(expected.has_value() && found.has_value(), "%s", row.Name);
  cr_assert_eq(found->IsKeyed, row.IsKeyed, "%s", row.Name);
  cr_assert_eq(found->Head.KeyHash == expected->Head.KeyHash, row.IsSameHash,
               "%s", row.Name);
}
