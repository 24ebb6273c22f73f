#include "Configuration/ClientKey.h"

#include <algorithm>

#include "Configuration/Catalogue.h"
#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::configuration;

namespace {

struct HashRow {
  const char *Salt;
  const char *Secret;
  /// First bytes of the hash, from the published SHA-256 test vectors.
  std::array<unsigned char, 4> Prefix;
};

const HashRow HashRows[] = {
    {"", "", {0xe3, 0xb0, 0xc4, 0x42}},
    {"", "abc", {0xba, 0x78, 0x16, 0xbf}},
    {"a", "bc", {0xba, 0x78, 0x16, 0xbf}},
};

struct EqualRow {
  const char *A;
  const char *B;
  bool IsEqual;
};

const EqualRow EqualRows[] = {
    {"", "", true},       {"abc", "abc", true}, {"abc", "abd", false},
    {"abc", "ab", false}, {"ab", "abc", false},
};

} // namespace

ACACIA_TABLE_TEST(ClientKeyTest, hashesSaltAndSecret, HashRows) {
  const HashArray hash = hashSecret(row.Salt, row.Secret);
  for (std::size_t n = 0; n < row.Prefix.size(); ++n)
    cr_assert_eq(static_cast<unsigned char>(hash[n]), row.Prefix[n]);
}

ACACIA_TABLE_TEST(ClientKeyTest, compares, EqualRows) {
  cr_assert_eq(equalInConstantTime(row.A, row.B), row.IsEqual);
}

Test(ClientKeyTest, grantLetsItsBearerInAndHoldsNoSecret) {
  Catalogue catalogue;
  catalogue.apply(tests::accountSet(0, "x"), 0);
  const auto grant = KeyGrant::create(tests::originOf(1), "x", 1, systemRandom);
  cr_assert(grant.has_value());
  cr_assert(catalogue.apply(grant->Record, 1).has_value());
  cr_assert(catalogue.authenticate(grant->Bearer).has_value());
  const std::string secret =
      grant->Bearer.substr(grant->Record.KeyId.size() + 1);
  cr_assert_eq(secret.size(), 48U);
  cr_assert(grant->Record.Hash.find(secret) == std::string::npos);
  cr_assert(grant->Record.Salt.find(secret) == std::string::npos);
}

Test(ClientKeyTest, noGrantWithoutRandomBytes) {
  const auto grant = KeyGrant::create(
      tests::originOf(1), "x", 1, [](std::span<std::byte>) { return false; });
  cr_assert(!grant.has_value());
  cr_assert(grant.error().Kind == core::ErrorKind::Internal);
}
